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

// What the host says before the last byte answers no call; the rest is not sent, so this one never runs.
TEST_F(UpstreamWriting, AnAnswerThatComesBeforeTheLastByteIsNone) {
  begin(kHour, kMoreThanTheKernelTakes);
  Socket host = listener_.accept();
  run_until_asked();
  ASSERT_TRUE(host.send(kOk));
  size_t got = 0;
  std::thread reader([&] { got = testing::read_request(host)->body.size(); });
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  reader.join();
  EXPECT_LT(got, kMoreThanTheKernelTakes.size());
  EXPECT_EQ(upstream_.idle(), 0u);
}

TEST_F(UpstreamWriting, AnEndThatComesBeforeTheLastByteNeverRan) {
  begin(kHour, kMoreThanTheKernelTakes);
  Socket host = listener_.accept();
  run_until_asked();
  ASSERT_EQ(::shutdown(host.fd(), SHUT_WR), 0);
  size_t got = 0;
  std::thread reader([&] { got = testing::read_request(host)->body.size(); });
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  reader.join();
  EXPECT_LT(got, kMoreThanTheKernelTakes.size());
}

// The host was fresh and spoke first: nothing is written to it.
TEST_F(UpstreamWriting, AnAnswerThatComesBeforeTheFirstByteIsNone) {
  begin();
  Socket host = listener_.accept();
  ASSERT_TRUE(host.send(kOk));
  EXPECT_EQ(end().outcome, Outcome::kConnectFailed);
  EXPECT_FALSE(written_);
  EXPECT_EQ(host.exactly(1), "");
}

}  // namespace
}  // namespace firspool::relay
