// One thread plays both sides of a call: it runs the relay's loop up to a moment, then is the host.
#pragma once

#include <sys/socket.h>

#include <functional>

#include "peers.h"
#include "upstream.h"

namespace firspool::relay {

class UpstreamCrossing : public ::testing::Test {
 protected:
  static constexpr Time kHour = Time{3600} * 1'000'000;

  void begin(uint16_t port, Time timeout = kHour, const std::string& body = "body") {
    Call next;
    next.id = ++last_;
    next.endpoint = {1, 0};
    next.address = {boost::asio::ip::address_v4::loopback(), port};
    next.call_id = "9b1f03aa5c7e2d41";
    next.body = body;
    next.timeout = timeout;
    next.start_by = start_by_;
    next.budget = Budget::until(std::numeric_limits<Time>::max());
    ended_.reset();
    asked_ = written_ = false;
    upstream_.call(next);
  }
  void begin(Time timeout = kHour, const std::string& body = "body") {
    begin(listener_.port(), timeout, body);
  }
  void cancel() { upstream_.cancel(last_, 0); }

  void run_until(const std::function<bool()>& there) {
    io_.restart();
    while (!there()) io_.run_one();
  }
  void run_until_asked() {
    run_until([this] { return asked_ || ended_; });
  }
  void run_until_written() {
    run_until([this] { return written_ || ended_; });
  }
  AttemptEnded end() {
    run_until([this] { return ended_.has_value(); });
    return *ended_;
  }

  // A call with its last byte written, the host having read it whole.
  testing::Socket called(Time timeout = kHour) {
    begin(timeout);
    testing::Socket host = listener_.accept();
    run_until_written();
    EXPECT_TRUE(testing::read_request(host));
    return host;
  }
  // The host's end of a connection that is idle in the pool.
  testing::Socket pooled() {
    testing::Socket host = called();
    EXPECT_TRUE(host.send(kOk));
    EXPECT_EQ(end().outcome, Outcome::kOk);
    EXPECT_EQ(upstream_.idle(), 1u);
    return host;
  }

  static constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  static inline const std::string kMoreThanTheKernelTakes = std::string(32 << 20, 'b');

  boost::asio::io_context io_;
  testing::Socket listener_ = testing::Socket::listen();
  Time start_by_ = std::numeric_limits<Time>::max();
  bool may_start_ = true;
  bool asked_ = false;
  bool written_ = false;
  bool began_ = false;
  std::optional<AttemptEnded> ended_;
  uint64_t last_ = 0;
  Upstream upstream_{io_,
                     {1'000'000, 10'000'000, 16},
                     {"x0", "x1"},
                     [this](const Call&) {
                       asked_ = true;
                       return may_start_;
                     },
                     [this](const Call&) { written_ = true; },
                     [this](const AttemptEnded& end, bool began) {
                       ended_ = end;
                       began_ = began;
                     },
                     [](const ProbeEnded&) {}};
};

}  // namespace firspool::relay
