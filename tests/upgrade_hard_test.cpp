// Upgrades in which the files fail, a process dies in the moment of its yes, or the next upgrade follows.
#include <csignal>

#include "upgrade_stage.h"

namespace firspool::testing {
namespace {

constexpr const char* kWritesFailOften = "seed=5,spell_ms=1000,period_ms=1000,eio=0.6";
constexpr int kMessages = 8;
constexpr int kNowhere = 99;

std::string id_number(int number) {
  std::string out = "00000000000000b0";
  out.back() = static_cast<char>('0' + number);
  return out;
}

// Hands in until so many were accepted; what is refused comes again under another id.
void hand_in_accepted(Upgrade& s, int count) {
  for (int tries = 0; count > 0 && tries < 200; ++tries) {
    std::string id = std::to_string(1'000'000'000'000'000 + tries);
    if (s.hand_in(id, facts("unsafe", kNowhere)) == "+OK") --count;
  }
  ASSERT_EQ(count, 0);
}

TEST(UpgradeHard, WhatTheSuccessorCannotWriteAtOnceIsItsALittleLater) {
  Upgrade s;
  for (int i = 0; i < kMessages; ++i) EXPECT_EQ(s.hand_in(id_number(i), facts("unsafe", kNowhere)), "+OK");
  s.successor.fail_calls(kWritesFailOften);
  s.upgrade();
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", std::to_string(kMessages)));
  EXPECT_EQ(s.program.wait(), 0);  // of itself, with nothing left to do
}

TEST(UpgradeHard, WhatADeadSuccessorLeftIsTakenBackThoughWritesFail) {
  Upgrade s;
  s.program.kill();
  s.program.fail_calls(kWritesFailOften);
  s.program.start();
  s.keep_old_busy();
  hand_in_accepted(s, kMessages);
  s.upgrade();
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", std::to_string(kMessages)));
  s.successor.kill();
  EXPECT_TRUE(becomes(s.old_address(), "svc_in_flight", std::to_string(kMessages + 1)));
}

// The old process may be ending by itself in that moment: it serves again as a whole or is gone, and a caller
// who is waiting is answered by whoever serves next.
TEST(UpgradeHard, ASuccessorThatDiesOnceItHasAllLosesNothing) {
  Upgrade s;
  for (int i = 0; i < kMessages; ++i) EXPECT_EQ(s.hand_in(id_number(i), facts("unsafe", kNowhere)), "+OK");
  s.upgrade();
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", std::to_string(kMessages)));
  s.successor.kill();
  Socket waiting = Socket::connect(s.listener.port());
  waiting.send(put_bytes("00000000000000c0", facts("unsafe", kNowhere)));
  s.upgrade();
  EXPECT_EQ(waiting.line(), "+OK");
  EXPECT_EQ(s.program.wait(), 0);
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", std::to_string(kMessages + 1)));
}

TEST(UpgradeHard, ASuccessorIsHeardThoughAcceptsFail) {
  Upgrade s;
  s.program.kill();
  s.program.fail_calls("seed=5,accept=0.9");
  s.program.start();
  s.upgrade();
  EXPECT_EQ(s.program.wait(), 0);
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("safe", 8)), "+OK");
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a1");
}

// It joins the fleet in the middle of its life: a socket or file that it cannot have at once ends nothing.
TEST(UpgradeHard, ASuccessorJoinsItsFleetThoughSocketsAndReadsFail) {
  Upgrade s(true);
  s.successor.fail_calls("seed=5,socket=0.7,spell_ms=1000,period_ms=1000,read=0.3");
  s.upgrade();
  EXPECT_EQ(s.program.wait(), 0);
  EXPECT_TRUE(asked(s.new_address(), "FLEET").starts_with("OK"));
  s.successor.signal(SIGTERM);
  EXPECT_EQ(s.successor.wait(), 0);
}

// The one that took over is a predecessor itself a little later.
TEST(UpgradeHard, AnUpgradeOfAnUpgradePassesAllOn) {
  Upgrade s;
  for (int i = 0; i < kMessages; ++i) EXPECT_EQ(s.hand_in(id_number(i), facts("unsafe", kNowhere)), "+OK");
  s.upgrade();
  EXPECT_EQ(s.program.wait(), 0);
  nlohmann::json third_config = s.config;
  third_config["operator"] = free_address();
  Program third(third_config);
  third.share(s.successor);
  third.configure(third_config);
  third.start();
  EXPECT_EQ(s.successor.wait(), 0);
  EXPECT_TRUE(becomes(third_config["operator"], "svc_in_flight", std::to_string(kMessages)));
  s.discovery.tell(list_json(3, false, {member_json("s-3", s.other.address(), kNowhere)}));
  EXPECT_TRUE(id_of(s.other.next()).starts_with("00000000000000b"));
}

TEST(UpgradeHard, SighupToEitherProcessIsHeardByEach) {
  Upgrade s;
  s.keep_old_busy();
  s.upgrade();
  nlohmann::json& classes = s.changed["settings"]["categories"];
  classes.push_back(classes[0]);
  classes.back()["name"] = "fresh";
  s.successor.configure(s.changed);
  s.successor.signal(SIGHUP);
  s.program.signal(SIGHUP);
  EXPECT_TRUE(becomes(s.new_address(), "svc_reloads_ok_total", "1"));
  EXPECT_TRUE(becomes(s.old_address(), "svc_reloads_ok_total", "1"));
  EXPECT_EQ(s.hand_in("00000000000000a2", facts("fresh", 8)), "+OK");
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a2");
  s.host.answer("200");
  EXPECT_EQ(s.program.wait(), 0);
}

// Before its yes all is the old process's still; right behind it nothing is lost either.
TEST(UpgradeHard, ASuccessorThatDiesAroundItsYesTakesNothingWithIt) {
  Upgrade s;
  s.keep_old_busy();
  for (int i = 0; i < kMessages; ++i) EXPECT_EQ(s.hand_in(id_number(i), facts("unsafe", kNowhere)), "+OK");
  for (int lives = 0; lives < 3; ++lives) {
    s.changed["operator"] = free_address();
    s.successor.share(s.program);
    s.successor.configure(s.changed);
    s.successor.launch();
    if (lives > 0) s.successor.await_listening();
    s.successor.kill();
    EXPECT_TRUE(becomes(s.old_address(), "svc_in_flight", std::to_string(kMessages + 1)));
    EXPECT_EQ(s.hand_in("00000000000000c" + std::to_string(lives), facts("safe", 8)), "+OK");
    EXPECT_TRUE(id_of(s.other.next()).starts_with("00000000000000c"));
    s.other.answer("200");
  }
}

}  // namespace
}  // namespace firspool::testing
