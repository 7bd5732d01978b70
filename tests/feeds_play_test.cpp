// Whole services on a simulated network: messages end at relays, subscribers take them, everything dies.
//
// A subscriber keeps its cursor and its work in one write, and dies and comes back at any relay, now and then
// with an older cursor (then it takes its work back to there, too). Judged from outside: each outcome of an
// origin is in its work once, or in a gap that was said (F1, F2), in order (F3).
#include <gtest/gtest.h>

#include <iostream>

#include "feeds_fleet.h"

namespace umberhoist::feeds {
namespace {

struct Judged {
  size_t taken = 0, in_gaps = 0;
  std::string wrong;
};
Judged judge(const Fleet& fleet, const Subscriber& s) {
  Judged out;
  for (const auto& [origin, numbers] : fleet.made) {
    const std::string name = text_of(origin);
    const auto known = s.kept.work.find(name);
    const bool told =
        std::ranges::any_of(s.kept.gaps, [&](const json& gap) { return gap.at("origin") == name; });
    // It came and went without this cursor's knowing.
    if (fleet.emptied.contains(origin) && known == s.kept.work.end() && !told) continue;
    const std::vector<uint64_t> work = known == s.kept.work.end() ? std::vector<uint64_t>{} : known->second;
    if (std::ranges::adjacent_find(work, std::greater_equal<>()) != work.end()) {
      out.wrong = name + " came twice or out of order";
    }
    for (const auto& [number, id] : numbers) {
      if (std::ranges::binary_search(work, number)) {
        ++out.taken;
        continue;
      }
      const bool said = std::ranges::any_of(s.kept.gaps, [&, n = number](const json& gap) {
        return gap.at("origin") == name && gap.at("from").get<uint64_t>() <= n &&
               (gap.at("to").is_null() || n <= gap.at("to").get<uint64_t>());
      });
      ++out.in_gaps;
      if (!said) out.wrong = name + " number " + std::to_string(number) + " is missing and no gap was said";
    }
  }
  return out;
}

TEST(FeedPlay, EachOutcomeOnceOrInASaidGapThroughAllThatDies) {
  Judged sum;
  uint64_t refused = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Fleet fleet(seed);
    fleet.run(2 * kSecond);  // all voters up once
    Subscriber first(fleet);
    first.begin();
    auto& chance = fleet.chance();
    size_t down = kRelays;
    bool emptied = false;
    for (int step = 0; step < 600; ++step) {
      fleet.run(fleet.now + 50 * kMs);
      for (size_t i = 0; i < kRelays; ++i) {
        if (chance(2) == 0) fleet.end_message(i);
      }
      if (chance(15) == 0) first.die(chance(3) == 0);
      if (chance(40) == 0) {
        if (down < kRelays)
          fleet.start(std::exchange(down, kRelays));
        else if (!emptied && chance(3) == 0)
          fleet.empty(down = chance(kRelays)), emptied = true;
        else
          fleet.kill(down = chance(kRelays));
      }
      if (step == 300) {  // away for long: what is trimmed meanwhile is said
        for (int n = 0; n < 120; ++n) fleet.end_message(0);
      }
    }
    if (down < kRelays) fleet.start(down);
    fleet.loss = 0;
    fleet.run(fleet.now + 10 * kSecond);  // F6
    const Judged judged = judge(fleet, first);
    EXPECT_EQ(judged.wrong, "");
    EXPECT_TRUE(first.missing.empty());
    sum.taken += judged.taken;
    sum.in_gaps += judged.in_gaps;
    refused += first.refused;
  }
  std::cout << "taken " << sum.taken << ", in gaps " << sum.in_gaps << ", refused commands " << refused
            << "\n";
  EXPECT_GT(sum.taken, 20'000U);
  EXPECT_GT(sum.in_gaps, 0U);
  EXPECT_LT(sum.in_gaps, sum.taken);
}

// Its relay does not answer then, as if it were out of reach; nothing is said to be gone.
TEST(FeedPlay, ALogThatCannotBeReadJustNowIsMissing) {
  Fleet fleet(1);
  fleet.loss = 0;
  fleet.run(2 * kSecond);
  for (int n = 0; n < 8; ++n) fleet.end_message(0);
  const auto told = [&](size_t at, auto command) {
    std::optional<Service::Reply> out;
    command([&](const Service::Reply& reply) { out = reply; });
    fleet.carry(at);
    fleet.run(fleet.now + 3 * kSecond);
    return std::get<json>(out.value());
  };
  for (const size_t at : {size_t{0}, size_t{1}}) {  // its own log, and another relay's
    const json session = told(at, [&](auto answer) { fleet.service(at).open(fleet.now, kFeed, {}, answer); });
    const auto read = [&] {
      return told(at, [&](auto answer) {
        fleet.service(at).read(fleet.now, session.at("session"), session.at("cursor"), 50, answer);
      });
    };
    fleet.files(0).unreadable = true;
    const json none = read();
    EXPECT_TRUE(none.at("outcomes").empty());
    EXPECT_TRUE(none.at("gaps").empty());
    EXPECT_FALSE(none.at("missing").empty());
    fleet.files(0).unreadable = false;
    read();  // it is heard again
    EXPECT_FALSE(read().at("outcomes").empty());
  }
}

TEST(FeedPlay, TwoSessionsOfOneSubscriptionFenceEachOther) {
  Fleet fleet(1);
  fleet.run(2 * kSecond);
  const auto told = [&](auto command) {
    std::optional<Service::Reply> out;
    command([&](const Service::Reply& reply) { out = reply; });
    for (size_t i = 0; i < kRelays; ++i) fleet.carry(i);
    fleet.run(fleet.now + 3 * kSecond);
    return out.value();
  };
  const auto open = [&](size_t at) {
    return std::get<json>(told([&](auto answer) { fleet.service(at).open(fleet.now, kFeed, {}, answer); }));
  };
  const auto ack = [&](size_t at, const json& session) {
    return told([&](auto answer) {
      fleet.service(at).ack(fleet.now, session.at("session"), session.at("cursor"), answer);
    });
  };
  const json older = open(0);
  EXPECT_TRUE(std::holds_alternative<json>(ack(0, older)));
  const json newer = open(1);
  const auto refused = ack(0, older);
  ASSERT_TRUE(std::holds_alternative<OperatorError>(refused));
  EXPECT_STREQ(std::get<OperatorError>(refused).code(), "session_fenced");
  EXPECT_TRUE(std::holds_alternative<json>(ack(1, newer)));
  const auto unknown = told([&](auto answer) {
    fleet.service(2).open(fleet.now, {"acme", "x"}, {}, answer);
  });
  EXPECT_STREQ(std::get<OperatorError>(unknown).code(), "feed_unknown");
  const auto elsewhere = ack(2, newer);
  EXPECT_STREQ(std::get<OperatorError>(elsewhere).code(), "session_unknown");
  json ahead = newer;
  ahead["cursor"] = text_of(Cursor{"c", kFeed, 1, {{{"n1", 99}, 5}}});
  EXPECT_STREQ(std::get<OperatorError>(ack(1, ahead)).code(), "acknowledged_ahead");
}

}  // namespace
}  // namespace umberhoist::feeds
