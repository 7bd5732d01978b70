// The clocks of a machine, and a folder of a process on it.
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

// A machine as processes see it. Only the test knows the true time.
struct Machine {
  Time truth = 0;
  Time booted = -5 * kSecond;
  Time wall_off = 1'800'000'000 * kSecond;
  uint64_t boot = 1;

  Instant now() const { return {truth - booted, truth + wall_off, boot}; }
  Time steady() const { return truth - booted; }
};

class Folder {
 public:
  Folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-budget-XXXXXX";
    path_ = ::mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path_); }
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
