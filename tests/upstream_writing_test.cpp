// Crossings with the writing of a call: it has not run until the kernel has its last byte, and may have from
// then on.
#include "upstream_crossing.h"

namespace firspool::relay {
namespace {

using testing::Socket;
using UpstreamWriting = UpstreamCrossing;

TEST_F(UpstreamWriting, GivenUpRightAfterTheLastByteItMayHaveRun) {
  Socket host = pooled();
  begin();
  cancel();  // before anything else of ours has run
  EXPECT_EQ(end().outcome, Outcome::kCancelled);
  EXPECT_TRUE(testing::read_request(host));  // the host has it whole
}

TEST_F(UpstreamWriting, GivenUpRightAfterTheLastByteOnAFreshConnection) {
  begin();
  Socket host = listener_.accept();
  run_until_asked();
  cancel();
  EXPECT_EQ(end().outcome, Outcome::kCancelled);
  EXPECT_TRUE(testing::read_request(host));
}

TEST_F(UpstreamWriting, ATimeOutAmidTheRequestNeverRan) {
  begin(200'000, kMoreThanTheKernelTakes);
  Socket host = listener_.accept();
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  EXPECT_TRUE(began_);
  EXPECT_FALSE(written_);
  EXPECT_LT(testing::read_request(host)->body.size(), kMoreThanTheKernelTakes.size());
}

TEST_F(UpstreamWriting, CancelledAmidTheRequestItNeverRan) {
  begin(kHour, kMoreThanTheKernelTakes);
  Socket host = listener_.accept();
  run_until_asked();
  cancel();
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  EXPECT_LT(testing::read_request(host)->body.size(), kMoreThanTheKernelTakes.size());
}

TEST_F(UpstreamWriting, AResetAmidTheRequestNeverRan) {
  begin(kHour, kMoreThanTheKernelTakes);
  Socket host = listener_.accept();
  run_until_asked();
  host.reset();
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  EXPECT_TRUE(began_);
}

}  // namespace
}  // namespace firspool::relay
