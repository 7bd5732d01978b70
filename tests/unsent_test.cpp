// Attempts that the caller did not start: it lacked a resource of its own, or an event in the meantime
// forbade it.
#include "relay.h"

namespace firspool::testing {
namespace {

// There are more of them than max_attempts: they count neither as attempts nor as failures of the host.
TEST(NotSent, CountsNeitherAsAnAttemptNorAgainstItsHost) {
  Settings s = plain_settings();
  s.max_attempts = 2;
  Relay relay(s);
  Time now = 0;
  auto actions = relay.step(now, {members({member(1)}), relay.message(1, now)});
  for (int round = 0; round < 10; ++round) {
    const auto sends = all_of<Send>(actions);
    ASSERT_EQ(sends.size(), 1u) << round;
    relay.step(now += 1000, {ended(sends[0], 0, Outcome::kNotSent)});
    actions = relay.idle(now + 1000, now + 300'000);
    now += 300'000;
    EXPECT_TRUE(all_of<Log>(actions).empty());  // no outage
  }
  const auto sends = all_of<Send>(actions);
  ASSERT_EQ(sends.size(), 1u);
  relay.step(now += 1000, {ended(sends[0], 0, Outcome::kOk)});
  EXPECT_EQ(relay.owed(), 0u);
}

}  // namespace
}  // namespace firspool::testing
