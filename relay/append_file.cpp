#include "append_file.h"

#include <unistd.h>

#include <cerrno>
#include <utility>

namespace firspool::relay {

bool write_all(Disk& disk, int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t done = disk.write(file, bytes.data(), bytes.size());
    if (done < 0 && errno == EINTR) continue;
    if (done <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(done));
  }
  return true;
}

void AppendFile::begin(int file, size_t whole, bool torn) {
  close();
  file_ = file;
  resume(whole, torn);
}

void AppendFile::resume(size_t whole, bool torn) {
  size_ = whole;
  torn_ = torn;
  if (torn_) cut_off();
}

void AppendFile::close() {
  if (file_ >= 0) ::close(std::exchange(file_, -1));
}

bool AppendFile::append(std::string_view bytes) {
  if (torn_ && !cut_off()) return false;
  if (write_all(disk_, file_, bytes)) {
    size_ += bytes.size();
    return true;
  }
  torn_ = true;
  cut_off();
  return false;
}

bool AppendFile::cut_off() {
  int failed = disk_.truncate(file_, size_);
  while (failed != 0 && errno == EINTR) failed = disk_.truncate(file_, size_);
  torn_ = failed != 0;
  return !torn_;
}

}  // namespace firspool::relay
