// Simulated clocks of a host, and a temporary folder for the journal of a process.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "journal.h"

namespace firspool::relay {

constexpr Time kMs = 1000;
constexpr Time kSecond = 1000 * kMs;
constexpr Time kHour = 3600 * kSecond;

// The clocks that the processes of one host read. Only the test knows the true time, which never steps.
struct SimulatedClocks {
  Time true_time = 0;
  Time boot_time = -5 * kSecond;
  Time wall_offset = 1'800'000'000 * kSecond;
  uint64_t boot_id = 1;

  Instant now() const { return {true_time - boot_time, true_time + wall_offset, boot_id}; }
  Time steady() const { return true_time - boot_time; }
};

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-budget-XXXXXX";
    path_ = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  Place place() const { return std::move(*Place::take(path_, 0)); }
  std::filesystem::path journal() const { return path_ / "journal"; }
  std::string bytes() const {
    std::ifstream in(journal(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write(const std::string& bytes) const {
    std::ofstream(journal(), std::ios::binary | std::ios::trunc) << bytes;
  }

 private:
  std::filesystem::path path_;
};

}  // namespace firspool::relay
