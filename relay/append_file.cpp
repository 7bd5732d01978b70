#include "append_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace firspool::relay {

bool AppendFile::open(const std::filesystem::path& path, int flags, std::optional<size_t> whole) {
  if (is_open()) return true;
  const int file = disk_.open(path, flags | O_RDWR | O_APPEND);
  if (file < 0) return false;
  struct stat now {};
  if (::fstat(file, &now) != 0) {
    ::close(file);
    return false;
  }
  const auto size = static_cast<size_t>(now.st_size);
  const size_t counts = whole.value_or(size);
  begin(file, counts, counts < size);
  return true;
}

bool AppendFile::replace(const std::filesystem::path& path, const std::filesystem::path& fresh,
                         std::string_view bytes) {
  const int file = disk_.open(fresh, O_RDWR | O_CREAT | O_TRUNC | O_APPEND);
  if (file < 0) return false;
  if (!write_all(file, bytes) || disk_.rename(fresh, path) != 0) {
    ::close(file);
    disk_.unlink(fresh);
    return false;
  }
  begin(file, bytes.size(), false);
  return true;
}

// Over interruptions and short writes. False: some of the bytes may be there.
bool AppendFile::write_all(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t done = disk_.write(file, bytes.data(), bytes.size());
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
  if (write_all(file_, bytes)) {
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
