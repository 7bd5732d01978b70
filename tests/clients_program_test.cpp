// The program's clients at its limits and at its end.
#include <csignal>

#include "peers.h"

namespace firspool::testing {
namespace {

const char* const kFacts = "c=unsafe,d=60000,dest=7";
const char* const kPing = "*1\r\n$4\r\nPING\r\n";

struct Stage {
  Host host;
  Discovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
};

std::vector<Socket> crowd(const Program& program, int size) {
  std::vector<Socket> out;
  for (int i = 0; i < size; ++i) out.push_back(program.client());
  return out;
}

// Peers that rest hold all places of clients: the journal, a call's connection and the notice's have theirs.
TEST(ClientsProgram, PeersThatRestLeaveTheRestItsDescriptorsWhileDiscoveryIsDown) {
  Stage s;
  s.config["limits"]["sockets"] = 64;
  s.discovery.mute();
  Program small(s.config);
  small.start(64);
  const std::vector<Socket> before = crowd(small, 60);
  Socket client = small.client();
  client.send(put_bytes("a1", kFacts));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(s.host.next().headers.at("x-call-id"), "a1");
  const std::vector<Socket> after = crowd(small, 60);
  s.host.reset();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "a1"}, {"state", "failed"}}));
}

// The descriptors are all taken when the backlog is to be served: it is tried again as they come free.
TEST(ClientsProgram, ServesTheBacklogAtItsEndThoughDescriptorsRanOut) {
  Stage s;
  s.config["limits"]["sockets"] = 64;
  Program small(s.config);
  small.start(32);
  const std::vector<Socket> quiet = crowd(small, 40);
  Socket client = small.client();
  client.send(put_bytes("a1", kFacts));
  small.signal(SIGTERM);
  EXPECT_EQ(client.line(), "+OK");
}

// One that rests and never ends, one with half a request, one that is new, and a burst: what was asked is
// answered, and nobody's connection keeps the process.
TEST(ClientsProgram, SigtermAnswersAllAndEndsInTime) {
  Stage s;
  Program program(s.config);
  program.start();
  Socket rests = program.client();
  Socket half = program.client();
  Socket burst = program.client();
  for (Socket* client : {&rests, &half, &burst}) {
    client->send(kPing);
    EXPECT_EQ(client->line(), "+PONG");
  }
  const std::string bytes = put_bytes("a1", kFacts);
  half.send(bytes.substr(0, bytes.size() / 2));
  program.signal(SIGTERM);
  const auto began = std::chrono::steady_clock::now();
  Socket fresh = program.client();
  for (int i = 0; i < 100; ++i) burst.send(kPing);
  for (int i = 0; i < 100; ++i) ASSERT_EQ(burst.line(), "+PONG") << i;
  EXPECT_EQ(burst.line(), "");
  half.send(bytes.substr(bytes.size() / 2));
  EXPECT_EQ(half.line(), "+OK");
  s.host.next();
  s.host.answer("200");
  EXPECT_TRUE(half.ended());
  EXPECT_TRUE(rests.ended());
  EXPECT_TRUE(fresh.ended());
  EXPECT_EQ(program.wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(3700));
}

}  // namespace
}  // namespace firspool::testing
