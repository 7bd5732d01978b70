#include "feed_files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "lasting_file.h"

namespace firspool::relay {
namespace {

constexpr int kNoFile = -1;

}  // namespace

FeedFiles::FeedFiles(const std::filesystem::path& folder, int place, Disk& disk) : disk_(disk), back_(disk) {
  const std::string back =
      (folder / "feeds.log").string() + (place == 0 ? "" : "." + std::to_string(place + 1));
  paths_[static_cast<size_t>(Part::kBack)] = back;
  paths_[static_cast<size_t>(Part::kFront)] = back + ".front";
  readers_.fill(kNoFile);
}

FeedFiles::~FeedFiles() { close_readers(); }

void FeedFiles::forget() {
  close_readers();
  back_.close();
  whole_.reset();
}

int FeedFiles::open_to_read(Part part) {
  int& file = readers_[static_cast<size_t>(part)];
  if (file == kNoFile) file = disk_.open(path(part), O_RDONLY);
  return file;
}

void FeedFiles::close_readers() {
  for (int& file : readers_) {
    if (const int open = std::exchange(file, kNoFile); open != kNoFile) ::close(open);
  }
}

bool FeedFiles::open_to_append() {
  if (!back_.open(path(Part::kBack), 0, whole_)) return false;
  whole_.reset();
  return true;
}

std::string FeedFiles::read(Part part) { return read_file(path(part), disk_); }

std::string FeedFiles::read(Part part, size_t offset, size_t length) {
  std::string out(length, '\0');
  const int file = open_to_read(part);
  size_t have = 0;
  while (file != kNoFile && have < length) {
    const ssize_t got = disk_.read_at(file, out.data() + have, length - have, offset + have);
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) break;
    have += static_cast<size_t>(got);
  }
  out.resize(have);
  return out;
}

bool FeedFiles::append(std::string_view bytes) { return open_to_append() && back_.append(bytes); }

void FeedFiles::cut(size_t size) {
  back_.close();
  whole_ = size;
  open_to_append();  // where that fails it is cut before anything is appended
}

bool FeedFiles::begin(std::string_view head) {
  if (!back_.replace(path(Part::kBack), path(Part::kBack).string() + ".new", head)) return false;
  close_readers();
  whole_.reset();
  return true;
}

bool FeedFiles::promote() {
  if (!append("")) return false;  // its end is torn, and a front is read whole
  if (disk_.rename(path(Part::kBack), path(Part::kFront)) != 0) return false;
  forget();
  return true;
}

bool FeedFiles::drop_front() {
  if (disk_.unlink(path(Part::kFront)) != 0 && errno != ENOENT) return false;
  close_readers();
  return true;
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
