// The tables of outcomes, row by row as the protocol's page has them.
#include <gtest/gtest.h>

#include "call_moment.h"
#include "firspool/attempt_end.h"

namespace firspool::relay {
namespace {

TEST(AttemptEnd, SaysWhetherTheMessageHasRun) {
  EXPECT_EQ(execution_after(Outcome::kOk), Execution::kDone);
  for (const Outcome never : {Outcome::kFull, Outcome::kConnectFailed, Outcome::kNotForwarded}) {
    EXPECT_EQ(execution_after(never), Execution::kNever) << static_cast<int>(never);
  }
  for (const Outcome maybe : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    EXPECT_EQ(execution_after(maybe), Execution::kMaybe) << static_cast<int>(maybe);
  }
}

TEST(CallMoment, TellsOurOwnWantsFromTheHostsFailures) {
  const auto by = [](int error) {
    return break_by(boost::system::error_code(error, boost::system::system_category()));
  };
  for (const int own : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL, EADDRINUSE, EAGAIN, ENOSPC}) {
    EXPECT_EQ(by(own), Break::kOwnWant) << own;
  }
  for (const int hosts : {ECONNREFUSED, ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH}) {
    EXPECT_EQ(by(hosts), Break::kConnection) << hosts;
  }
}

TEST(CallMoment, DecidesWhatACallIsThatEndsInIt) {
  using enum Moment;
  for (const Break how : {Break::kConnection, Break::kTimeout, Break::kCancelled}) {
    for (const bool says_200 : {false, true}) {  // even then: it was said before the request was
      EXPECT_EQ(outcome_of(kConnecting, how, says_200), Outcome::kConnectFailed);
      EXPECT_EQ(outcome_of(kWriting, how, says_200), Outcome::kConnectFailed);
    }
    EXPECT_EQ(outcome_of(kAwaitingHead, how, true), Outcome::kOk);
    EXPECT_EQ(outcome_of(kReadingBody, how, true), Outcome::kOk);
    EXPECT_EQ(outcome_of(kReadingBody, how, false), Outcome::kReset);
  }
  EXPECT_EQ(outcome_of(kConnecting, Break::kOwnWant, false), Outcome::kNotSent);
  EXPECT_EQ(outcome_of(kWriting, Break::kOwnWant, false), Outcome::kNotSent);
  EXPECT_EQ(outcome_of(kAwaitingHead, Break::kOwnWant, false), Outcome::kReset);
  EXPECT_EQ(outcome_of(kAwaitingHead, Break::kConnection, false), Outcome::kReset);
  EXPECT_EQ(outcome_of(kAwaitingHead, Break::kTimeout, false), Outcome::kTimeout);
  EXPECT_EQ(outcome_of(kAwaitingHead, Break::kCancelled, false), Outcome::kCancelled);
}

}  // namespace
}  // namespace firspool::relay
