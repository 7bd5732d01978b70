#include "place.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "disk_faults.h"
#include "lasting_file.h"

namespace firspool::relay {
namespace {

// "journal" and "journal.2", and so on.
std::filesystem::path numbered(const std::filesystem::path& path, int number) {
  return number == 0 ? path.string() : path.string() + "." + std::to_string(number + 1);
}

}  // namespace

std::optional<Place> Place::take(const std::filesystem::path& folder, int number) {
  const auto path = numbered(folder / "lock", number);
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0) throw DiskFault(kFileUnwritable, path, "cannot be opened", errno);
  Place out(folder, number, file);
  int locked = ::flock(file, LOCK_EX | LOCK_NB);
  while (locked != 0 && errno == EINTR) locked = ::flock(file, LOCK_EX | LOCK_NB);
  if (locked != 0 && errno == EWOULDBLOCK) return {};
  if (locked != 0) throw DiskFault(kFileUnwritable, path, "cannot be locked", errno);
  std::error_code ignored;
  std::filesystem::remove(out.fresh(), ignored);
  return out;
}

Place::Place(std::filesystem::path folder, int number, int lock)
    : folder_(std::move(folder)), number_(number), lock_(lock) {}

Place::Place(Place&& other) noexcept
    : folder_(std::move(other.folder_)), number_(other.number_), lock_(std::exchange(other.lock_, -1)) {}

Place& Place::operator=(Place&& other) noexcept {
  std::swap(folder_, other.folder_);
  std::swap(number_, other.number_);
  std::swap(lock_, other.lock_);
  return *this;
}

Place::~Place() {
  if (lock_ >= 0) ::close(lock_);
}

std::filesystem::path Place::journal() const { return numbered(folder_ / "journal", number_); }

std::filesystem::path Place::fresh() const { return journal().string() + ".new"; }

std::string Place::read() const { return read_file(journal()); }

bool Place::remove() const {
  std::error_code failed;
  std::filesystem::remove(journal(), failed);
  return !failed;
}

}  // namespace firspool::relay
