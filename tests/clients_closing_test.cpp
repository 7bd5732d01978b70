// Connections of clients that end: by an error, at rest, and with the relay's process.
#include "clients_stage.h"

namespace firspool::relay {
namespace {

using testing::put_bytes;

class ClientsClosing : public ClientsStage {
 protected:
  ClientsClosing() { serve({10, 100'000}); }
};

// More than one read takes, behind bytes that are no request: what is left over must not turn into a reset.
TEST_F(ClientsClosing, AnErrorLineOutlivesUnreadBytes) {
  Socket peer = connect();
  peer.send("GET / HTTP/1.1\r\n" + std::string(60'000, 'x'));
  const std::string all = read_all(peer);
  EXPECT_TRUE(all.starts_with("-ERR")) << all;
  EXPECT_TRUE(all.ends_with("\r\nend")) << all;
  peer.close();
  EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
}

// The client sees the end, and its request was under way: it hands it in again elsewhere, so no relay may.
TEST_F(ClientsClosing, ARequestThatCrossesTheIdleCloseIsDroppedWithoutAReset) {
  Socket client = connect();
  ASSERT_TRUE(run_until([&] { return over(client); }));
  client.send(put_bytes("a1", kFacts) + put_bytes("a2", kFacts));
  settle();
  stall(10'000);
  settle();
  EXPECT_EQ(read_all(client), "end");
  EXPECT_EQ(clients_->open(), 1u);  // until the client ends too
  client.close();
  EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
  EXPECT_TRUE(handed_.empty());
}

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

TEST_F(ClientsClosing, APeerThatNeverEndsIsLetGo) {
  Socket peer = connect();
  peer.send("x");
  EXPECT_TRUE(read_all(peer).ends_with("end"));
  EXPECT_EQ(clients_->open(), 1u);
  EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
}

// A lingering connection reads on for a bound of bytes, and takes none of them for a request.
TEST_F(ClientsClosing, APeerThatNeverStopsIsLetGo) {
  Socket peer = connect();
  peer.send("x");
  EXPECT_TRUE(read_all(peer).ends_with("end"));
  const std::string more = put_bytes("a1", kFacts, std::string(10'000, 'x'));
  size_t sent = 0;
  ASSERT_TRUE(run_until([&] {
    const ssize_t got = ::send(peer.fd(), more.data(), more.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    sent += got > 0 ? static_cast<size_t>(got) : 0;
    return clients_->open() == 0;
  }));
  EXPECT_GE(sent, 1024u * 1024u);  // by the bytes, ahead of the time
  EXPECT_TRUE(handed_.empty());
}

// Connections that only wait for their peers' ends hold up nobody: each has half a second for that.
TEST_F(ClientsClosing, AConnectionThatLingersGivesItsPlaceUp) {
  serve({1, 100'000});
  constexpr int kPeers = 8;
  const Time began = steady_now();
  std::vector<Socket> peers;
  for (int i = 0; i < kPeers; ++i) {
    peers.push_back(connect());
    peers.back().send("x");
    ASSERT_TRUE(run_until([&] { return waiting(peers.back()) > 0; }));
  }
  Socket client = connect();
  client.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  EXPECT_LT(steady_now() - began, kPeers * 500'000 / 2);
  EXPECT_EQ(clients_->open(), 1u);
}

// What the process's end does to connections with unread bytes: an answer that was written still arrives.
TEST_F(ClientsClosing, AnAnswerOutlivesItsProcess) {
  Socket client = connect();
  client.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  client.send(put_bytes("a2", kFacts, std::string(60'000, 'x')));
  stall(10'000);
  answers_[0]("+OK");
  clients_.reset();
  EXPECT_EQ(read_all(client), "+OK\r\nend");
  EXPECT_EQ(handed_.size(), 1u);
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

// The process ends in the turn in which a request was read: that one is answered, and no other is read.
TEST_F(ClientsClosing, ARequestReadInTheLastTurnIsAnswered) {
  Socket client = connect();
  client.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  client.send(put_bytes("a2", kFacts));
  answers_[0]("+OK");
  io_.restart();
  while (unread_by_relay(client) > 0) ASSERT_EQ(io_.poll_one(), 1u);
  ASSERT_EQ(handed_.size(), 1u);  // it was read, and its handler has not run
  end();
  if (answers_.size() > 1) answers_[1]("+OK");
  clients_.reset();
  EXPECT_EQ(read_all(client), "+OK\r\n+OK\r\nend");
}

}  // namespace
}  // namespace firspool::relay
