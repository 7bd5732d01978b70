#include "lasting_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "disk_faults.h"

namespace firspool::relay {
namespace {

constexpr size_t kBlock = 64 * 1024;

// Keeps errno as the failed call left it.
void close_quietly(int file) {
  const int error = errno;
  ::close(file);
  errno = error;
}

bool read_all(Disk& disk, int file, std::string& out) {
  std::array<char, kBlock> block;
  while (true) {
    const ssize_t got = disk.read(file, block.data(), block.size());
    if (got == 0) return true;
    if (got > 0) {
      out.append(block.data(), static_cast<size_t>(got));
    } else if (errno != EINTR) {
      return false;
    }
  }
}

}  // namespace

std::string read_file(const std::filesystem::path& path, Disk& disk) {
  const int file = disk.open(path, O_RDONLY);
  if (file < 0 && errno == ENOENT) return {};
  if (file < 0) throw DiskFault(kFileUnreadable, path, "cannot be opened", errno);
  std::string out;
  const bool whole = read_all(disk, file, out);
  close_quietly(file);
  if (!whole) throw DiskFault(kFileUnreadable, path, "cannot be read", errno);
  return out;
}

std::string LastingFile::read() const { return read_file(path_, disk_); }

bool LastingFile::append(const std::string& bytes) {
  return file_.open(path_, O_CREAT) && file_.append(bytes);
}

bool LastingFile::replace(const std::string& bytes) { return file_.replace(path_, path_ + ".new", bytes); }

}  // namespace firspool::relay
