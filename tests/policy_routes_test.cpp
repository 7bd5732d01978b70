// The policy sends only by the routes that a message's rules allow, and never more than the fleet granted.
#include <gtest/gtest.h>

#include <random>

#include "relay.h"

namespace firspool::testing {
namespace {

constexpr RouteRule kDeny{false, 0, -1}, kAllow{true, 0, -1}, kFallback{true, 1, -1}, kLimit{true, 0, 3};

std::shared_ptr<const RouteTable> routes(std::vector<RouteRule> zones) {  // one rule for both kinds of a zone
  RouteTable out{2, {}};
  for (const RouteRule& rule : zones) out.rules.insert(out.rules.end(), {rule, rule});
  return std::make_shared<const RouteTable>(out);
}

Member in_zone(uint32_t address, int zone, int kind = 0, Listing listing = Listing::kReady) {
  Member m = member(address, 1, kind, listing);
  m.zone = zone;
  return m;
}

MessageReceived message(const Relay& relay, uint64_t id, Time now, std::vector<RouteRule> zones,
                        int destination = 1) {
  MessageReceived a = relay.message(id, now, 0, destination);
  a.routes = routes(std::move(zones));
  return a;
}

ShareGranted grant(double per_s, ShareGranted::Scope of = ShareGranted::Scope::kDestination, int number = 1) {
  return {of, number, per_s, 1};
}

Settings retry_settings() {
  Settings s = plain_settings();
  s.sends_retry_after = true;
  s.max_retry_after = 10 * kSecond;
  return s;
}

TEST(Routes, AForbiddenRouteIsNotTakenAsALastResort) {
  Relay relay(plain_settings());
  auto sends = all_of<Send>(
      relay.step(0, {members({in_zone(1, 0), in_zone(2, 1)}), message(relay, 1, 0, {kAllow, kDeny})}));
  int attempts = 0;
  for (Time now = 100'000; !sends.empty(); now += 2 * kSecond) {
    EXPECT_EQ(sends[0].endpoint.address, 1u);
    relay.step(now, {ended(sends[0], attempts++, Outcome::kConnectFailed)});
    sends = all_of<Send>(relay.idle(now + 10'000, now + kSecond));
  }
  EXPECT_EQ(attempts, 6);
}

TEST(Routes, BatchesHoldOnlyMessagesThatMayGoThere) {
  Settings s = plain_settings();
  s.kinds[0].batch = 5;
  Relay relay(s);
  std::vector<Event> events = {members({in_zone(1, 0), in_zone(2, 1)})};
  for (uint64_t id = 1; id <= 8; ++id)
    events.push_back(message(relay, id, 0, {id % 2 ? kAllow : kDeny, id % 2 ? kDeny : kAllow}));
  const auto sends = all_of<Send>(relay.step(0, events));
  EXPECT_EQ(sends.size(), 8u);
  for (const Send& send : sends) EXPECT_EQ(send.endpoint.address, send.id % 2 ? 1u : 2u);
}

TEST(Routes, ALowerRankIsWaitedForUnlessUnavailable) {
  Relay relay(plain_settings());
  const std::vector<RouteRule> zones = {kFallback, kAllow};
  const auto first = all_of<Send>(
      relay.step(0, {members({in_zone(1, 0, 1), in_zone(2, 1, 1)}), message(relay, 1, 0, zones)}));
  ASSERT_EQ(first.at(0).endpoint.address, 2u);  // the lower rank, although it is in the other zone
  relay.step(100'000, {ended(first[0], 0, Outcome::kFull, 100'000, kSecond)});
  EXPECT_TRUE(all_of<Send>(relay.idle(110'000, kSecond)).empty());
  const auto again = all_of<Send>(relay.idle(kSecond + 50'000, 2 * kSecond));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].endpoint.address, 2u);
  const MembersChanged drains = members({in_zone(2, 1, 1, Listing::kDraining)}, MembersChanged::Form::kDelta);
  const auto left = relay.step(2 * kSecond, {drains, message(relay, 2, 2 * kSecond, zones)});
  EXPECT_EQ(all_of<Send>(left).at(0).endpoint.address, 1u);
}

TEST(Routes, AnOutageFallsBackToTheNextRankUntilItEnds) {
  Relay relay(plain_settings());
  relay.step(0, {members({in_zone(1, 0, 1), in_zone(2, 1, 1)})});
  std::vector<Event> events;
  std::map<uint64_t, int> attempts;
  std::vector<uint32_t> last;  // endpoints of the attempts in the last second of each phase
  int trials = 0;
  for (uint64_t id = 1; id <= 600; ++id) {
    const Time now = static_cast<Time>(id) * 50'000;
    const bool down = id <= 200;  // the endpoint of the lower rank
    events.push_back(message(relay, id, now, {kFallback, kAllow}));
    for (const Send& send : all_of<Send>(relay.step(now, std::exchange(events, {})))) {
      const bool failed = down && send.endpoint.address == 2;
      trials += failed && id > 100;
      const Outcome outcome = failed ? Outcome::kConnectFailed : Outcome::kOk;
      events.push_back(ended(send, attempts[send.id]++, outcome, 50'000));
      if ((id > 180 && id <= 200) || id > 580) last.push_back(send.endpoint.address);
    }
  }
  EXPECT_GT(trials, 0);
  ASSERT_GE(last.size(), 40u);
  EXPECT_GE(std::count(last.begin(), last.begin() + 20, 1u), 18);
  EXPECT_EQ(std::count(last.end() - 20, last.end(), 2u), 20);
}

TEST(Routes, WithoutAListedRouteTheMessageIsRefusedAtOnce) {
  Relay relay(retry_settings());
  const auto refused = [&](Time t, const std::vector<Event>& e) { return all_of<Refuse>(relay.step(t, e)); };
  EXPECT_TRUE(refused(0, {message(relay, 1, 0, {kAllow, kDeny})}).empty());  // no list has come
  const auto never = refused(kSecond, {members({in_zone(2, 1)})});
  ASSERT_EQ(never.size(), 1u);
  EXPECT_EQ(never[0].retry_after, 0);
  const MembersChanged draining = members({in_zone(1, 0, 0, Listing::kDraining), in_zone(2, 1)});
  EXPECT_TRUE(refused(2 * kSecond, {draining, message(relay, 2, 2 * kSecond, {kAllow, kDeny})}).empty());
  const auto gone =
      refused(3 * kSecond, {members({in_zone(2, 1)}), message(relay, 3, 3 * kSecond, {kAllow, kDeny})});
  ASSERT_EQ(gone.size(), 2u);  // the held message too
  for (const Refuse& r : gone) EXPECT_GE(r.retry_after, kSecond);
}

// Two destinations with endpoints in three zones, under random shares, routes, outcomes and lists.
TEST(BudgetShares, NoWindowSeesMoreThanWasGranted) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    const auto below = [&](int n) { return static_cast<int>(random() % n); };
    Settings s = plain_settings();
    s.kinds[0].batch = 1 + below(3);
    s.relays = 1 + below(30);
    Relay relay(s, seed);
    const double capacity = 0.4 + below(8), limit = 0.4 + below(4);
    std::vector<Member> list;
    for (uint32_t i = 0; i < 6; ++i)
      list.push_back({{i, 80}, Listing::kReady, static_cast<int>(i % 3), below(2), 1 + below(2), 1});
    const std::vector<RouteRule> rules = {kDeny, kAllow, kFallback, kLimit};
    std::multimap<Time, Event> due;
    due.emplace(0, members(list));
    std::map<uint64_t, MessageReceived> sent;
    std::map<uint64_t, int> attempts;
    std::vector<Time> to_first, limited;
    for (Time now = 0; now < 60 * kSecond; now += 10'000 + below(20'000)) {
      if (below(40) == 0) {
        due.emplace(now, grant(capacity));  // repeatedly, as leases are renewed
        due.emplace(now, grant(limit, ShareGranted::Scope::kLimit, 3));
      }
      if (below(4) == 0) {
        const uint64_t id = sent.size() + 1;
        const MessageReceived a =
            message(relay, id, now, {rules[below(4)], rules[below(4)], rules[below(4)]}, 1 + below(2));
        due.emplace(now, sent[id] = a);
      }
      std::vector<Event> events;
      for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin()))
        events.push_back(due.begin()->second);
      for (const Send& send : all_of<Send>(relay.step(now, events))) {
        const Member& m = list[send.endpoint.address];
        const RouteRule rule = sent[send.id].routes->rule_for(m.zone, m.kind);
        EXPECT_TRUE(rule.allowed);
        if (rule.limit_id >= 0) limited.push_back(now);
        if (m.destination == 1 && now > 5 * kSecond) to_first.push_back(now);
        const int answer = below(10);
        due.emplace(now + 50'000 + below(400'000),
                    ended(send, attempts[send.id]++,
                          answer < 7 ? Outcome::kOk : static_cast<Outcome>(1 + answer % 3)));
      }
    }
    const auto max_excess = [](const std::vector<Time>& times, double rate) {  // over the rate, any window
      double excess = 0;
      for (size_t i = 0; i < times.size(); ++i)
        for (size_t j = i; j < times.size(); ++j)
          excess = std::max(
              excess, static_cast<double>(j - i + 1) - rate * static_cast<double>(times[j] - times[i]) / 1e6);
      return excess;
    };
    EXPECT_GT(limited.size(), 5u);
    EXPECT_LE(max_excess(to_first, capacity), std::max(1.0, capacity) + 1e-3);
    EXPECT_LE(max_excess(limited, limit), std::max(1.0, limit) + 1e-3);  // over both destinations
  }
}

TEST(BudgetShares, ASmallerShareCapsTheSavedTokens) {
  for (const double cap : {10.0, 3.0, 0.0, -1.0}) {
    Settings s = plain_settings();
    s.max_in_flight = 50;
    Relay relay(s);
    std::vector<Event> events = {grant(cap)};
    relay.step(0, {members({member(1)}), grant(10)});
    for (uint64_t id = 1; id <= 20; ++id) events.push_back(relay.message(id, 5 * kSecond));
    EXPECT_EQ(all_of<Send>(relay.step(5 * kSecond, events)).size(), cap < 0 ? 20u : static_cast<size_t>(cap));
  }
}

// A message waits while the share is zero. The next grant sets a timer for the time of the first token.
TEST(BudgetShares, AMessageIsSentOnceItsTokenIsAvailable) {
  for (const bool limit : {false, true}) {
    Relay relay(retry_settings());
    const auto share = [&](double r) { return limit ? grant(r, ShareGranted::Scope::kLimit, 3) : grant(r); };
    std::vector<Event> events = {members({member(1)}), message(relay, 1, 0, {limit ? kLimit : kAllow})};
    if (!limit) events.push_back(share(0));  // a limit passes nothing before its first grant
    EXPECT_TRUE(all_of<Send>(relay.step(0, events)).empty());
    EXPECT_TRUE(all_of<Send>(relay.idle(kSecond, 2 * kSecond)).empty());
    const auto timers = all_of<SetTimer>(relay.step(2 * kSecond, {share(0.5)}));
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_EQ(timers[0].at, 4 * kSecond);
    const auto sends = all_of<Send>(relay.step(timers[0].at, {TimerFired{timers[0].token}}));
    ASSERT_EQ(sends.size(), 1u);
    relay.step(5 * kSecond, {ended(sends[0], 0, Outcome::kOk), share(0),
                             message(relay, 2, 5 * kSecond, {limit ? kLimit : kAllow})});
    const auto done = relay.idle(6 * kSecond, 26 * kSecond);
    EXPECT_TRUE(all_of<Send>(done).empty());
    EXPECT_EQ(all_of<Refuse>(done).size(), 1u);
  }
}

TEST(BudgetShares, MessagesBeyondTheShareAreRefusedAtOnce) {
  for (const bool limit : {false, true}) {
    Settings s = retry_settings();
    s.classes[0].time_to_live = 6 * kSecond;
    Relay relay(s);
    std::vector<Event> events = {members({member(1)}),
                                 limit ? grant(0.5, ShareGranted::Scope::kLimit, 3) : grant(0.5)};
    for (uint64_t id = 1; id <= 30; ++id) events.push_back(message(relay, id, 0, {limit ? kLimit : kAllow}));
    const auto refused = all_of<Refuse>(relay.step(0, events));
    EXPECT_GT(refused.size(), 15u);
    EXPECT_LT(refused.size(), 28u);
    for (const Refuse& r : refused) EXPECT_EQ(r.reason, Reason::kQueueTooLong);
  }
}

TEST(BudgetShares, ATenantsShareReplacesTheEvenShareOfItsQuota) {
  for (const double granted : {-1.0, 0.0, 5.0}) {
    Settings s = plain_settings();
    s.max_in_flight = 1, s.relays = 10;
    s.over_share_value = 0.2;
    s.tenants = {{"one", 20}};
    Relay relay(s);
    MessageReceived ours = relay.message(1, 0), other = relay.message(2, 0);
    other.tenant = -1;
    const auto sends = all_of<Send>(
        relay.step(0, {members({member(1)}), grant(granted, ShareGranted::Scope::kTenant, 0), ours, other}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].id, granted == 0 ? 2u : 1u);
  }
}

}  // namespace
}  // namespace firspool::testing
