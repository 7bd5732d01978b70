// The window for repeats of a keyed message, by a caller that is held up between its look at the clock and
// its byte.
#include "relay.h"

namespace firspool::testing {
namespace {

constexpr Time kHeldUp = 150'000;  // the longest that a caller may be

TEST(Window, ARepeatThatIsHeldUpIsInsideIt) {
  Settings s = plain_settings();
  s.classes[0].effect = Effect::kKeyed;
  s.classes[0].key_window = kSecond;
  s.write_delay = kHeldUp;
  Relay relay(s);
  const auto first = all_of<Send>(relay.step(0, {members({member(1), member(2)}), relay.message(1, 0)}));
  ASSERT_EQ(first.size(), 1u);
  relay.step(300'000, {ended(first[0], 0, Outcome::kReset, 300'000)});
  const auto repeats = all_of<Send>(relay.idle(310'000, 700'000, 10'000));
  ASSERT_EQ(repeats.size(), 1u);
  EXPECT_LE(repeats[0].start_by + kHeldUp, kSecond);
}

}  // namespace
}  // namespace firspool::testing
