// Relays whose system calls fail by a seeded plan (failing_calls.cpp): every promise is held all the same.
#include <cstdlib>

#include "plays.h"

namespace umberhoist::lab {
namespace {

nlohmann::json play_failing(const std::string& text, const std::string& calls) {
  ::setenv("FAILING_CALLS", calls.c_str(), 1);
  const nlohmann::json result = play_once(scenario(text + kClasses), failing_relay_program());
  ::unsetenv("FAILING_CALLS");
  return result;
}

// The spell of failing files meets the kill, the start behind it and the messages in between.
TEST(FailingCalls, FilesThatFailForAWhileLoseNothing) {
  expect_held(
      play_failing("length_s=8\nsettle_s=4\nrelays=3\n[[fault]]\nkind='kill'\nat_s=2.5\nfor_s=0.6\ncount=2\n",
                   "seed=11,spell_ms=800,period_ms=2000,write=0.7,eio=0.3,truncate=0.3,rename=0.7"));
}

TEST(FailingCalls, InterruptedAndShortCallsEndNothingLate) {
  expect_held(play_failing("length_s=6\nsettle_s=4\nrelays=2\n",
                           "seed=12,interrupt=0.1,short=0.3,accept=0.1,socket=0.05,connect=0.05"));
}

// Deadlines, windows and waits are spans of real time, in one process and over a kill.
TEST(FailingCalls, AWallClockThatStepsByAnHourChangesNothing) {
  expect_held(play_failing("length_s=8\nsettle_s=4\nrelays=2\n[[fault]]\nkind='kill'\nat_s=3.5\nfor_s=0.6\n",
                           "clock_step_s=3600,clock_every_s=2"));
}

// The rolling soak, short and seeded: closed loops up to the end, signals in series, partners that hang
// across a shutdown, and a crowd.
TEST(RollingSoak, EachPromiseIsHeldAcrossRestarts) {
  expect_held(
      play_once(scenario("length_s=14\nsettle_s=6\nrelays=3\n[load]\nrate=40\nclosed_loop=3\ncrowd=40\n"
                         "[relay]\nsockets=128\nmemory_mb=2000\n"
                         "[[fault]]\nkind='roll'\nat_s=2\nevery_s=4\nfor_s=0.6\nshare=1\nsignals=3\n"
                         "[[fault]]\nkind='reload'\nat_s=1\nevery_s=0.5\nfor_s=12\nshare=1\n"
                         "[[fault]]\nkind='partner'\nstate='hung'\nat_s=1.8\nfor_s=5\ncount=1\n" +
                         std::string(kClasses)),
                relay_program(), 7));
}

}  // namespace
}  // namespace umberhoist::lab
