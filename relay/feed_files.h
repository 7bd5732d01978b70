// The two files of an outcome log (feeds/outcome_log.h) in the folder that lasts: "feeds.log" and
// "feeds.log.front" of the first place, "feeds.log.2" and so on of the second. They last as the journal does:
// over the process's death, not over the machine's.
#pragma once

#include <array>
#include <filesystem>
#include <optional>

#include "../feeds/outcome_log.h"
#include "append_file.h"

namespace firspool::relay {

// Promised beside what LogFiles says, as AppendFile promises it: nothing stands behind a part of a record,
// in any order of failures. Reading a whole file throws DiskFault where it cannot be read.
class FeedFiles : public umberhoist::feeds::LogFiles {
 public:
  FeedFiles(const std::filesystem::path& folder, int place, Disk& disk = system_disk());
  ~FeedFiles() override;
  FeedFiles(const FeedFiles&) = delete;
  FeedFiles& operator=(const FeedFiles&) = delete;

  std::string read(Part part) override;
  std::string read(Part part, size_t offset, size_t length) override;  // shorter where it cannot be read
  bool append(std::string_view bytes) override;
  void cut(size_t size) override;
  bool begin(std::string_view head) override;
  bool promote() override;
  bool drop_front() override;

  // Another process may have put other files in their place.
  void forget();
  // Bytes of front and back: others than before, and another process wrote.
  std::pair<std::uintmax_t, std::uintmax_t> sizes() const;

 private:
  static constexpr size_t kParts = 2;

  const std::filesystem::path& path(Part part) const { return paths_[static_cast<size_t>(part)]; }
  int open_to_read(Part part);
  void close_readers();
  bool open_to_append();

  Disk& disk_;
  std::array<std::filesystem::path, kParts> paths_;  // by part
  std::array<int, kParts> readers_;                  // descriptors, by part; -1: none
  AppendFile back_;
  std::optional<size_t> whole_;  // what counts of a back that is not open to be appended to yet; none: all
};

}  // namespace firspool::relay
