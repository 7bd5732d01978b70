// Connections of clients at the relay's planned end.
#include <netinet/tcp.h>

#include <algorithm>

#include "clients_stage.h"

namespace firspool::relay {
namespace {

using testing::put_bytes;

class ClientsFinish : public ClientsStage {
 protected:
  ClientsFinish() { serve({10, 100'000}); }
};

TEST_F(ClientsFinish, ServesAPipelinedBurst) {
  Socket client = connect();
  client.send(put_bytes("a1", kFacts) + put_bytes("a2", kFacts) + kPing + put_bytes("a3", kFacts));
  ASSERT_TRUE(run_to(1));
  clients_->finish();
  for (size_t i = 0; i < 3; ++i) {
    ASSERT_TRUE(run_to(i + 1));
    settle();
    EXPECT_EQ(clients_->open(), 1u);
    answers_[i]("+OK");
  }
  EXPECT_EQ(read_all(client), "+OK\r\n+OK\r\n" + kPong + "+OK\r\nend");
  EXPECT_EQ(handed_, (std::vector<std::string>{"a1", "a2", "a3"}));
}

TEST_F(ClientsFinish, WaitsForTheRestOfARequest) {
  Socket client = connect();
  const std::string bytes = put_bytes("a1", kFacts);
  client.send(bytes.substr(0, bytes.size() / 2));
  settle();
  clients_->finish();
  settle();
  client.send(bytes.substr(bytes.size() / 2));
  ASSERT_TRUE(run_to(1));
  answers_[0]("+OK");
  EXPECT_EQ(read_all(client), "+OK\r\nend");
}

// Between the decision to close and the wake of the read that closes.
TEST_F(ClientsFinish, ServesWhatComesInItsInstant) {
  Socket client = connect();
  client.send(kPing);
  ASSERT_TRUE(run_until([&] { return waiting(client) == kPong.size(); }));
  clients_->finish();
  client.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  answers_[0]("+OK");
  EXPECT_EQ(read_all(client), kPong + "+OK\r\nend");
}

TEST_F(ClientsFinish, WritesAnAnswerToItsEnd) {
  Socket client = connect();
  const std::string body(60'000, 'x');
  const std::string echo = "$60000\r\n" + body + "\r\n";
  const std::string ping = "*2\r\n$4\r\nPING\r\n" + echo;
  // The peer reads nothing until no more goes into the socket: an answer is half written then.
  std::string out;
  size_t sent = 0;
  for (int idle = 0; idle < 20; ++idle) {
    if (out.size() - sent < ping.size()) out += ping;
    const ssize_t got = ::send(client.fd(), out.data() + sent, out.size() - sent, MSG_DONTWAIT);
    if (got > 0) {
      sent += static_cast<size_t>(got);
      idle = 0;
    }
    settle();
  }
  const size_t whole = sent / ping.size();
  ASSERT_GT(whole, 1u);
  ASSERT_LT(waiting(client), whole * echo.size());
  clients_->finish();
  std::string all;
  ASSERT_TRUE(run_until([&] {
    char bytes[65'536];
    const ssize_t got = ::recv(client.fd(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (got > 0) all.append(bytes, static_cast<size_t>(got));
    return all.size() >= whole * echo.size();
  }));
  EXPECT_EQ(all.size(), whole * echo.size());
}

// A client opens a connection in order to send: closed before, its request is refused.
TEST_F(ClientsFinish, GivesANewConnectionAMomentForItsRequest) {
  std::unique_ptr<Socket> client;
  for (Time took = kQuiet; took > 200'000;) {  // of a moment that the machine was away for, nothing is said
    handed_.clear();
    serve({10, 100'000});
    client = std::make_unique<Socket>(connect());
    const Time began = steady_now();
    ASSERT_TRUE(run_until([&] { return clients_->open() == 1; }));
    clients_->finish();
    settle();
    took = steady_now() - began;
  }
  client->send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  answers_.back()("+OK");
  EXPECT_EQ(read_all(*client), "+OK\r\nend");
  Socket late = connect();
  EXPECT_FALSE(late.open());  // and nobody can come
}

TEST_F(ClientsFinish, EndsANewConnectionOnWhichNothingComes) {
  Socket client = connect();
  ASSERT_TRUE(run_until([&] { return clients_->open() == 1; }));
  clients_->finish();
  EXPECT_EQ(read_all(client), "end");
  client.close();
  EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
}

// Those that wait are served one after another: calls and the journal keep their descriptors.
TEST_F(ClientsFinish, ServesTheBacklogWithinTheLimit) {
  serve({3, 100'000});
  decide_ = true;
  std::vector<Socket> crowd;
  for (int i = 0; i < 12; ++i) {
    crowd.push_back(connect());
    crowd.back().send(put_bytes("a" + std::to_string(i), kFacts));
  }
  clients_->finish();
  size_t most = 0;
  ASSERT_TRUE(run_until([&] {
    most = std::max(most, clients_->open());
    for (Socket& client : crowd) {
      if (waiting(client) == 5 && client.exactly(5) == "+OK\r\n") client.close();
    }
    return std::ranges::none_of(crowd, [](const Socket& client) { return client.open(); });
  }));
  EXPECT_EQ(handed_.size(), 12u);
  EXPECT_LE(most, 3u);
}

// Of the one that was accepted while it served, and of one from the backlog at its end.
TEST_F(ClientsFinish, NoAnswerIsHeldBackBySystem) {
  const auto no_delay = [&](const Socket& client) {
    for (int fd = 0; fd < 1024; ++fd) {
      sockaddr_in at{};
      socklen_t size = sizeof at;
      if (::getpeername(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) continue;
      if (ntohs(at.sin_port) != client.port()) continue;
      int set = 0;
      socklen_t bytes = sizeof set;
      ::getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &set, &bytes);
      return set != 0;
    }
    return false;
  };
  Socket first = connect();
  ASSERT_TRUE(run_until([&] { return clients_->open() == 1; }));
  Socket second = connect();
  clients_->finish();
  ASSERT_EQ(clients_->open(), 2u);
  EXPECT_TRUE(no_delay(first));
  EXPECT_TRUE(no_delay(second));
}

}  // namespace
}  // namespace firspool::relay
