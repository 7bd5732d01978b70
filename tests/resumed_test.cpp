// A message that was resumed after a restart and never attempted is still attempted, whatever else arrives.
#include <set>

#include "relay.h"

namespace firspool::testing {
namespace {

// The relay is full of resumed messages, and new ones of ten times their value keep arriving.
TEST(Resumed, UntriedMessagesAreNotRefusedForNewOnes) {
  Settings s = plain_settings();
  s.classes[1].effect = Effect::kSafe;
  s.classes[1].value = 10;
  s.max_open = 20;
  s.max_in_flight = 2;
  Relay relay(s);
  std::vector<Event> events = {members({member(1)})};
  std::set<uint64_t> untried;
  for (uint64_t id = 1; id <= 18; ++id) {
    MessageReceived a = relay.message(id, 0);
    a.resumed = true;
    events.push_back(a);
    untried.insert(id);
  }
  uint64_t id = 100;
  std::map<uint64_t, int> attempts;
  size_t refused = 0;
  for (Time now = 0; now < 15 * kSecond; now += 100'000) {
    for (int i = 0; i < 5; ++i) events.push_back(relay.message(++id, now, 1));
    const auto actions = relay.step(now, events);
    events.clear();
    for (const Send& send : all_of<Send>(actions)) {
      untried.erase(send.id);
      events.push_back(ended(send, attempts[send.id]++, Outcome::kOk));
    }
    for (const Refuse& refuse : all_of<Refuse>(actions)) {
      EXPECT_FALSE(untried.contains(refuse.id)) << refuse.id << " at " << now;
      ++refused;
    }
  }
  EXPECT_GT(refused, 0u);
}

// Right after a restart the queue is estimated to be too long: resumed messages are not refused for that.
TEST(Resumed, UntriedMessagesAreNotRefusedForALongQueue) {
  Settings s = plain_settings();
  s.relays = 300;
  s.weights = Weights::kNominal;
  s.report_remaining_index = 0;
  s.report_limit_index = 1;
  Relay relay(s);
  Member m = member(1);
  m.weight = 40;
  std::vector<Event> events = {members({m})};
  for (uint64_t id = 1; id <= 40; ++id) {
    events.push_back(relay.message(id, 0));
    std::get<MessageReceived>(events.back()).resumed = true;
  }
  EXPECT_TRUE(all_of<Refuse>(relay.step(0, events)).empty());
  EXPECT_TRUE(all_of<Refuse>(relay.idle(100'000, 18 * kSecond)).empty());
}

}  // namespace
}  // namespace firspool::testing
