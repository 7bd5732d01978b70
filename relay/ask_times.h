// When a relay asks discovery.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "firspool/settings.h"

namespace firspool::relay {

// When this relay asks discovery for a watch. Discovery answers only so many asks a second of all relays
// together, and one that it turns down costs it as much as one that it answers: they are spread at random.
//
// How far is bounded by when news counts as told (see Watch), whatever became of the ask before:
// - after the start at most kFirstTurn; where news is pushed, half of the time in which sends have to stop;
// - after a lost watch kLostPause, twice: silence, both and two asks have room in 6 s;
// - then, while nothing is heard, kLongestPause: from any change on, two pauses and three asks of 0.8 s take
//   5.6 s. Where news is pushed a quarter of the time in which sends have to stop, since all that discovery
//   has at its return counts at once.
class AskTimes {
 public:
  static constexpr std::chrono::milliseconds kAnswer{800};
  static constexpr std::chrono::milliseconds kSlowAnswer{2000};
  static constexpr std::chrono::milliseconds kFirstTurn{2500};
  static constexpr std::chrono::milliseconds kLostPause{750};
  static constexpr std::chrono::milliseconds kLongestPause{1600};

  AskTimes(const Settings& settings, uint64_t seed);

  std::chrono::milliseconds first();  // after the start
  std::chrono::milliseconds again();  // after a lost watch, or an ask that was turned down
  // For the answer to the next ask: where lists have to be asked for, one that failed twice gets longer, so
  // that a discovery which takes its time over each is not asked for ever. A pushed list's agent answers at
  // once.
  std::chrono::milliseconds answer() const { return slow_ && failed_ > 2 ? kSlowAnswer : kAnswer; }
  void heard() { failed_ = 0; }

 private:
  std::chrono::milliseconds most_pause() const;

  std::mt19937_64 random_;
  std::chrono::milliseconds turn_{0};  // in which each relay asks once; 0: few enough to ask together
  std::chrono::milliseconds pushed_;   // the longest pause where news is pushed; else kLongestPause
  bool slow_;                          // discovery may take its time: lists are asked for
  int failed_ = 0;                     // asks and watches, since one was heard
};

}  // namespace firspool::relay
