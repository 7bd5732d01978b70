// Turns of messages that share a key, where one ends with no delivery or a restart lies between.
#include "relay.h"

namespace firspool::testing {
namespace {

// Given up on, a message is over only once its client or the platform was told: until then it keeps its turn.
TEST(Turns, OneGivenUpOnKeepsItsTurnUntilItIsOver) {
  Settings s = plain_settings();
  s.classes[1].in_order = true;
  Relay relay(s);
  Arrival a = relay.message(1, 0, 1);
  Arrival b = relay.message(2, 0, 1);
  a.key = b.key = 5;
  a.keeps_turn = b.keeps_turn = true;
  const auto first = all_of<Send>(relay.step(0, {members({member(1)}), a, b}));
  ASSERT_EQ(first.size(), 1u);
  const auto lost = relay.step(100'000, {ended(first[0], 0, Outcome::kReset)});
  EXPECT_EQ(all_of<Fail>(lost).size(), 1u);
  EXPECT_TRUE(all_of<Send>(lost).empty());
  EXPECT_TRUE(all_of<Send>(relay.idle(150'000, kSecond)).empty());
  const auto next = all_of<Send>(relay.step(kSecond + 100'000, {Withdrawn{1, 5}}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].id, 2u);
}

// An attempt from before a restart might be running still.
TEST(Turns, AKeyRestsAfterARestartThatLostAnOutcome) {
  Settings s = plain_settings();
  s.classes[1].in_order = true;
  s.order_pause = 2 * kSecond;
  Relay relay(s);
  Arrival a = relay.message(1, 0, 1);
  Arrival b = relay.message(2, 0, 1);
  a.key = b.key = 5;
  a.resumed = b.resumed = true;
  a.ran = true;  // unsafe: it cannot be sent again
  a.attempts = 1;
  EXPECT_EQ(all_of<Fail>(relay.step(0, {members({member(1)}), a, b})).size(), 1u);
  EXPECT_TRUE(all_of<Send>(relay.idle(50'000, 1'950'000)).empty());
  const auto next = all_of<Send>(relay.idle(2 * kSecond, 3 * kSecond));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].id, 2u);
}

}  // namespace
}  // namespace firspool::testing
