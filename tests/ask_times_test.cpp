// When relays ask discovery: spread, and soon enough for what counts as told.
#include "ask_times.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ranges>
#include <vector>

namespace firspool::relay {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

Settings asking(int relays, bool list_on_request = true) {
  Settings out;
  out.relays = relays;
  out.list_on_request = list_on_request;
  out.list_request_interval = 10'000'000;
  out.drain_grace = 2'000'000;
  return out;
}

// Of a fleet's pauses, the most that end in one tenth of the time up to `within`.
template <typename Pause>
int most_in_a_tenth(int relays, milliseconds within, Pause pause) {
  std::map<int64_t, int> asks;
  for (int relay = 0; relay < relays; ++relay) {
    AskTimes times(asking(relays), 1000 + static_cast<uint64_t>(relay));
    const milliseconds at = pause(times);
    EXPECT_LE(at, within);
    ++asks[10 * at / (within + 1ms)];
  }
  return std::ranges::max(asks | std::views::values);
}

// Over as long as what counts as told allows, and evenly.
TEST(AskTimes, ALargeFleetSpreadsItsAsks) {
  EXPECT_LT(most_in_a_tenth(300, 2500ms, [](AskTimes& times) { return times.first(); }), 50);
  EXPECT_LT(most_in_a_tenth(300, 750ms, [](AskTimes& times) { return times.again(); }), 65);
  EXPECT_LT(most_in_a_tenth(300, 1600ms,
                            [](AskTimes& times) {
                              for (int i = 0; i < 9; ++i) times.again();
                              return times.again();
                            }),
            65);
}

// Silence 2.75 s, two pauses, an ask that hangs for 0.8 s, and one that is answered within that: under 6 s,
// however many relays there are. So is any change from when an ask was turned down, later.
TEST(AskTimes, OneFailedAskLeavesTimeForTheNext) {
  for (const int relays : {1, 3, 11, 100, 300, 5000}) {
    for (const bool asked_for : {true, false}) {
      for (uint64_t seed = 1; seed <= 100; ++seed) {
        AskTimes times(asking(relays, asked_for), seed);
        ASSERT_LT(1100ms + times.first() + 800ms + times.again() + 800ms, 6s)
            << relays;  // 1.1 s of a restart
        times.heard();
        ASSERT_LT(2750ms + times.again() + 800ms + times.again() + 800ms, 6s) << relays;
        for (int i = 0; i < 20; ++i) {
          ASSERT_LT(800ms + times.again() + 800ms + times.again() + 800ms, 6s) << relays;
        }
      }
    }
  }
}

// A fresh relay of 273 asked up to 5 s after its start, and sent meanwhile to what its agent knew to be
// draining. What the agent has at discovery's return counts at once: an ask that hangs leaves time as well.
TEST(AskTimes, WhereNewsIsPushedALargeFleetHearsOfADrainInTime) {
  for (uint64_t seed = 1; seed <= 100; ++seed) {
    AskTimes times(asking(273, false), seed);
    ASSERT_LE(times.first(), 1s) << seed;
    for (int i = 0; i < 20; ++i) ASSERT_LT(800ms + times.again(), 2s - 500ms) << seed;
  }
}

TEST(AskTimes, AFewRelaysAskAtOnceAndComeBackSoon) {
  AskTimes times(asking(3), 1);
  EXPECT_EQ(times.first(), 0ms);
  EXPECT_LT(times.again(), 100ms);
  for (int i = 0; i < 9; ++i) times.again();
  EXPECT_LE(times.again(), 3s);
  times.heard();
  EXPECT_LT(times.again(), 100ms);
}

}  // namespace
}  // namespace firspool::relay
