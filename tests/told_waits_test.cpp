// What hosts tell to wait, at the limits of it: each as its host wrote it, from the writing of its answer on.
#include <poll.h>

#include <chrono>
#include <vector>

#include "program_stage.h"

namespace firspool::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A host that holds several connections at once.
struct WideHost {
  Socket listener = Socket::listen();
  std::vector<Socket> connections;

  std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }

  // The connection on which the next call came, and its id; none came within so long: -1.
  int next(std::string& id, int within_ms = kDeadlineMs) {
    const auto until = steady_clock::now() + milliseconds(within_ms);
    while (steady_clock::now() < until) {
      std::vector<pollfd> waiting = {{listener.fd(), POLLIN, 0}};
      for (const Socket& connection : connections) waiting.push_back({connection.fd(), POLLIN, 0});
      ::poll(waiting.data(), waiting.size(), 10);
      if (waiting[0].revents != 0) connections.push_back(listener.accept());
      for (size_t i = 1; i < waiting.size(); ++i) {
        if (waiting[i].revents == 0) continue;
        const auto request = read_request(connections[i - 1]);
        if (!request) {
          connections[i - 1] = Socket();
          continue;
        }
        id = id_of(*request);
        return static_cast<int>(i - 1);
      }
    }
    return -1;
  }
  void turn_away(int connection, const std::string& headers) {
    connections[static_cast<size_t>(connection)].send("HTTP/1.1 429 x\r\n" + headers +
                                                      "Content-Length: 0\r\n\r\n");
  }
  void answer(int connection) {
    connections[static_cast<size_t>(connection)].send("HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n");
  }
};

struct ToldWait : ::testing::Test {
  WideHost host;
  Discovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  Program program{config};

  ToldWait() { program.start(); }
  std::string put(const std::string& id, int life_ms = 60'000) {
    Socket client = program.client();
    client.send(put_bytes(id, facts("safe", 7, life_ms)));
    return client.line();
  }
  // Its first call is turned away; since when, at the latest, its host's words count.
  steady_clock::time_point turned_away(const std::string& id, const std::string& headers,
                                       int life_ms = 60'000) {
    EXPECT_EQ(put(id, life_ms), "+OK");
    std::string called;
    const int at = host.next(called);
    EXPECT_GE(at, 0);
    EXPECT_EQ(called, id);
    const auto told = steady_clock::now();
    if (at >= 0) host.turn_away(at, headers);
    return told;
  }
};

TEST_F(ToldWait, ASecondShorterOneDoesNotEndTheFirst) {
  std::string id;
  EXPECT_EQ(put("00000000000000a1"), "+OK");
  const int first = host.next(id);
  EXPECT_EQ(put("00000000000000a2"), "+OK");
  const int second = host.next(id);
  ASSERT_TRUE(first >= 0 && second >= 0 && first != second);
  const auto told = steady_clock::now();
  host.turn_away(first, "Retry-After: 1.25\r\n");
  host.turn_away(second, "Retry-After: 0.1\r\n");
  EXPECT_GE(host.next(id), 0);
  EXPECT_GE(steady_clock::now() - told, milliseconds(1250));
}

TEST_F(ToldWait, DecimalsCount) {
  std::string id;
  const auto told = turned_away("00000000000000a1", "Retry-After: 0.75\r\n");
  EXPECT_GE(host.next(id), 0);
  EXPECT_GE(steady_clock::now() - told, milliseconds(750));
}

TEST_F(ToldWait, WhatIsNoTimeHoldsNothingUp) {
  std::string id;
  EXPECT_EQ(put("00000000000000a1"), "+OK");
  for (const char* headers : {"", "Retry-After: 0\r\n", "Retry-After: -3\r\n", "Retry-After: soon\r\n"}) {
    const int at = host.next(id);
    ASSERT_GE(at, 0) << headers;
    host.turn_away(at, headers);
  }
  const int at = host.next(id);
  ASSERT_GE(at, 0);
  host.answer(at);
}

// It ends by its time, with no call in between.
TEST_F(ToldWait, OneLongerThanTheMessagesTimeEndsIt) {
  std::string id;
  turned_away("00000000000000a1", "Retry-After: 30\r\n", 1000);
  const nlohmann::json notice = discovery.notice();
  ASSERT_TRUE(notice.is_object());
  EXPECT_EQ(notice["id"], "00000000000000a1");
  EXPECT_EQ(host.next(id, 300), -1);
}

TEST_F(ToldWait, ARestartEndsIt) {
  std::string id;
  turned_away("00000000000000a1", "Retry-After: 50\r\n");
  EXPECT_EQ(put("00000000000000a2"), "+OK");
  EXPECT_EQ(host.next(id, 300), -1);
  program.kill();
  program.start();
  EXPECT_GE(host.next(id, 20'000), 0);
}

}  // namespace
}  // namespace firspool::testing
