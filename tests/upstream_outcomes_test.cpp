// The tables of outcomes, row by row as the protocol's page has them.
#include <gtest/gtest.h>

#include "firspool/attempt_end.h"

namespace firspool::relay {
namespace {

TEST(AttemptEnd, SaysWhetherTheMessageHasRun) {
  EXPECT_EQ(ran_after(Outcome::kOk), Ran::kDone);
  for (const Outcome never : {Outcome::kFull, Outcome::kConnectFailed, Outcome::kMoot}) {
    EXPECT_EQ(ran_after(never), Ran::kNever) << static_cast<int>(never);
  }
  for (const Outcome maybe : {Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled}) {
    EXPECT_EQ(ran_after(maybe), Ran::kMaybe) << static_cast<int>(maybe);
  }
}

}  // namespace
}  // namespace firspool::relay
