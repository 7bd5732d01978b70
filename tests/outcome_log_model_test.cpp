// The outcome log on a disk that fails for a while, and under SIGKILL in any call: what was appended is
// there, once and in its order, in the same log.
#include <stdlib.h>

#include <filesystem>
#include <memory>
#include <vector>

#include "../relay/feed_files.h"
#include "failing_disk.h"
#include "gtest/gtest.h"

namespace firspool::relay {
namespace {

namespace feeds = umberhoist::feeds;
namespace fs = std::filesystem;

constexpr int kPlans = 500;
constexpr int kLives = 5;   // of the process, in one plan
constexpr int kSteps = 30;  // in one life
constexpr uint64_t kFirstLog = 1000;
constexpr feeds::Limits kRoomForAll{64 << 20, int64_t{1} << 40};
const std::string kCustomer = "acme";

feeds::Outcome outcome(uint64_t number) {
  feeds::Outcome out;
  out.number = number;
  out.id = "m" + std::to_string(number);
  out.customer = kCustomer;
  return out;
}

class Plan {
 public:
  explicit Plan(uint64_t seed) : disk_(seed) {
    std::string pattern = fs::temp_directory_path() / "umberhoist-log-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
    begin_log();
  }
  ~Plan() { fs::remove_all(folder_); }

  void play() {
    for (int life = 0; life < kLives && !::testing::Test::HasFailure(); ++life) {
      disk_.restart();
      disk_.failing = disk_.chance(0.7);
      start();
      check();
      for (int step = 0; step < kSteps && !disk_.killed; ++step) {
        if (disk_.chance(0.15)) disk_.failing = !disk_.failing;
        if (step > kSteps / 2 && disk_.chance(0.1)) disk_.kill_soon();
        append();
      }
      disk_.killed = true;
    }
    disk_.restart();
    disk_.failing = false;
    start();
    check();
  }

 private:
  // The log itself begins on a disk that is well.
  void begin_log() {
    FeedFiles files(folder_, 0);
    feeds::OutcomeLog log(files, kRoomForAll, kFirstLog);
  }

  // As the program does: a start whose files cannot be read tries again.
  void start() {
    for (int tries = 0;; ++tries) {
      log_.reset();
      files_ = std::make_unique<FeedFiles>(folder_, 0, disk_);
      try {
        if (tries > 5) disk_.failing = false;
        log_ = std::make_unique<feeds::OutcomeLog>(*files_, kRoomForAll, kFirstLog + 1);
        return;
      } catch (const std::exception&) {
        if (tries > 10) throw;
      }
    }
  }

  // One that may not be there is given again under its number, as the journal has it.
  void append() {
    const bool answer = log_->append(outcome(log_->next()), 0);
    if (answer && !disk_.killed) appended_ = log_->last();
  }

  void check() {
    ASSERT_EQ(log_->number(), kFirstLog) << "it was begun anew, and what it had is gone";
    ASSERT_GE(log_->last(), appended_) << "outcomes that were appended are gone";
    appended_ = log_->last();
    const bool failing = std::exchange(disk_.failing, false);
    const feeds::Slice all = log_->read(kCustomer, {}, 0, appended_ + 1, 64 << 20);
    disk_.failing = failing;
    ASSERT_EQ(all.outcomes.size(), appended_);
    for (uint64_t number = 1; number <= appended_; ++number) {
      EXPECT_EQ(all.outcomes[number - 1], outcome(number));
    }
  }

  testing::FailingDisk disk_;
  fs::path folder_;
  std::unique_ptr<FeedFiles> files_;
  std::unique_ptr<feeds::OutcomeLog> log_;
  uint64_t appended_ = 0;
};

TEST(OutcomeLogModel, WhatWasAppendedIsThereOnceAndInItsOrder) {
  for (uint64_t seed = 1; seed <= kPlans; ++seed) {
    SCOPED_TRACE("plan " + std::to_string(seed));
    Plan(seed).play();
    if (HasFailure()) return;
  }
}

}  // namespace
}  // namespace firspool::relay
