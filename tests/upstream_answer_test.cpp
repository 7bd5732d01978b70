// Crossings with an answer: half of one, one that never ends, one too many, one too late.
#include "upstream_crossing.h"

namespace firspool::relay {
namespace {

using testing::Socket;
using UpstreamAnswer = UpstreamCrossing;

TEST_F(UpstreamAnswer, AnInterimAnswerIsNotTheAnswer) {
  Socket host = called();
  ASSERT_TRUE(host.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 x\r\nX-Load-Report: x0=1\r\n\r\n"));
  io_.poll();
  ASSERT_FALSE(ended_);
  ASSERT_TRUE(host.send(kOk));
  EXPECT_EQ(end().outcome, Outcome::kOk);
  EXPECT_EQ(upstream_.idle(), 1u);
}

TEST_F(UpstreamAnswer, InterimAnswersWithoutEndAreBoundedByItsTime) {
  Socket host = called(200'000);
  std::string many;
  for (int i = 0; i < 1000; ++i) many += "HTTP/1.1 100 Continue\r\n\r\n";
  ASSERT_TRUE(host.send(many));
  EXPECT_EQ(end().outcome, Outcome::kTimeout);
  EXPECT_TRUE(host.ended());
}

TEST_F(UpstreamAnswer, HalfAFirstLineSaysNothing) {
  for (const std::string half : {"HTTP/1.1 20", "HTTP/1.1 200"}) {
    Socket host = called();
    ASSERT_TRUE(host.send(half));
    host.close();
    EXPECT_EQ(end().outcome, Outcome::kReset) << half;
    Socket silent = called(100'000);
    ASSERT_TRUE(silent.send(half));
    EXPECT_EQ(end().outcome, Outcome::kTimeout) << half;
    EXPECT_TRUE(silent.ended());
  }
}

TEST_F(UpstreamAnswer, AResetAfterTheLastByteMayHaveRun) {
  Socket host = called();
  host.reset();
  EXPECT_EQ(end().outcome, Outcome::kReset);
}

TEST_F(UpstreamAnswer, AResetAmidTheHeadMayHaveRun) {
  Socket host = called();
  ASSERT_TRUE(host.send("HTTP/1.1 503 no\r\nContent-"));
  io_.poll();
  host.reset();
  EXPECT_EQ(end().outcome, Outcome::kReset);
}

TEST_F(UpstreamAnswer, ABodyWithoutEndIsCutAndItsHeadStands) {
  for (const std::string status : {"200 OK", "503 no"}) {
    Socket host = called();
    ASSERT_TRUE(host.send("HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
    std::thread flood([&] {
      const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
      while (host.send(chunk)) continue;
    });
    EXPECT_EQ(end().outcome, status.starts_with("200") ? Outcome::kOk : Outcome::kReset);
    flood.join();  // its connection is closed under it
    EXPECT_EQ(upstream_.idle(), 0u);
  }
}

TEST_F(UpstreamAnswer, AHeadWithoutEndIsCut) {
  Socket host = called();
  ASSERT_TRUE(host.send("HTTP/1.1 503 no\r\n"));
  std::thread flood([&] {
    while (host.send("X-More: " + std::string(1000, 'x') + "\r\n")) continue;
  });
  EXPECT_EQ(end().outcome, Outcome::kReset);
  flood.join();
}

TEST_F(UpstreamAnswer, BytesAfterAnAnswerEndItsConnection) {
  Socket host = called();
  ASSERT_TRUE(host.send(std::string(kOk) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
  EXPECT_EQ(end().outcome, Outcome::kOk);
  EXPECT_EQ(upstream_.idle(), 0u);
  EXPECT_TRUE(host.ended());
}

TEST_F(UpstreamAnswer, AnAnswerOnAnIdleConnectionIsNoCallsAnswer) {
  Socket host = pooled();
  ASSERT_TRUE(host.send(kOk));
  begin();
  Socket fresh = listener_.accept();
  run_until_written();
  ASSERT_TRUE(testing::read_request(fresh));
  ASSERT_TRUE(fresh.send("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"));
  EXPECT_EQ(end().outcome, Outcome::kFull);
}

// Its connection closes in the moment in which the next call is written: that call may have run.
TEST_F(UpstreamAnswer, AnIdleConnectionThatClosesUnderACallMayHaveRun) {
  Socket host = pooled();
  begin();
  ASSERT_TRUE(written_);
  host.reset();
  EXPECT_EQ(end().outcome, Outcome::kReset);
  EXPECT_EQ(upstream_.broken().kept, 1u);
}

TEST_F(UpstreamAnswer, AnAnswerAfterACallWasGivenUpReachesNobody) {
  Socket host = called();
  cancel();
  EXPECT_EQ(end().outcome, Outcome::kCancelled);
  host.send(kOk);
  begin();
  Socket fresh = listener_.accept();
  run_until_written();
  io_.poll();
  EXPECT_FALSE(ended_);
  ASSERT_TRUE(fresh.send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"));
  EXPECT_EQ(end().outcome, Outcome::kError);
}

TEST_F(UpstreamAnswer, CancelledAfterAHeadThatSays200ItIsDelivered) {
  Socket host = called();
  ASSERT_TRUE(host.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"));
  io_.restart();
  io_.poll();
  cancel();
  EXPECT_EQ(end().outcome, Outcome::kOk);
}

TEST_F(UpstreamAnswer, KeepsNoConnectionThatItsHostEnds) {
  for (const std::string answer : {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
                                   "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi"}) {
    Socket host = called();
    ASSERT_TRUE(host.send(answer));
    EXPECT_EQ(end().outcome, Outcome::kOk);
    EXPECT_EQ(upstream_.idle(), 0u);
    EXPECT_TRUE(host.ended());
  }
  Socket host = called();  // its body ends with the connection
  ASSERT_TRUE(host.send("HTTP/1.0 200 OK\r\n\r\nhi"));
  host.close();
  EXPECT_EQ(end().outcome, Outcome::kOk);
}

TEST_F(UpstreamAnswer, AnAnswerThatThePageDoesNotNameIsAnError) {
  Socket host = called();
  ASSERT_TRUE(host.send("HTTP/1.1 204 No Content\r\n\r\n"));
  EXPECT_EQ(end().outcome, Outcome::kError);
  EXPECT_EQ(upstream_.idle(), 1u);
}

}  // namespace
}  // namespace firspool::relay
