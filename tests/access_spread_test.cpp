// Hit counts: their bounds, and their spread over a simulated fleet.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

#include "../access/spread_message.h"
#include "access_fleet.h"

namespace umberhoist::access {
namespace {

Counts counts_of(const std::map<int, uint8_t>& hits) {
  Counts out;
  for (const auto& [rule, count] : hits) out.larger(key(rule), count);
  return out;
}

Counts joined(Counts a, const Counts& b) {
  for (const auto& [rule, count] : b.by_rule()) a.larger(rule, count);
  return a;
}

RC_GTEST_PROP(AccessCounts, MergingCommutesAssociatesRepeatsAndNeverGoesBack,
              (const std::map<int, uint8_t>& x, const std::map<int, uint8_t>& y,
               const std::map<int, uint8_t>& z)) {
  const Counts a = counts_of(x), b = counts_of(y), c = counts_of(z);
  RC_ASSERT(joined(a, b) == joined(b, a));
  RC_ASSERT(joined(joined(a, b), c) == joined(a, joined(b, c)));
  RC_ASSERT(joined(joined(a, b), b) == joined(a, b));
  RC_ASSERT(joined(a, b).digest() == joined(b, a).digest());
  const Counts both = joined(a, b);
  for (const auto& [rule, count] : a.by_rule()) RC_ASSERT(both.of(rule) >= count);
  RC_ASSERT(Counts::unpacked(a.packed()) == a);
}

// Dropping what is above the bound must not depend on the order in which it was heard.
RC_GTEST_PROP(AccessCounts, WhatIsKeptDoesNotDependOnTheOrderOfMerging, ()) {
  const auto hits = *rc::gen::container<std::map<int, uint8_t>>(400, rc::gen::inRange(0, 1000),
                                                                rc::gen::inRange<uint8_t>(1, 200));
  Keys in_force;
  for (int i = 0; i < 30; ++i) in_force.insert(key(i));
  Counts all, in_turn;
  for (const auto& [rule, count] : hits) all.larger(key(rule), count);
  all.keep(in_force);
  for (auto it = hits.rbegin(); it != hits.rend(); ++it) {
    in_turn.larger(key(it->first), it->second);
    in_turn.keep(in_force);
  }
  RC_ASSERT(all.digest() == in_turn.digest());
  RC_ASSERT(all.by_rule().size() <= in_force.size() + Counts::kMostOlder);
  for (const auto& [rule, count] : hits) {
    if (in_force.contains(key(rule))) RC_ASSERT(all.of(key(rule)) == count);
  }
}

TEST(AccessCounts, TakesBackWhatWasNotWritten) {
  Counts counts;
  counts.add("acme", {{"a", 1}, {"b", 2}});
  const Counts before = counts;
  counts.add("acme", {{"a", 1}, {"c", 3}});
  counts.take_back("acme", {{"a", 1}, {"c", 3}});
  EXPECT_TRUE(counts == before);
  EXPECT_EQ(counts.digest(), before.digest());
  EXPECT_EQ(counts.total(), 2u);
}

TEST(AccessSpread, EveryRelayComesToKnowAllAndADeadOnesLastCountStays) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    Fleet f(12, seed);
    f.lost = 0.1;
    Counts truth;
    std::map<std::string, uint64_t> seen;
    for (int step = 0; step < 30; ++step) {
      for (size_t i = 0; i < f.relays.size(); ++i) {
        const int rule = static_cast<int>(f.random() % 20);
        f.hit(i, rule);
        truth.add("acme", {{key(rule).id, key(rule).digest}});
      }
      f.run(kSecond);
      for (const auto& r :
           f.relays) {  // what one shows of the fleet never falls, nor runs ahead of the truth
        const Counts fleet = r->spread->fleet(f.now);
        uint64_t sum = 0;
        for (const auto& [rule, count] : fleet.by_rule()) {
          sum += count;
          ASSERT_LE(count, truth.of(rule));
        }
        ASSERT_GE(sum, seen[r->name]) << "seed " << seed;
        seen[r->name] = sum;
      }
    }
    f.run(15 * kSecond);
    ASSERT_TRUE(f.all_know(truth)) << "seed " << seed;
    // One dies, one comes back with an emptied folder: what they counted stays, beside what is counted anew.
    f.kill(3);
    f.kill(4);
    f.run(5 * kSecond);
    f.start(4);
    f.hit(4, 2, 5);
    for (int i = 0; i < 5; ++i) truth.add("acme", {{key(2).id, key(2).digest}});
    f.run(30 * kSecond);
    ASSERT_TRUE(f.all_know(truth)) << "seed " << seed;
    EXPECT_EQ(f.relays[0]->spread->parts(f.now).size(), 13u);
  }
}

TEST(AccessSpread, HalvesOfAHealedSplitAgreeAndAgesTellHowOldAPartIs) {
  Fleet f(30, 7);
  Counts truth;
  for (size_t i = 0; i < 30; ++i) {
    f.hit(i, static_cast<int>(i), 3);
    for (int n = 0; n < 3; ++n)
      truth.add("acme", {{key(static_cast<int>(i)).id, key(static_cast<int>(i)).digest}});
    if (i >= 15) f.group[i] = 1;
  }
  f.run(60 * kSecond);
  EXPECT_EQ(f.relays[0]->spread->parts(f.now).size(), 15u);
  f.group.assign(30, 0);
  f.run(30 * kSecond);
  EXPECT_TRUE(f.all_know(truth));
  Time oldest = 0;
  for (int step = 0; step < 30; ++step) {
    f.run(kSecond);
    for (const auto& r : f.relays) {
      for (const auto& [origin, part] : r->spread->parts(f.now))
        oldest = std::max(oldest, f.now - part.fresh);
    }
  }
  std::cout << "30 relays, all connected: the oldest part was " << static_cast<double>(oldest) / kSecond
            << " s old\n";
  EXPECT_LT(oldest, 20 * kSecond);
  f.kill(5);
  f.run(60 * kSecond);
  for (const auto& [origin, part] : f.relays[0]->spread->parts(f.now)) {
    EXPECT_EQ(f.now - part.fresh > 50 * kSecond, origin.relay == "n5") << origin.relay;
  }
}

TEST(AccessSpread, APartThatIsLongerThanAMessageComesInPieces) {
  Fleet f(4, 3);
  Counts truth;
  for (int rule = 0; rule < 6000; ++rule) {
    f.hit(0, rule);
    truth.add("acme", {{key(rule).id, key(rule).digest}});
  }
  Keys keys;
  for (int rule = 0; rule < 6000; ++rule) keys.insert(key(rule));
  for (const auto& r : f.relays) r->spread->in_force(keys);
  f.run(90 * kSecond);
  EXPECT_TRUE(f.all_know(truth));
  EXPECT_LE(f.longest, Spread::kMostMessage);
  EXPECT_GT(f.longest, Spread::kMostMessage / 2);
  // Once all know all, only digests go to and fro.
  f.sent = 0;
  f.run(20 * kSecond);
  EXPECT_LT(f.sent, 4 * 15 * 3 * 500u);
}

// A successor has its own part of the folder's counts until the predecessor's journal is its own.
TEST(AccessSpread, PartsOfOneFolderInTwoProcessesAreJoinedAndNeverAddedTwice) {
  Fleet f(3, 9);
  f.hit(0, 1, 100);
  f.run(20 * kSecond);
  const Counts before = f.relays[0]->own;
  f.relays[0]->own = {};
  f.relays[0]->spread = std::make_unique<Spread>("n0", 5);
  f.relays[0]->spread->own(f.relays[0]->number, f.relays[0]->own);
  f.tell_peers();
  f.relays[0]->spread->start(f.now);
  f.hit(0, 1, 3);
  f.hit(0, 2, 200);
  f.run(20 * kSecond);
  EXPECT_EQ(f.relays[1]->spread->fleet(f.now).of(key(1)), 100u);
  EXPECT_EQ(f.relays[2]->spread->fleet(f.now).of(key(2)), 200u);
  f.relays[0]->own.plus(before);
  f.run(20 * kSecond);
  for (const auto& r : f.relays) EXPECT_EQ(r->spread->fleet(f.now).of(key(1)), 103u) << r->name;
}

TEST(AccessSpread, WhatIsStoredIsReadBackWithItsAgeAndWhatIsUnreadableDoesNothing) {
  Fleet f(3, 4);
  f.hit(1, 1, 7);
  f.hit(2, 2, 9);
  f.run(20 * kSecond);
  const std::string stored = f.relays[0]->spread->stored(f.now, 10'000);
  Spread again("n0", 1);
  again.restore(0, stored, 50 * kSecond);
  EXPECT_EQ(again.fleet(0).of(key(1)), 7u);
  EXPECT_EQ(again.fleet(0).of(key(2)), 9u);
  for (const auto& [origin, part] : again.parts(0)) EXPECT_GE(0 - part.fresh, 50 * kSecond);
  EXPECT_LE(f.relays[0]->spread->stored(f.now, 400).size(), 400u);
  Spread fresh("n0", 1);
  for (size_t cut = 0; cut < stored.size(); ++cut) fresh.on_datagram(0, "n1", stored.substr(0, cut));
  EXPECT_TRUE(fresh.parts(0).empty());
  EXPECT_EQ(fresh.dropped().unreadable, stored.size());
}

}  // namespace
}  // namespace umberhoist::access
