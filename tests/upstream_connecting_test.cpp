// Crossings with a connection that comes up, late or never: nothing is written before it is up and still
// wanted.
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "upstream_crossing.h"

namespace firspool::relay {
namespace {

using testing::Socket;
using UpstreamConnecting = UpstreamCrossing;

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
