// Connections of clients that end: by an error, at rest, and with the relay's process.
#include "clients_stage.h"

namespace firspool::relay {
namespace {

using testing::put_bytes;

constexpr Time kQuiet = 2'000'000;
const std::string kPong = "+PONG\r\n";

class ClientsClosing : public ClientsStage {
 protected:
  ClientsClosing() { serve({10, 100'000}); }
};

// The timer has decided to close, and the wake of the read is under way.
TEST_F(ClientsClosing, ARequestInTheInstantOfTheIdleCloseIsServed) {
  Socket client = connect();
  client.send(kPing);
  ASSERT_TRUE(run_until([&] { return waiting(client) == kPong.size(); }));
  stall(kQuiet + 10'000);
  io_.restart();
  ASSERT_EQ(io_.run_one(), 1u);  // the timer: nothing else is ready
  client.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  answers_[0]("+OK");
  EXPECT_EQ(read_all(client), kPong + "+OK\r\nend");
}

// A timer whose handler was ready when the request came acts on nothing.
TEST_F(ClientsClosing, ARequestAsTheTimerFiresIsServed) {
  Socket client = connect();
  settle();
  stall(kQuiet + 10'000);
  client.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  stall(kQuiet + 10'000);  // and while it is decided on there is none
  settle();
  answers_[0]("+OK");
  EXPECT_EQ(read_all(client), "+OK\r\nend");
}

// An answer that comes after the owner is gone has nowhere to go.
TEST_F(ClientsClosing, AnAnswerAfterTheEndIsDropped) {
  Socket client = connect();
  client.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  clients_.reset();
  answers_[0]("+OK");
  EXPECT_EQ(read_all(client), "end");
}

}  // namespace
}  // namespace firspool::relay
