#include "lasting_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace firspool::relay {

std::string read_file(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

LastingFile::~LastingFile() {
  if (fd_ >= 0) ::close(fd_);
}

std::string LastingFile::read() const { return read_file(path_); }

bool LastingFile::open() {
  if (fd_ >= 0) return true;
  fd_ = ::open(path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  struct stat now {};
  if (fd_ < 0 || ::fstat(fd_, &now) != 0) return false;
  size_ = static_cast<size_t>(now.st_size);
  return true;
}

bool LastingFile::append(const std::string& bytes) {
  if (!open()) return false;
  const ssize_t written = ::write(fd_, bytes.data(), bytes.size());
  if (written == static_cast<ssize_t>(bytes.size())) {
    size_ += bytes.size();
    return true;
  }
  if (written > 0 && ::ftruncate(fd_, static_cast<off_t>(size_)) != 0) {
    ::close(std::exchange(fd_, -1));  // its end is torn: whoever reads it next cuts that off
  }
  return false;
}

bool LastingFile::replace(const std::string& bytes) {
  const std::string fresh = path_ + ".new";
  std::ofstream out(fresh, std::ios::binary | std::ios::trunc);
  out << bytes;
  out.close();
  std::error_code failed;
  if (out) std::filesystem::rename(fresh, path_, failed);
  if (!out || failed) {
    std::filesystem::remove(fresh, failed);
    return false;
  }
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  return open();
}

}  // namespace firspool::relay
