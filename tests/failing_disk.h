// A disk whose calls fail by a seeded plan, and on which a process can be killed inside any call.
#pragma once

#include <cerrno>
#include <random>

#include "../relay/disk.h"

namespace firspool::testing {

class FailingDisk : public relay::Disk {
 public:
  explicit FailingDisk(uint64_t seed) : random_(seed) {}

  bool failing = false;  // a spell in which calls fail
  bool killed = false;   // the process is gone: no call has an effect any more

  // The process is killed inside one of the next calls, a write among them cut at any byte.
  void kill_soon() { kill_in_ = between(1, 6); }
  void restart() {
    killed = false;
    kill_in_ = 0;
  }
  size_t between(size_t least, size_t most) {
    return std::uniform_int_distribution<size_t>(least, most)(random_);
  }
  bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

  int open(const std::filesystem::path& path, int flags) override {
    return fails(0.2) ? -1 : Disk::open(path, flags);
  }
  ssize_t read(int file, void* bytes, size_t count) override {
    if (!killed && interrupted()) return -1;
    if (fails(0.1)) return -1;
    return Disk::read(file, bytes, chance(0.2) ? between(1, count) : count);
  }
  ssize_t read_at(int file, void* bytes, size_t count, size_t offset) override {
    if (!killed && interrupted()) return -1;
    if (fails(0.1)) return -1;
    return Disk::read_at(file, bytes, chance(0.2) ? between(1, count) : count, offset);
  }
  ssize_t write(int file, const void* bytes, size_t count) override {
    const size_t cut = between(0, count - 1);
    if (dies()) return Disk::write(file, bytes, cut) < 0 ? -1 : error(EIO);
    if (!killed && interrupted()) return -1;
    if (fails(0.3)) return -1;
    if (!failing || chance(0.4)) return Disk::write(file, bytes, count);
    return cut == 0 ? error(ENOSPC) : Disk::write(file, bytes, cut);
  }
  int truncate(int file, size_t size) override { return fails(0.5) ? -1 : Disk::truncate(file, size); }
  int rename(const std::filesystem::path& from, const std::filesystem::path& to) override {
    return fails(0.7) ? -1 : Disk::rename(from, to);
  }
  int unlink(const std::filesystem::path& path) override { return fails(0.5) ? -1 : Disk::unlink(path); }

 private:
  static int error(int number) {
    errno = number;
    return -1;
  }
  bool dies() {
    if (killed || kill_in_ == 0 || --kill_in_ > 0) return false;
    return killed = true;
  }
  bool interrupted() { return chance(0.05) && error(EINTR) < 0; }
  bool fails(double share) {
    if (dies() || killed || (failing && chance(share))) return error(chance(0.5) ? EIO : ENOSPC) < 0;
    return false;
  }

  std::mt19937_64 random_;
  size_t kill_in_ = 0;
};

}  // namespace firspool::testing
