// Peers that send much, read nothing or keep what they hold: each holds up nobody else.
#include <malloc.h>

#include "clients_stage.h"

namespace firspool::relay {
namespace {

using testing::put_bytes;

class ClientsFloods : public ClientsStage {
 protected:
  ClientsFloods() { serve({200, 1'000'000}); }
};

// What is unread when an answer finds nobody is dropped.
TEST_F(ClientsFloods, APeerThatSendsMuchAndGoesIsNotServedOn) {
  decide_ = true;
  std::string burst;
  for (int i = 0; i < 1000; ++i) burst += put_bytes("a" + std::to_string(i), kFacts);
  for (const bool reset : {false, true}) {
    handed_.clear();
    Socket peer = connect();
    peer.send(burst);
    if (reset) {
      peer.reset();
    } else {
      peer.close();
    }
    EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
    EXPECT_LT(handed_.size(), 10u) << reset;
  }
}

// Nothing more of it is read while an answer waits, and it goes.
TEST_F(ClientsFloods, APeerThatReadsNothingGoes) {
  Socket peer = connect();
  ASSERT_TRUE(run_until([&] { return clients_->open() == 1; }));
  const std::string ping = "*2\r\n$4\r\nPING\r\n$60000\r\n" + std::string(60'000, 'x') + "\r\n";
  size_t sent = 0;
  ASSERT_TRUE(run_until([&] {
    const ssize_t got = ::send(peer.fd(), ping.data(), ping.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    sent += got > 0 ? static_cast<size_t>(got) : 0;
    return clients_->open() == 0;
  }));
  EXPECT_LT(sent, 60u * 1024 * 1024);
}

// A burst on one connection is worked off between the others' requests, one at a time.
TEST_F(ClientsFloods, AFloodHoldsNobodyUp) {
  Socket flood = connect();
  constexpr size_t kPings = 5000;
  std::string burst;
  for (size_t i = 0; i < kPings; ++i) burst += kPing;
  Socket client = connect();
  ASSERT_TRUE(run_until([&] { return clients_->open() == 2; }));
  flood.send(burst);
  client.send(put_bytes("a1", kFacts));
  bool fired = false;
  boost::asio::steady_timer timer(io_, std::chrono::microseconds(0));
  timer.async_wait([&](auto) { fired = true; });
  ASSERT_TRUE(run_until([&] { return fired && !handed_.empty(); }));
  EXPECT_LT(waiting(flood), kPings * 7 / 2);
  ASSERT_TRUE(run_until([&] { return waiting(flood) == kPings * 7; }));
}

// It was to make room, and its request became whole before the read was woken: it is a client like any other.
TEST_F(ClientsFloods, ARequestThatCrossesItsEvictionIsServedAndTheNextOnesToo) {
  serve({10, 100'000});
  const std::string large = put_bytes("a1", kFacts, std::string(60'000, 'x'));
  Socket client = connect();
  client.send(large.substr(0, 59'000));
  Socket other = connect();
  other.send(large.substr(0, 40'000));
  settle();
  stall(10'000);
  settle();
  other.send(large.substr(40'000, 2'000));
  stall(10'000);
  io_.restart();
  ASSERT_EQ(io_.run_one(), 1u);  // over the bound: the one that holds most is woken
  client.send(large.substr(59'000));
  stall(10'000);
  ASSERT_TRUE(run_to(1));
  answers_[0]("+OK");
  ASSERT_TRUE(run_until([&] { return waiting(client) == 5; }));
  EXPECT_EQ(client.line(), "+OK");
  client.send(kPing);
  ASSERT_TRUE(run_until([&] { return waiting(client) > 0; }));
  EXPECT_EQ(client.line(), "+PONG");
}

// The largest request that each ever sent is not held for as long as it rests.
TEST_F(ClientsFloods, ConnectionsThatRestHoldLittleMemory) {
  constexpr size_t kClients = 100;
  const auto used = [] {
    const auto all = ::mallinfo2();
    return all.uordblks + all.hblkhd;
  };
  decide_ = true;
  const std::string large = put_bytes("a1", kFacts, std::string(60'000, 'x'));
  const size_t before = used();
  std::vector<Socket> crowd;
  for (size_t i = 0; i < kClients; ++i) {
    crowd.push_back(connect());
    crowd.back().send(large);
    ASSERT_TRUE(run_until([&] { return waiting(crowd.back()) == 5; }));
  }
  ASSERT_EQ(clients_->open(), kClients);
  EXPECT_LT(used() - before, kClients * 32 * 1024);
}

}  // namespace
}  // namespace firspool::relay
