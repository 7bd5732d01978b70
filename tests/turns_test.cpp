// The order of messages with the same key, when one ends without delivery or a restart lies between.
#include "relay.h"

namespace firspool::testing {
namespace {

// A failed message is not over before its client or the platform was notified (MessageReleased). Guards
// against the next message of its key being sent earlier.
TEST(KeyOrder, AFailedMessageBlocksItsKeyUntilItIsReleased) {
  Settings s = plain_settings();
  s.classes[1].in_order = true;
  Relay relay(s);
  MessageReceived a = relay.message(1, 0, 1);
  MessageReceived b = relay.message(2, 0, 1);
  a.key = b.key = 5;
  a.holds_order = b.holds_order = true;
  const auto first = all_of<Send>(relay.step(0, {members({member(1)}), a, b}));
  ASSERT_EQ(first.size(), 1u);
  const auto lost = relay.step(100'000, {ended(first[0], 0, Outcome::kReset)});
  EXPECT_EQ(all_of<Fail>(lost).size(), 1u);
  EXPECT_TRUE(all_of<Send>(lost).empty());
  EXPECT_TRUE(all_of<Send>(relay.idle(150'000, kSecond)).empty());
  const auto next = all_of<Send>(relay.step(kSecond + 100'000, {MessageReleased{1, 5}}));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].id, 2u);
}

// An attempt from before the restart may still be executing.
TEST(KeyOrder, AKeyPausesAfterARestartThatLostAnOutcome) {
  Settings s = plain_settings();
  s.classes[1].in_order = true;
  s.order_pause = 2 * kSecond;
  Relay relay(s);
  MessageReceived a = relay.message(1, 0, 1);
  MessageReceived b = relay.message(2, 0, 1);
  a.key = b.key = 5;
  a.resumed = b.resumed = true;
  a.maybe_executed = true;  // unsafe: it cannot be sent again
  a.attempts = 1;
  EXPECT_EQ(all_of<Fail>(relay.step(0, {members({member(1)}), a, b})).size(), 1u);
  EXPECT_TRUE(all_of<Send>(relay.idle(50'000, 1'950'000)).empty());
  const auto next = all_of<Send>(relay.idle(2 * kSecond, 3 * kSecond));
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].id, 2u);
}

}  // namespace
}  // namespace firspool::testing
