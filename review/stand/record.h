// What a case sent, heard and ran: lines with the time since its start, in record.txt.
#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <stdexcept>
#include <string>

namespace review {

// The case could not run: exit code 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Clock = std::chrono::steady_clock;

inline double seconds_between(Clock::time_point from, Clock::time_point to) {
  return std::chrono::duration<double>(to - from).count();
}

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {
    if (!file_) throw CannotRun("cannot write " + path);
  }

  double now() const { return seconds_between(start_, Clock::now()); }
  double at(Clock::time_point time) const { return seconds_between(start_, time); }

  void line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    const std::lock_guard lock(mutex_);
    file_ << time << text << std::endl;
  }

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review
