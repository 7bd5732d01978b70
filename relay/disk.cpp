#include "disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

namespace firspool::relay {
namespace {

constexpr mode_t kOwnersAlone = 0600;

}  // namespace

int Disk::open(const std::filesystem::path& path, int flags) {
  return ::open(path.c_str(), flags | O_CLOEXEC, kOwnersAlone);
}

ssize_t Disk::read(int file, void* bytes, size_t count) { return ::read(file, bytes, count); }

ssize_t Disk::read_at(int file, void* bytes, size_t count, size_t offset) {
  return ::pread(file, bytes, count, static_cast<off_t>(offset));
}

ssize_t Disk::write(int file, const void* bytes, size_t count) { return ::write(file, bytes, count); }

int Disk::truncate(int file, size_t size) { return ::ftruncate(file, static_cast<off_t>(size)); }

int Disk::rename(const std::filesystem::path& from, const std::filesystem::path& to) {
  return ::rename(from.c_str(), to.c_str());
}

int Disk::unlink(const std::filesystem::path& path) { return ::unlink(path.c_str()); }

Disk& system_disk() {
  static Disk disk;
  return disk;
}

}  // namespace firspool::relay
