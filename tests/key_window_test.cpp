// A keyed message may be retried only within its key window, also when the caller is delayed between reading
// the clock and writing the first byte of the retry.
#include "relay.h"

namespace firspool::testing {
namespace {

constexpr Time kMaxWriteDelay = 150'000;

TEST(KeyWindow, ADelayedRetryStaysInside) {
  Settings s = plain_settings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].key_window = kSecond;
  s.write_delay = kMaxWriteDelay;
  Relay relay(s);
  const auto first = all_of<Send>(relay.step(0, {members({member(1), member(2)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(300'000, {ended(first[0], 0, Outcome::kReset, 300'000)});
  const auto retries = all_of<Send>(relay.idle(310'000, 700'000, 10'000));
  ASSERT_EQ(retries.size(), 1u);
  EXPECT_LE(retries[0].start_by + kMaxWriteDelay, kSecond);
}

}  // namespace
}  // namespace firspool::testing
