// A process's place in the folder that lasts: which of its journals it may write.
#pragma once

#include <filesystem>
#include <optional>
#include <string>

namespace firspool::relay {

// The right to one of the two journals in the folder. It rests on a file lock, which the kernel releases when
// the process that holds it ends, however it ends.
class Place {
 public:
  static constexpr int kPlaces = 2;  // a process and its successor

  // Nothing: another process has it. Throws DiskFault where the folder cannot be used.
  static std::optional<Place> take(const std::filesystem::path& folder, int number);
  Place(Place&& other) noexcept;
  Place& operator=(Place&& other) noexcept;
  ~Place();

  int number() const { return number_; }
  std::filesystem::path journal() const;
  std::filesystem::path fresh() const;  // the journal's next file while it is compacted
  // What another process left here: read, then removed. read() throws DiskFault; false: it is there still.
  std::string read() const;
  bool remove() const;

 private:
  Place(std::filesystem::path folder, int number, int lock);

  std::filesystem::path folder_;
  int number_;
  int lock_;
};

}  // namespace firspool::relay
