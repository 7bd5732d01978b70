#include "feed_files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <utility>

#include "lasting_file.h"

namespace firspool::relay {
namespace {

size_t at(umberhoist::feeds::LogFiles::Part part) { return static_cast<size_t>(part); }

}  // namespace

FeedFiles::FeedFiles(const std::filesystem::path& folder, int place) {
  const std::string back =
      (folder / "feeds.log").string() + (place == 0 ? "" : "." + std::to_string(place + 1));
  paths_[at(Part::kBack)] = back;
  paths_[at(Part::kFront)] = back + ".front";
}

FeedFiles::~FeedFiles() { forget(); }

void FeedFiles::forget() {
  close(Part::kFront);
  close(Part::kBack);
}

int FeedFiles::open(Part part, int flags) {
  int& fd = fds_[at(part)];
  if (fd < 0) fd = ::open(paths_[at(part)].c_str(), flags | O_CLOEXEC, 0600);
  return fd;
}

void FeedFiles::close(Part part) {
  if (const int fd = std::exchange(fds_[at(part)], -1); fd >= 0) ::close(fd);
}

std::string FeedFiles::read(Part part) { return read_file(paths_[at(part)]); }

std::string FeedFiles::read(Part part, size_t offset, size_t length) {
  std::string out(length, '\0');
  const int fd = open(part, part == Part::kBack ? O_RDWR | O_APPEND : O_RDONLY);
  const ssize_t got = fd < 0 ? -1 : ::pread(fd, out.data(), length, static_cast<off_t>(offset));
  out.resize(got < 0 ? 0 : static_cast<size_t>(got));
  return out;
}

bool FeedFiles::append(std::string_view bytes) {
  const int fd = open(Part::kBack, O_RDWR | O_APPEND);
  if (fd < 0 || (torn_at_ && !cut_off(fd))) return false;
  struct stat now {};
  if (::fstat(fd, &now) != 0) return false;
  if (write_all(system_disk(), fd, bytes)) return true;
  torn_at_ = static_cast<size_t>(now.st_size);
  cut_off(fd);
  return false;
}

bool FeedFiles::cut_off(int fd) {
  if (system_disk().truncate(fd, *torn_at_) != 0) return false;
  torn_at_.reset();
  return true;
}

bool FeedFiles::cut(size_t size) {
  return ::truncate(paths_[at(Part::kBack)].c_str(), static_cast<off_t>(size)) == 0;
}

bool FeedFiles::begin(std::string_view head) {
  close(Part::kBack);
  LastingFile file(paths_[at(Part::kBack)].string());
  if (!file.replace(std::string(head))) return false;
  torn_at_.reset();
  return true;
}

bool FeedFiles::promote() {
  close(Part::kFront);
  close(Part::kBack);
  return !torn_at_ && ::rename(paths_[at(Part::kBack)].c_str(), paths_[at(Part::kFront)].c_str()) == 0;
}

bool FeedFiles::drop_front() {
  close(Part::kFront);
  std::error_code failed;
  std::filesystem::remove(paths_[at(Part::kFront)], failed);
  return !failed;
}

std::pair<std::uintmax_t, std::uintmax_t> FeedFiles::sizes() const {
  const auto size = [](const std::filesystem::path& path) {
    std::error_code none;
    const std::uintmax_t out = std::filesystem::file_size(path, none);
    return none ? 0 : out;
  };
  return {size(paths_[0]), size(paths_[1])};
}

}  // namespace firspool::relay
