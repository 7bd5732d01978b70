// Attempts that the caller could not begin, by a want of its own or for news that came meanwhile.
#include "relay.h"

namespace firspool::testing {
namespace {

// More of them than a message has tries: neither a try nor the host's standing is used up.
TEST(Unsent, CountsAsNoTryAndSaysNothingOfItsHost) {
  Settings s = plain_settings();
  s.max_attempts = 2;
  Relay relay(s);
  Time now = 0;
  auto actions = relay.step(now, {members({member(1)}), relay.message(1, now)});
  for (int times = 0; times < 10; ++times) {
    const auto sends = all_of<Send>(actions);
    ASSERT_EQ(sends.size(), 1u) << times;
    relay.step(now += 1000, {ended(sends[0], 0, Outcome::kUnsent)});
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
