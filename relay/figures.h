// The relay's counts since the process began, of messages by class. Each has one owner, this; the operator's
// figures and the log's status line both read them.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::relay {

// Where a message's time goes: until its first attempt, told waits apart; between attempts and in told waits;
// until an attempt's first byte; and until that attempt's end.
enum class Stage { kQueue, kWait, kConnect, kAnswer };
constexpr std::array<const char*, 4> kStages = {"queue", "wait", "connect", "answer"};

class Figures {
 public:
  struct Levels {  // as they are now, counted where they are kept
    size_t in_flight = 0;
    size_t known = 0;
    size_t excluded = 0;
    // What waits: connections of clients, messages that are not out and the most of them for one destination,
    // calls, notices; and for how long.
    size_t clients = 0;
    size_t queue = 0;
    size_t deepest = 0;
    size_t calls = 0;
    size_t notices = 0;
    size_t journal = 0;  // bytes
    Time oldest_queue = 0;
    Time oldest_notice = 0;
  };
  enum class Place { kDoor, kHeld };  // where a message was when it was refused

  explicit Figures(const std::vector<ClassSettings>& classes) { show(classes); }

  // These show from now on, at 0 if they are new.
  void show(const std::vector<ClassSettings>& classes);
  // No longer a class, and nothing of it is left open.
  void forget(const std::string& name) { classes_.erase(name); }

  void taken() { ++totals_.taken; }
  void refused(const std::string& name, Place place, Reason reason);
  void attempt() { ++attempts_; }
  void served(const std::string& name);
  void failed(const std::string& name);
  void spent(Stage stage, Time time) { spent_[static_cast<size_t>(stage)] += time; }
  void ended(Stage stage) { ++ended_[static_cast<size_t>(stage)]; }  // a message, by its stage then
  void reloaded(bool ok) { ++(ok ? reloads_ok_ : reloads_failed_); }

  // One figure a line.
  std::string text(const Levels& levels) const;
  // The totals as part of a log line, counted since it was last asked for.
  std::string since_last();

 private:
  struct Class {
    uint64_t served = 0;
    uint64_t refused = 0;
    uint64_t failed = 0;
  };
  struct Totals {
    uint64_t taken = 0;
    uint64_t served = 0;
    uint64_t failed = 0;
    std::array<std::array<uint64_t, 5>, 2> refused = {};  // by place and reason
  };

  std::map<std::string, Class> classes_;
  Totals totals_;
  Totals reported_;
  uint64_t attempts_ = 0;
  std::array<Time, kStages.size()> spent_ = {};
  std::array<uint64_t, kStages.size()> ended_ = {};
  uint64_t reloads_ok_ = 0;
  uint64_t reloads_failed_ = 0;
};

}  // namespace firspool::relay
