// Signals that come before the program serves, and while it drains.
#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <fstream>

#include "program_stage.h"

namespace firspool::testing {
namespace {

constexpr const char* kId = "00000000000000a1";

// Whether the program has a handler for a signal.
bool catches(const Program& program, int number) {
  std::ifstream in("/proc/" + std::to_string(program.pid()) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("SigCgt:")) continue;
    return (std::stoull(line.substr(7), nullptr, 16) >> (number - 1) & 1) != 0;
  }
  return false;
}

bool comes_to_catch(const Program& program, int number, bool wanted = true) {
  const auto last = std::chrono::steady_clock::now() + std::chrono::milliseconds(kDeadlineMs);
  while (catches(program, number) != wanted) {
    if (std::chrono::steady_clock::now() > last) return false;
    std::this_thread::yield();
  }
  return true;
}

bool has_ended(const Program& program) {
  siginfo_t what{};
  EXPECT_EQ(::waitid(P_PID, static_cast<id_t>(program.pid()), &what, WEXITED | WNOHANG | WNOWAIT), 0);
  return what.si_pid == program.pid();
}

TEST(ProgramSignals, SighupBeforeItServesIsHeard) {
  Stage s;
  s.discovery.mute();
  s.config["operator"] = free_address();
  Program program(s.config);
  program.launch();
  ASSERT_TRUE(comes_to_catch(program, SIGHUP));
  for (int i = 0; i < 3; ++i) program.signal(SIGHUP);
  program.await_listening();
  EXPECT_TRUE(asked(s.config["operator"], "STATUS").starts_with("OK"));
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
}

TEST(ProgramSignals, SigtermBeforeItServesEndsItAndLosesNothing) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put(kId, facts("unsafe", 99)), "+OK");
  s.program.kill();
  s.discovery.mute();
  s.program.launch();
  ASSERT_TRUE(comes_to_catch(s.program, SIGTERM));
  for (int i = 0; i < 2; ++i) s.program.signal(SIGTERM);
  EXPECT_EQ(s.program.wait(), 0);
  s.config["known"] = list_json(2, true, {member_json("s-1", s.host.address(), 99)});
  s.program.configure(s.config);
  s.program.start();
  EXPECT_EQ(id_of(s.host.next()), kId);
}

// Its files fail, so that its start is tried again and again: between two tries there is no handler.
TEST(ProgramSignals, SigtermBetweenTwoTriesOfAStartEndsItCleanly) {
  Stage s;
  s.program.fail_calls("spell_ms=1000,period_ms=1000,read=1");
  s.program.launch();
  ASSERT_TRUE(comes_to_catch(s.program, SIGTERM));
  ASSERT_TRUE(comes_to_catch(s.program, SIGTERM, false));
  s.program.signal(SIGTERM);
  EXPECT_EQ(s.program.wait(), 0);
}

// One that is told to end goes on being told until it is gone: its handlers are gone a little earlier.
TEST(ProgramSignals, SigtermUpToItsLastMomentEndsItCleanly) {
  Stage s;
  s.program.start();
  while (!has_ended(s.program)) {
    s.program.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(s.program.wait(), 0);
}

// While it drains: a second SIGTERM, a SIGHUP with a bad file and with a good one. Notices go to the new
// place.
TEST(ProgramSignals, SignalsWhileItDrainsEndNothingEarly) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put(kId, facts("unsafe")), "+OK");
  s.host.next();
  s.discovery.refuse(1'000'000);
  s.program.signal(SIGTERM);
  Socket client = s.program.client();
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
  s.program.replace("{");
  for (const int number : {SIGTERM, SIGHUP, SIGTERM}) s.program.signal(number);
  EXPECT_TRUE(client.ended());
  Discovery moved;
  s.config["discovery"] = moved.address();
  s.program.configure(s.config);
  s.program.signal(SIGHUP);
  s.host.reset();
  EXPECT_EQ(moved.notice(), nlohmann::json({{"id", kId}, {"state", "failed"}}));
  EXPECT_EQ(s.program.wait(), 0);
}

// Its call is out at SIGTERM, and its time ends while the process does: that is told before the end.
TEST(ProgramSignals, AMessageWhoseTimeEndsWhileItDrainsHasItsNotice) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put(kId, facts("unsafe", 7, 1500)), "+OK");
  EXPECT_EQ(s.put("00000000000000a2", facts("safe", 99, 1500)), "+OK");
  s.host.next();
  s.program.signal(SIGTERM);
  std::map<std::string, std::string> ended;
  for (int i = 0; i < 2; ++i) {
    const nlohmann::json notice = s.discovery.notice();
    ended[notice.at("id")] = notice.at("state");
  }
  EXPECT_EQ(ended, (std::map<std::string, std::string>{{kId, "failed"}, {"00000000000000a2", "returned"}}));
  EXPECT_EQ(s.program.wait(), 0);
}

}  // namespace
}  // namespace firspool::testing
