// One process of the program takes over from another.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "upgrade_stage.h"

namespace firspool::testing {
namespace {

// Nobody comes to a local socket where the platform does not hold the clients' one, and some refuse it.
TEST(Upgrade, IsReadyForASuccessorOnlyWhereTheSocketIsInherited) {
  const auto sockets = [](const Program& program) {
    return std::ranges::count_if(std::filesystem::directory_iterator(program.state()),
                                 [](const auto& entry) { return entry.is_socket(); });
  };
  Stage plain;
  plain.program.start();
  EXPECT_EQ(sockets(plain.program), 0);
  Upgrade upgraded;
  EXPECT_EQ(sockets(upgraded.program), 1);
}

TEST(Upgrade, TheSuccessorTakesOverWhatIsNotOut) {
  Upgrade s;
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();  // out, and unanswered until the end
  EXPECT_EQ(s.hand_in("00000000000000a2", facts("unsafe", 99)), "+OK");
  s.upgrade();
  EXPECT_TRUE(asked(s.new_address(), "STATUS").starts_with("OK"));
  EXPECT_TRUE(asked(s.old_address(), "STATUS").starts_with("ERR"));
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "1"));
  EXPECT_TRUE(becomes(s.old_address(), "svc_in_flight", "1"));
  EXPECT_EQ(s.hand_in("00000000000000a3", facts("safe", 8)), "+OK");
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a3");
  s.other.answer("200");
  s.host.answer("200");
  EXPECT_EQ(s.program.wait(), 0);  // of itself, with nothing left to do
  s.host.drop();
  s.discovery.tell(list_json(3, false, {member_json("s-3", s.host.address(), 99)}));
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
  s.host.answer("200");
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "0"));
  EXPECT_EQ(figures(s.new_address())["svc_attempts_total"], "2");
}

// Calls that were out at its end may have run.
TEST(Upgrade, TheSuccessorTakesOverFromAKilledProcess) {
  Upgrade s;
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("safe")), "+OK");
  s.host.next();
  s.upgrade();
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("safe")),
            "+OK");  // the other process holds it: no second one
  s.program.kill();
  s.host.drop();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a1");
  s.host.answer("200");
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "0"));
  EXPECT_EQ(figures(s.new_address())["svc_attempts_total"], "1");
}

TEST(Upgrade, TheOldProcessServesAgainIfTheNewOneDies) {
  Upgrade s;
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  EXPECT_EQ(s.hand_in("00000000000000a2", facts("unsafe", 99)), "+OK");
  s.upgrade();
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "1"));
  s.successor.kill();
  EXPECT_EQ(s.hand_in("00000000000000a3", facts("safe", 8)), "+OK");
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a3");
  EXPECT_TRUE(asked(s.old_address(), "STATUS").starts_with("OK"));
  s.discovery.tell(list_json(3, false, {member_json("s-3", s.other.address(), 99)}));
  s.other.answer("200");
  s.other.drop();
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a2");
}

// Predecessor and successor are one relay of the fleet, and hold one version of its policy.
TEST(Upgrade, TheSuccessorHoldsTheFleetsPolicy) {
  Upgrade s(true);
  EXPECT_TRUE(becomes(s.old_address(), "policy_open", "1"));
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("safe", 8)), "+OK");
  nlohmann::json policy = s.config;
  policy["settings"]["bounds"]["max_attempts"] = 3;
  const std::string path = s.program.state().string() + "/proposed.json";
  std::ofstream(path) << policy.dump();
  EXPECT_EQ(asked(s.old_address(), "POLICY PROPOSE c " + path), "OK handed in");
  EXPECT_TRUE(becomes(s.old_address(), "policy_version", "2"));
  s.upgrade();
  EXPECT_TRUE(becomes(s.new_address(), "policy_version", "2"));
  EXPECT_TRUE(becomes(s.new_address(), "policy_open", "1"));
  EXPECT_EQ(s.hand_in("00000000000000a2", facts("safe", 8)), "+OK");
  s.successor.kill();
  EXPECT_TRUE(becomes(s.old_address(), "policy_open", "1"));
  EXPECT_TRUE(becomes(s.old_address(), "policy_version", "2"));
  EXPECT_EQ(s.hand_in("00000000000000a3", facts("safe", 8)), "+OK");
  // Its own file has the policy of before: SIGHUP does not bring that back.
  s.program.signal(SIGHUP);
  EXPECT_TRUE(becomes(s.old_address(), "svc_reloads_failed_total", "1"));
  // From the folder alone, with its file as it was.
  s.program.kill();
  s.program.start();
  EXPECT_TRUE(becomes(s.old_address(), "policy_version", "2"));
}

// What waits at the socket is the next process's: the one that ends must not take it in, nor shut the socket.
TEST(Upgrade, LeavesTheInheritedSocketOpenAtItsEnd) {
  Upgrade s;
  s.program.signal(SIGTERM);
  EXPECT_EQ(s.program.wait(), 0);
  Socket early = Socket::connect(s.listener.port());
  early.send(put_bytes("00000000000000a1", facts("safe", 8)));
  s.upgrade();
  EXPECT_EQ(early.line(), "+OK");
}

}  // namespace
}  // namespace firspool::testing
