// The parts of the fleet's budgets by themselves: what is told, how a whole is filled, and a leader's
// division with a few holders under leases that are simulated here.
#include <gtest/gtest.h>

#include "budgets_fleet.h"
#include "filling.h"

namespace umberhoist::fleet {
namespace {

TEST(BudgetWire, TellsThreeThousandDestinationsInItsBoundAndReadsNothingElse) {
  Demands demands{7, 0.2, 300, 4, 5, 6, 9, {}};
  Parts parts{3, 4, true, 9, {}};
  for (size_t i = 0; i < kMostWords; ++i) {
    const uint64_t hash = budget_hash("dest/" + std::to_string(i));
    demands.words.push_back({hash, rate_down(1e6 / 3), rate_down(0.1 + static_cast<double>(i))});
    parts.all.push_back({hash, rate_down(1.0 / 3), rate_down(1e6 / 3)});
  }
  const std::string told = demands.packed(), given = parts.packed();
  EXPECT_LE(told.size(), kMostBytes);
  EXPECT_LE(given.size(), kMostBytes);
  EXPECT_EQ(Demands::of(told).words, demands.words);
  EXPECT_EQ(Parts::of(given).all, parts.all);
  EXPECT_EQ(Parts::of(given).heard, 9u);
  demands.words.push_back({1, 1, 1});
  EXPECT_THROW(Demands::of(demands.packed()), DecodeError);
  const std::string small = Demands{7, 0.2, 3, 0, 0, 0, 1, {{1, 2, 3}}}.packed();
  for (size_t cut = 0; cut < small.size(); ++cut)
    EXPECT_THROW(Demands::of(small.substr(0, cut)), DecodeError);
  EXPECT_THROW(Demands::of(to_cbor({1, 0.2, 0, 0, 0, 0, 1, nlohmann::json::array()})),
               DecodeError);                                                               // no names
  EXPECT_THROW(Demands::of(to_cbor({1, 0.2, 3, 0, 0, 0, 1, {1, -2.0, 3}})), DecodeError);  // below 0
  EXPECT_THROW(Parts::of(to_cbor({0, 1, 0, 0, nlohmann::json::array({1, 2.0})})),
               DecodeError);  // half a word
  for (const double rate : {1.0 / 3, 0.1, 123456.789, 1e-20}) {
    EXPECT_LE(rate_down(rate), rate);
    EXPECT_GT(rate_down(rate), rate * 0.9999);
  }
}

TEST(Filling, IsMaxMinAndSpreadsWhatIsLeft) {
  EXPECT_EQ(filled(10, {1, 100, 100, 5}), (std::vector<double>{1, 3, 3, 3}));
  EXPECT_EQ(filled(12, {1, 3}), (std::vector<double>{5, 7}));
  EXPECT_EQ(filled(0, {1, 3}), (std::vector<double>{0, 0}));
  EXPECT_EQ(sharers(0.5, 1.0 / 3, 30), 1u);
  EXPECT_EQ(sharers(0.01, 1.0 / 3, 30), 1u);
  EXPECT_EQ(sharers(5, 1.0 / 3, 30), 15u);
}

TEST(Division, IsFairAndUsedAndFollowsDemand) {
  for (const int n : {3, 30}) {
    Fleet fleet(n);
    fleet.demand(200);
    fleet.run(kTerm);
    EXPECT_GE(fleet.jain(), 0.98);
    EXPECT_GE(fleet.sum(), 95);
    fleet.demand(0.4);  // of little each
    fleet.processes[1].demand = 500;
    fleet.run(3 * kTerm);
    EXPECT_GE(fleet.may(1), 100 - 1.1 * 0.4 * n - 20);
    for (int i = 0; i < n; ++i) EXPECT_GE(fleet.may(i), 0.4) << i;
    EXPECT_LE(fleet.sum(), 100);
  }
}

TEST(Division, GivesNothingInANewReignUntilTheOldLeasesAreOver) {
  Fleet fleet(3);
  fleet.demand(200);
  fleet.run(kTerm);
  const Time begun = fleet.now;
  fleet.elect();
  fleet.audit = [&] {
    EXPECT_LE(fleet.sum(), 100);
    if (fleet.now < begun + kOver) {
      EXPECT_EQ(fleet.divider->counts().out, 0u);
    }
  };
  fleet.run(2 * kTerm);
  EXPECT_GE(fleet.sum(), 95);
}

TEST(Division, WhatADeadOneHeldComesBackWithinTwoTermsAndACutOffOneHasItsFloor) {
  Fleet fleet(5);
  fleet.demand(200);
  fleet.run(kTerm);
  const double before = fleet.may(2);
  fleet.audit = [&] { EXPECT_LE(fleet.sum(), 100); };
  fleet.start(0);  // again at once: what it held before is out until it lapses
  fleet.processes[1].cut = true;
  fleet.run(kTerm / 2);
  EXPECT_GE(fleet.may(2), 0.8 * before);  // it shares with the new process what no other may hold
  fleet.run(3 * kTerm / 2);
  EXPECT_DOUBLE_EQ(fleet.may(1), 4);  // the fifth part of the floors
  EXPECT_GE(fleet.sum(), 95);
  EXPECT_GT(fleet.may(2), before * 1.1);
}

TEST(Division, ALoweredWholeFitsWithinATermAndARaisedOneWaitsForAllThatTellIt) {
  Fleet fleet(5);
  fleet.demand(200);
  fleet.run(kTerm);
  fleet.processes[4].cut = true;  // it keeps its floor of the whole that it knows: 4
  fleet.set_whole(30);
  fleet.run(kTerm + 2 * kPeriod);
  EXPECT_LE(fleet.sum(), 30);
  EXPECT_NEAR(fleet.sum(), 30, 2);
  fleet.run(kTerm);
  fleet.processes[3].whole = 1000;  // one alone believes in more
  fleet.audit = [&] { EXPECT_LE(fleet.sum(), 30); };
  fleet.run(2 * kTerm);
  fleet.audit = nullptr;
  fleet.processes[4].cut = false;
  fleet.set_whole(60);
  fleet.run(3 * kTerm);
  EXPECT_LE(fleet.sum(), 60);
  EXPECT_GE(fleet.sum(), 57);
}

TEST(Division, OneThatHearsNothingLosesItsPart) {
  Fleet fleet(3);
  fleet.demand(200);
  fleet.run(kTerm);
  fleet.processes[2].deaf = true;
  fleet.audit = [&] { EXPECT_LE(fleet.sum(), 100); };
  fleet.run(4 * kTerm);
  EXPECT_GE(fleet.may(0) + fleet.may(1), 90);
  fleet.processes[2].deaf = false;
  fleet.run(3 * kTerm);
  EXPECT_GE(fleet.jain(), 0.98);
}

TEST(Division, AnOldWordOfALifeThatIsOverDoesNotKeepTheNextOut) {
  Divider divider({kPeriod, kTerm, 0.2, {"n0"}, Divider::Plant::kNothing});
  divider.begin(1, 0);
  Demands late{1, 0.2, 1, 0, 0, 0, 1, {{budget_hash("b"), 50, 50}}}, told = late;
  told.life = 2;
  Time now = kSecond;
  const auto renew = [&](const Demands& d) {
    now += kPeriod;
    return divider.answer(now, {"n0", now + kOver, now - kPeriod}, d);
  };
  EXPECT_TRUE(renew(told));
  EXPECT_TRUE(renew(late));
  size_t answers = 0;
  for (int n = 0; n < 20; ++n) answers += renew(told) ? 1 : 0;
  EXPECT_GE(answers, 17u);
}

TEST(Division, SmallWholesGoRoundInTurns) {
  Fleet fleet(30);
  fleet.set_whole(0.5);
  fleet.demand(1);
  fleet.run(3 * kTerm);
  std::map<int, double> had;
  fleet.audit = [&] {
    int holders = 0;
    for (int i = 0; i < 30; ++i) {
      holders += fleet.may(i) > 0;
      had[i] += fleet.may(i) * 0.05;
    }
    EXPECT_LE(holders, 1);
    EXPECT_LE(fleet.sum(), 0.5);
  };
  fleet.run(1200 * kSecond);
  double all = 0, least = 1e9, most = 0;
  for (const auto& [i, calls] : had) {
    all += calls;
    least = std::min(least, calls);
    most = std::max(most, calls);
  }
  std::printf("turns: %.3f of the whole is in hands\n", all / 600);
  EXPECT_GE(all, 0.94 * 600);
  EXPECT_GE(least, 14);
  EXPECT_LE(most, 1.6 * least);
}

// Anything in any order, over 200 plays: nothing is ever over the largest whole that was in force in the last
// term, and it is used again at the end.
TEST(Division, IsNeverOverWhateverHappens) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(3 + static_cast<int>(seed % 5), seed);
    pcg32 chance(seed, 5);
    std::vector<std::pair<Time, double>> wholes = {{0, 100}};
    fleet.audit = [&] {
      double most = fleet.whole;
      for (size_t k = 0; k + 1 < wholes.size(); ++k) {
        if (wholes[k + 1].first + kOver + 2 * kPeriod > fleet.now) most = std::max(most, wholes[k].second);
      }
      ASSERT_LE(fleet.sum(), most * (1 + 1e-6)) << "seed " << seed << " at " << fleet.now;
    };
    fleet.demand(200);
    for (int step = 0; step < 40; ++step) {
      const int who = static_cast<int>(chance() % static_cast<uint32_t>(fleet.processes.size()));
      auto& p = fleet.processes[who];
      switch (chance() % 8) {
        case 0:
          fleet.start(who);
          break;
        case 1:
          p.cut = !p.cut;
          break;
        case 2:
          p.deaf = !p.deaf;
          break;
        case 3:
          fleet.elect();
          break;
        case 4:
          fleet.loss = chance() % 2 == 0 ? 0 : 0.3;
          break;
        case 5:
          // Floors of those that are cut off go by the whole that they know.
          if (std::ranges::none_of(fleet.processes,
                                   [](const auto& e) { return e.second.cut || e.second.deaf; })) {
            fleet.set_whole(5 + static_cast<double>(chance() % 200));
            wholes.emplace_back(fleet.now, fleet.whole);
          }
          break;
        default:
          p.demand = static_cast<double>(chance() % 300);
      }
      fleet.run(static_cast<Time>(chance() % kTerm));
      if (HasFatalFailure()) return;
    }
    fleet.loss = 0;
    for (auto& [i, p] : fleet.processes) p.cut = p.deaf = false;
    fleet.set_whole(fleet.whole);
    fleet.demand(500);
    fleet.run(4 * kTerm);
    EXPECT_GE(fleet.sum(), 0.95 * fleet.whole) << "seed " << seed;
    EXPECT_GE(fleet.jain(), 0.98) << "seed " << seed;
  }
}

TEST(Division, AtRestNothingIsToldTwice) {
  Fleet fleet(3);
  fleet.demand(20);
  fleet.run(3 * kTerm);
  fleet.told_bytes = fleet.given_bytes = fleet.renewals = 0;
  const auto before = fleet.divider->counts();
  fleet.run(10 * kTerm);
  EXPECT_LT(fleet.told_bytes / fleet.renewals, 60u);
  EXPECT_LT(fleet.given_bytes / fleet.renewals, 20u);
  EXPECT_EQ(fleet.divider->counts().lowered, before.lowered);
}

}  // namespace
}  // namespace umberhoist::fleet
