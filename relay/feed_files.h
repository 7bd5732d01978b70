// The two files of an outcome log (feeds/outcome_log.h) in the folder that lasts: "feeds.log" and
// "feeds.log.front" of the first place, "feeds.log.2" and so on of the second. They last as the journal does:
// over the process's death, not over the machine's.
#pragma once

#include <filesystem>
#include <optional>

#include "../feeds/outcome_log.h"

namespace firspool::relay {

class FeedFiles : public umberhoist::feeds::LogFiles {
 public:
  FeedFiles(const std::filesystem::path& folder, int place);
  ~FeedFiles() override;
  FeedFiles(const FeedFiles&) = delete;
  FeedFiles& operator=(const FeedFiles&) = delete;

  std::string read(Part part) override;
  std::string read(Part part, size_t offset, size_t length) override;
  bool append(std::string_view bytes) override;
  bool cut(size_t size) override;
  bool begin(std::string_view head) override;
  bool promote() override;
  bool drop_front() override;

  // Another process may have put other files in their place.
  void forget();
  // Bytes of front and back: others than before, and another process wrote.
  std::pair<std::uintmax_t, std::uintmax_t> sizes() const;

 private:
  int open(Part part, int flags);
  void close(Part part);
  bool cut_off(int fd);

  std::filesystem::path paths_[2];  // by part
  int fds_[2] = {-1, -1};
  std::optional<size_t> torn_at_;  // the back ends there in what could not be cut off: nothing may follow
};

}  // namespace firspool::relay
