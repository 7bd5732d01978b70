// Crossings with the end of an idle connection.
#include "upstream_crossing.h"

namespace firspool::relay {
namespace {

using testing::Socket;
using UpstreamPool = UpstreamCrossing;

TEST_F(UpstreamPool, IsUsedUntilShortlyBeforeItsHostsCloseIt) {
  EXPECT_EQ(reuse_for(10'000'000), 9'000'000);
  EXPECT_EQ(reuse_for(2'000'000), 1'000'000);
  EXPECT_EQ(reuse_for(1'000'000), 500'000);
  EXPECT_EQ(reuse_for(0), 0);
}

// Hosts that close after a second, too: at least one call of many finds its connection young enough.
TEST_F(UpstreamPool, IsUsedWhereHostsCloseSoon) {
  upstream_.retune({1'000'000, 1'000'000, 16}, {});
  bool reused = false;
  for (int i = 0; i < 20 && !reused; ++i) {
    Socket host = pooled();
    begin();
    reused = written_;
    if (!reused) continue;
    ASSERT_TRUE(testing::read_request(host));
    ASSERT_TRUE(host.send(kOk));
    EXPECT_EQ(end().outcome, Outcome::kOk);
  }
  EXPECT_TRUE(reused);
}

// What its host has closed by the time of the call's first byte is not written to.
TEST_F(UpstreamPool, AnEndBeforeTheFirstByteCostsAFreshConnection) {
  Socket host = pooled();
  host.reset();
  begin();
  EXPECT_FALSE(written_);
  Socket fresh = listener_.accept();
  run_until_written();
  ASSERT_TRUE(testing::read_request(fresh));
  ASSERT_TRUE(fresh.send(kOk));
  EXPECT_EQ(end().outcome, Outcome::kOk);
}

// After a reset the host's other idle connections are not trusted.
TEST_F(UpstreamPool, AResetClosesTheHostsOthers) {
  Socket one = called();
  const uint64_t first = last_;
  begin();
  Socket other = listener_.accept();
  run_until_written();
  ASSERT_TRUE(testing::read_request(other));
  ASSERT_TRUE(one.send(kOk));
  EXPECT_EQ(end().id, first);
  EXPECT_EQ(upstream_.idle(), 1u);
  ended_.reset();
  other.reset();
  EXPECT_EQ(end().outcome, Outcome::kReset);
  EXPECT_EQ(upstream_.idle(), 0u);
  EXPECT_TRUE(one.ended());
}

}  // namespace
}  // namespace firspool::relay
