// Crossings with a connection that comes up, late or never: nothing is written before it is up and still
// wanted.
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "upstream_crossing.h"

namespace firspool::relay {
namespace {

using testing::Socket;

class UpstreamConnecting : public UpstreamCrossing {
 protected:
  // A listener with its queue full drops what asks for a connection; the kernel asks again after a second.
  Socket hold_back() {
    ::listen(listener_.fd(), 0);
    return Socket::connect(listener_.port());
  }
  // Of this process's sockets that wait for their connection: how many, and how many without delay.
  static std::pair<int, int> waiting_and_undelayed() {
    std::pair<int, int> out;
    for (int fd = 3; fd < 1024; ++fd) {
      tcp_info info{};
      socklen_t size = sizeof info;
      if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state != TCP_SYN_SENT)
        continue;
      int undelayed = 0;
      socklen_t flag = sizeof undelayed;
      ::getsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &undelayed, &flag);
      ++out.first;
      out.second += undelayed != 0 ? 1 : 0;
    }
    return out;
  }
};

TEST_F(UpstreamConnecting, WritesWithoutDelayFromItsFirstMoment) {
  const Socket first = hold_back();
  begin();
  EXPECT_EQ(waiting_and_undelayed(), std::pair(1, 1));
  cancel();
}

TEST_F(UpstreamConnecting, OneThatNeverComesUpNeverRan) {
  const Socket first = hold_back();
  upstream_.retune({100'000, 10'000'000, 16}, {});
  begin();
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  EXPECT_FALSE(asked_);
  EXPECT_FALSE(began_);
  EXPECT_EQ(waiting_and_undelayed().first, 0);  // it cannot come up any more
}

TEST_F(UpstreamConnecting, OneThatComesUpLateCarriesItsCallOnce) {
  Socket first = hold_back();
  upstream_.retune({20'000'000, 10'000'000, 16}, {});
  begin();
  io_.poll();
  EXPECT_EQ(waiting_and_undelayed().first, 1);
  ASSERT_TRUE(listener_.accept().open());  // the first one makes room
  Socket late = listener_.accept();
  run_until_written();
  ASSERT_TRUE(testing::read_request(late));
  ASSERT_TRUE(late.send(kOk));
  EXPECT_EQ(end().outcome, Outcome::kOk);
  EXPECT_EQ(waiting_and_undelayed().first, 0);
}

TEST_F(UpstreamConnecting, CancelledInTheMomentItComesUpNothingIsWritten) {
  begin();
  Socket host = listener_.accept();  // up, and our side has not heard
  cancel();
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  io_.poll();
  EXPECT_FALSE(asked_);
  EXPECT_FALSE(began_);
  EXPECT_EQ(host.exactly(1), "");  // its end, and no byte before it
}

// The message is over, or its destination was told to wait, while the connection came up: it is kept unused.
TEST_F(UpstreamConnecting, ACallThatMayNotStartAnyMoreWritesNothing) {
  may_start_ = false;
  begin();
  Socket host = listener_.accept();
  EXPECT_EQ(end().outcome, Outcome::kNotSent);
  EXPECT_FALSE(began_);
  EXPECT_EQ(upstream_.idle(), 1u);
  upstream_.close_all_idle();
  EXPECT_EQ(host.exactly(1), "");
}

// The connection comes up in the moment in which its time is over: the call goes on under its own time.
TEST_F(UpstreamConnecting, ATimeThatWasSetAnewIsNotOver) {
  upstream_.retune({1, 10'000'000, 16}, {});
  begin();
  Socket host = listener_.accept();
  const Time over = steady_now() + 1000;
  while (steady_now() < over) std::this_thread::yield();
  run_until_written();
  ASSERT_TRUE(testing::read_request(host));
  io_.poll();  // what was queued beside the connection
  ASSERT_FALSE(ended_);
  ASSERT_TRUE(host.send(kOk));
  EXPECT_EQ(end().outcome, Outcome::kOk);
}

}  // namespace
}  // namespace firspool::relay
