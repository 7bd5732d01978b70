// Hit counts: their bounds, and their replication over a simulated fleet.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

#include "../access/hit_message.h"
#include "access_fleet.h"

namespace umberhoist::access {
namespace {

HitCounts counts_of(const std::map<int, uint8_t>& hits) {
  HitCounts out;
  for (const auto& [rule, count] : hits) out.raise(key(rule), count);
  return out;
}

HitCounts merged(HitCounts a, const HitCounts& b) {
  for (const auto& [rule, count] : b.by_rule()) a.raise(rule, count);
  return a;
}

RC_GTEST_PROP(AccessCounts, MergeIsCommutativeAssociativeIdempotentAndMonotonic,
              (const std::map<int, uint8_t>& x, const std::map<int, uint8_t>& y,
               const std::map<int, uint8_t>& z)) {
  const HitCounts a = counts_of(x), b = counts_of(y), c = counts_of(z);
  RC_ASSERT(merged(a, b) == merged(b, a));
  RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
  RC_ASSERT(merged(merged(a, b), b) == merged(a, b));
  RC_ASSERT(merged(a, b).digest() == merged(b, a).digest());
  const HitCounts both = merged(a, b);
  for (const auto& [rule, count] : a.by_rule()) RC_ASSERT(both.count_of(rule) >= count);
  RC_ASSERT(HitCounts::decode(a.encode()) == a);
}

// Which counts are dropped above the bound must not depend on the order in which they were received.
RC_GTEST_PROP(AccessCounts, KeptCountsDoNotDependOnTheOrderOfMerging, ()) {
  const auto hits = *rc::gen::container<std::map<int, uint8_t>>(400, rc::gen::inRange(0, 1000),
                                                                rc::gen::inRange<uint8_t>(1, 200));
  RuleKeys in_force;
  for (int i = 0; i < 30; ++i) in_force.insert(key(i));
  HitCounts all, incremental;
  for (const auto& [rule, count] : hits) all.raise(key(rule), count);
  all.prune(in_force);
  for (auto it = hits.rbegin(); it != hits.rend(); ++it) {
    incremental.raise(key(it->first), it->second);
    incremental.prune(in_force);
  }
  RC_ASSERT(all.digest() == incremental.digest());
  RC_ASSERT(all.by_rule().size() <= in_force.size() + HitCounts::kMinRetiredRules);
  for (const auto& [rule, count] : hits) {
    if (in_force.contains(key(rule))) RC_ASSERT(all.count_of(key(rule)) == count);
  }
}

TEST(AccessCounts, UndoAddRestoresTheCounts) {
  HitCounts counts;
  counts.add("acme", {{"a", 1}, {"b", 2}});
  const HitCounts before = counts;
  counts.add("acme", {{"a", 1}, {"c", 3}});
  counts.undo_add("acme", {{"a", 1}, {"c", 3}});
  EXPECT_TRUE(counts == before);
  EXPECT_EQ(counts.digest(), before.digest());
  EXPECT_EQ(counts.total(), 2u);
}

TEST(AccessReplication, RelaysConvergeAndKeepTheCountsOfDeadRelays) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    Fleet f(12, seed);
    f.loss_probability = 0.1;
    HitCounts expected;
    std::map<std::string, uint64_t> seen;
    for (int step = 0; step < 30; ++step) {
      for (size_t i = 0; i < f.relays.size(); ++i) {
        const int rule = static_cast<int>(f.random() % 20);
        f.hit(i, rule);
        expected.add("acme", {{key(rule).id, key(rule).digest}});
      }
      f.run(kSecond);
      // What a relay knows of the fleet never decreases and never exceeds the real counts.
      for (const auto& r : f.relays) {
        const HitCounts fleet = r->replicator->fleet_counts(f.now);
        uint64_t sum = 0;
        for (const auto& [rule, count] : fleet.by_rule()) {
          sum += count;
          ASSERT_LE(count, expected.count_of(rule));
        }
        ASSERT_GE(sum, seen[r->name]) << "seed " << seed;
        seen[r->name] = sum;
      }
    }
    f.run(15 * kSecond);
    ASSERT_TRUE(f.all_converged_to(expected)) << "seed " << seed;
    // Two relays die, and one of them comes back with an empty folder: their old counts stay beside the new
    // ones.
    f.kill(3);
    f.kill(4);
    f.run(5 * kSecond);
    f.start(4);
    f.hit(4, 2, 5);
    for (int i = 0; i < 5; ++i) expected.add("acme", {{key(2).id, key(2).digest}});
    f.run(30 * kSecond);
    ASSERT_TRUE(f.all_converged_to(expected)) << "seed " << seed;
    EXPECT_EQ(f.relays[0]->replicator->origins(f.now).size(), 13u);
  }
}

TEST(AccessReplication, ConvergesAfterAPartitionAndReportsTheAgeOfEachOrigin) {
  Fleet f(30, 7);
  HitCounts expected;
  for (size_t i = 0; i < 30; ++i) {
    f.hit(i, static_cast<int>(i), 3);
    for (int n = 0; n < 3; ++n)
      expected.add("acme", {{key(static_cast<int>(i)).id, key(static_cast<int>(i)).digest}});
    if (i >= 15) f.partition[i] = 1;
  }
  f.run(60 * kSecond);
  EXPECT_EQ(f.relays[0]->replicator->origins(f.now).size(), 15u);
  f.partition.assign(30, 0);
  f.run(30 * kSecond);
  EXPECT_TRUE(f.all_converged_to(expected));
  Time oldest = 0;
  for (int step = 0; step < 30; ++step) {
    f.run(kSecond);
    for (const auto& r : f.relays) {
      for (const auto& [origin, hits] : r->replicator->origins(f.now))
        oldest = std::max(oldest, f.now - hits.complete_as_of);
    }
  }
  std::cout << "30 relays, all connected: the oldest origin was " << static_cast<double>(oldest) / kSecond
            << " s old\n";
  EXPECT_LT(oldest, 20 * kSecond);
  f.kill(5);
  f.run(60 * kSecond);
  for (const auto& [origin, hits] : f.relays[0]->replicator->origins(f.now)) {
    EXPECT_EQ(f.now - hits.complete_as_of > 50 * kSecond, origin.relay == "n5") << origin.relay;
  }
}

TEST(AccessReplication, CountsLargerThanAMessageAreSentInChunks) {
  Fleet f(4, 3);
  HitCounts expected;
  for (int rule = 0; rule < 6000; ++rule) {
    f.hit(0, rule);
    expected.add("acme", {{key(rule).id, key(rule).digest}});
  }
  RuleKeys keys;
  for (int rule = 0; rule < 6000; ++rule) keys.insert(key(rule));
  for (const auto& r : f.relays) r->replicator->set_rules_in_force(keys);
  f.run(90 * kSecond);
  EXPECT_TRUE(f.all_converged_to(expected));
  EXPECT_LE(f.longest_message, HitReplicator::kMaxMessageBytes);
  EXPECT_GT(f.longest_message, HitReplicator::kMaxMessageBytes / 2);
  // After convergence only digests are exchanged.
  f.sent_bytes = 0;
  f.run(20 * kSecond);
  EXPECT_LT(f.sent_bytes, 4 * 15 * 3 * 500u);
}

// A successor counts under the same folder id as its predecessor, beginning at 0, until it has added the
// counts of the predecessor's journal. Counts of both must not be added up by other relays.
TEST(AccessReplication, CountsOfTwoProcessesOfOneFolderAreMergedAndNotAddedTwice) {
  Fleet f(3, 9);
  f.hit(0, 1, 100);
  f.run(20 * kSecond);
  const HitCounts before = f.relays[0]->own;
  f.relays[0]->own = {};
  f.relays[0]->replicator = std::make_unique<HitReplicator>("n0", 5);
  f.relays[0]->replicator->set_own(f.relays[0]->folder_id, f.relays[0]->own);
  f.update_peers();
  f.relays[0]->replicator->start(f.now);
  f.hit(0, 1, 3);
  f.hit(0, 2, 200);
  f.run(20 * kSecond);
  EXPECT_EQ(f.relays[1]->replicator->fleet_counts(f.now).count_of(key(1)), 100u);
  EXPECT_EQ(f.relays[2]->replicator->fleet_counts(f.now).count_of(key(2)), 200u);
  f.relays[0]->own.add_all(before);
  f.run(20 * kSecond);
  for (const auto& r : f.relays)
    EXPECT_EQ(r->replicator->fleet_counts(f.now).count_of(key(1)), 103u) << r->name;
}

TEST(AccessReplication, StoredCountsKeepTheirAgeAndMalformedMessagesAreIgnored) {
  Fleet f(3, 4);
  f.hit(1, 1, 7);
  f.hit(2, 2, 9);
  f.run(20 * kSecond);
  const std::string stored = f.relays[0]->replicator->serialize(f.now, 10'000);
  HitReplicator restored("n0", 1);
  restored.restore(0, stored, 50 * kSecond);
  EXPECT_EQ(restored.fleet_counts(0).count_of(key(1)), 7u);
  EXPECT_EQ(restored.fleet_counts(0).count_of(key(2)), 9u);
  for (const auto& [origin, hits] : restored.origins(0)) EXPECT_GE(0 - hits.complete_as_of, 50 * kSecond);
  EXPECT_LE(f.relays[0]->replicator->serialize(f.now, 400).size(), 400u);
  HitReplicator empty("n0", 1);
  for (size_t cut = 0; cut < stored.size(); ++cut) empty.on_datagram(0, "n1", stored.substr(0, cut));
  EXPECT_TRUE(empty.origins(0).empty());
  EXPECT_EQ(empty.dropped().unreadable, stored.size());
}

}  // namespace
}  // namespace umberhoist::access
