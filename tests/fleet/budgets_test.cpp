// Unit tests of the fleet's budgets: their messages, max-min fair division, and a leader's allocator with a
// few holders under simulated leases.
#include <gtest/gtest.h>

#include "budgets_fleet.h"
#include "fair_share.h"

namespace umberhoist::fleet {
namespace {

TEST(BudgetWire, EncodesThreeThousandBudgetsWithinTheLimitAndRejectsMalformedMessages) {
  DemandReport report{7, 0.2, 300, 4, 5, 6, 9, {}};
  ShareTable table{3, 4, true, 9, {}};
  for (size_t i = 0; i < kMaxBudgetsPerMessage; ++i) {
    const uint64_t hash = budget_hash("dest/" + std::to_string(i));
    report.updates.push_back({hash, round_rate_down(1e6 / 3), round_rate_down(0.1 + static_cast<double>(i))});
    table.shares.push_back({hash, round_rate_down(1.0 / 3), round_rate_down(1e6 / 3)});
  }
  const std::string encoded_report = report.encode(), encoded_table = table.encode();
  EXPECT_LE(encoded_report.size(), kMaxBudgetMessageBytes);
  EXPECT_LE(encoded_table.size(), kMaxBudgetMessageBytes);
  EXPECT_EQ(DemandReport::decode(encoded_report).updates, report.updates);
  EXPECT_EQ(ShareTable::decode(encoded_table).shares, table.shares);
  EXPECT_EQ(ShareTable::decode(encoded_table).acked_demand_version, 9u);
  report.updates.push_back({1, 1, 1});
  EXPECT_THROW(DemandReport::decode(report.encode()), DecodeError);
  const std::string small = DemandReport{7, 0.2, 3, 0, 0, 0, 1, {{1, 2, 3}}}.encode();
  for (size_t cut = 0; cut < small.size(); ++cut)
    EXPECT_THROW(DemandReport::decode(small.substr(0, cut)), DecodeError);
  // No relays, a negative rate, and an incomplete entry.
  EXPECT_THROW(DemandReport::decode(to_cbor({1, 0.2, 0, 0, 0, 0, 1, nlohmann::json::array()})), DecodeError);
  EXPECT_THROW(DemandReport::decode(to_cbor({1, 0.2, 3, 0, 0, 0, 1, {1, -2.0, 3}})), DecodeError);
  EXPECT_THROW(ShareTable::decode(to_cbor({0, 1, 0, 0, nlohmann::json::array({1, 2.0})})), DecodeError);
  for (const double rate : {1.0 / 3, 0.1, 123456.789, 1e-20}) {
    EXPECT_LE(round_rate_down(rate), rate);
    EXPECT_GT(round_rate_down(rate), rate * 0.9999);
  }
}

TEST(FairShare, IsMaxMinFairAndSpreadsTheRemainder) {
  EXPECT_EQ(max_min_fair(10, {1, 100, 100, 5}), (std::vector<double>{1, 3, 3, 3}));
  EXPECT_EQ(max_min_fair(12, {1, 3}), (std::vector<double>{5, 7}));
  EXPECT_EQ(max_min_fair(0, {1, 3}), (std::vector<double>{0, 0}));
  EXPECT_EQ(max_sharers(0.5, 1.0 / 3, 30), 1u);
  EXPECT_EQ(max_sharers(0.01, 1.0 / 3, 30), 1u);
  EXPECT_EQ(max_sharers(5, 1.0 / 3, 30), 15u);
}

TEST(BudgetAllocator, IsFairAndFullyUsedAndFollowsDemand) {
  for (const int n : {3, 30}) {
    Fleet fleet(n);
    fleet.set_demand(200);
    fleet.run(kLeaseDuration);
    EXPECT_GE(fleet.jain_index(), 0.98);
    EXPECT_GE(fleet.total_rate(), 95);
    fleet.set_demand(0.4);
    fleet.processes[1].demand = 500;
    fleet.run(3 * kLeaseDuration);
    EXPECT_GE(fleet.allowed_rate(1), 100 - 1.1 * 0.4 * n - 20);
    for (int i = 0; i < n; ++i) EXPECT_GE(fleet.allowed_rate(i), 0.4) << i;
    EXPECT_LE(fleet.total_rate(), 100);
  }
}

TEST(BudgetAllocator, GrantsNothingInANewTermUntilPriorLeasesHaveExpired) {
  Fleet fleet(3);
  fleet.set_demand(200);
  fleet.run(kLeaseDuration);
  const Time elected_at = fleet.now;
  fleet.elect();
  fleet.audit = [&] {
    EXPECT_LE(fleet.total_rate(), 100);
    if (fleet.now < elected_at + kLeaseExpiry) {
      EXPECT_EQ(fleet.allocator->counts().outstanding_shares, 0u);
    }
  };
  fleet.run(2 * kLeaseDuration);
  EXPECT_GE(fleet.total_rate(), 95);
}

TEST(BudgetAllocator, SharesOfADeadRelayReturnWithinTwoLeasesAndAnIsolatedOneKeepsItsFloor) {
  Fleet fleet(5);
  fleet.set_demand(200);
  fleet.run(kLeaseDuration);
  const double before = fleet.allowed_rate(2);
  fleet.audit = [&] { EXPECT_LE(fleet.total_rate(), 100); };
  fleet.start(0);  // restarts: its earlier share is outstanding until the lease has expired
  fleet.processes[1].isolated = true;
  fleet.run(kLeaseDuration / 2);
  EXPECT_GE(fleet.allowed_rate(2), 0.8 * before);  // it and the new process divide what no other may hold
  fleet.run(3 * kLeaseDuration / 2);
  EXPECT_DOUBLE_EQ(fleet.allowed_rate(1), 4);  // a fifth of the floors
  EXPECT_GE(fleet.total_rate(), 95);
  EXPECT_GT(fleet.allowed_rate(2), before * 1.1);
}

TEST(BudgetAllocator, ALoweredCapacityHoldsWithinALeaseAndARaisedOneWaitsForAllReports) {
  Fleet fleet(5);
  fleet.set_demand(200);
  fleet.run(kLeaseDuration);
  fleet.processes[4].isolated = true;  // it keeps its floor of the capacity that it knows: 4
  fleet.set_capacity(30);
  fleet.run(kLeaseDuration + 2 * kPeriod);
  EXPECT_LE(fleet.total_rate(), 30);
  EXPECT_NEAR(fleet.total_rate(), 30, 2);
  fleet.run(kLeaseDuration);
  fleet.processes[3].capacity = 1000;  // only this one reports more
  fleet.audit = [&] { EXPECT_LE(fleet.total_rate(), 30); };
  fleet.run(2 * kLeaseDuration);
  fleet.audit = nullptr;
  fleet.processes[4].isolated = false;
  fleet.set_capacity(60);
  fleet.run(3 * kLeaseDuration);
  EXPECT_LE(fleet.total_rate(), 60);
  EXPECT_GE(fleet.total_rate(), 57);
}

TEST(BudgetAllocator, ARelayThatReceivesNothingLosesItsShare) {
  Fleet fleet(3);
  fleet.set_demand(200);
  fleet.run(kLeaseDuration);
  fleet.processes[2].receives_nothing = true;
  fleet.audit = [&] { EXPECT_LE(fleet.total_rate(), 100); };
  fleet.run(4 * kLeaseDuration);
  EXPECT_GE(fleet.allowed_rate(0) + fleet.allowed_rate(1), 90);
  fleet.processes[2].receives_nothing = false;
  fleet.run(3 * kLeaseDuration);
  EXPECT_GE(fleet.jain_index(), 0.98);
}

TEST(BudgetAllocator, ADelayedReportOfAnEndedIncarnationDoesNotLockOutTheNext) {
  BudgetAllocator allocator({kPeriod, kLeaseDuration, 0.2, {"n0"}, BudgetAllocator::InjectedFault::kNone});
  allocator.begin_term(1, 0);
  DemandReport delayed{1, 0.2, 1, 0, 0, 0, 1, {{budget_hash("b"), 50, 50}}}, next = delayed;
  next.incarnation = 2;
  Time now = kSecond;
  const auto renew = [&](const DemandReport& d) {
    now += kPeriod;
    return allocator.answer(now, {"n0", now + kLeaseExpiry, now - kPeriod}, d);
  };
  EXPECT_TRUE(renew(next));
  EXPECT_TRUE(renew(delayed));
  size_t answers = 0;
  for (int n = 0; n < 20; ++n) answers += renew(next) ? 1 : 0;
  EXPECT_GE(answers, 17u);
}

TEST(BudgetAllocator, SmallCapacitiesAreTimeSliced) {
  Fleet fleet(30);
  fleet.set_capacity(0.5);
  fleet.set_demand(1);
  fleet.run(3 * kLeaseDuration);
  std::map<int, double> calls_of;
  fleet.audit = [&] {
    int holders = 0;
    for (int i = 0; i < 30; ++i) {
      holders += fleet.allowed_rate(i) > 0;
      calls_of[i] += fleet.allowed_rate(i) * 0.05;
    }
    EXPECT_LE(holders, 1);
    EXPECT_LE(fleet.total_rate(), 0.5);
  };
  fleet.run(1200 * kSecond);
  double total = 0, min_calls = 1e9, max_calls = 0;
  for (const auto& [i, calls] : calls_of) {
    total += calls;
    min_calls = std::min(min_calls, calls);
    max_calls = std::max(max_calls, calls);
  }
  std::printf("time slices: %.3f of the capacity is granted\n", total / 600);
  EXPECT_GE(total, 0.94 * 600);
  EXPECT_GE(min_calls, 14);
  EXPECT_LE(max_calls, 1.6 * min_calls);
}

// 200 runs of random restarts, elections, isolation, loss and capacity changes: the rates never sum to more
// than the largest capacity in force within the last lease, and the capacity is fully used again at the end.
TEST(BudgetAllocator, NeverExceedsTheCapacityUnderRandomFaults) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Fleet fleet(3 + static_cast<int>(seed % 5), seed);
    pcg32 rng(seed, 5);
    std::vector<std::pair<Time, double>> capacities = {{0, 100}};
    fleet.audit = [&] {
      double allowed = fleet.capacity;
      for (size_t k = 0; k + 1 < capacities.size(); ++k) {
        if (capacities[k + 1].first + kLeaseExpiry + 2 * kPeriod > fleet.now)
          allowed = std::max(allowed, capacities[k].second);
      }
      ASSERT_LE(fleet.total_rate(), allowed * (1 + 1e-6)) << "seed " << seed << " at " << fleet.now;
    };
    fleet.set_demand(200);
    for (int step = 0; step < 40; ++step) {
      const int relay = static_cast<int>(rng() % static_cast<uint32_t>(fleet.processes.size()));
      auto& p = fleet.processes[relay];
      switch (rng() % 8) {
        case 0:
          fleet.start(relay);
          break;
        case 1:
          p.isolated = !p.isolated;
          break;
        case 2:
          p.receives_nothing = !p.receives_nothing;
          break;
        case 3:
          fleet.elect();
          break;
        case 4:
          fleet.loss = rng() % 2 == 0 ? 0 : 0.3;
          break;
        case 5:
          // Not while a relay is cut off: its floor would go by the old capacity.
          if (std::ranges::none_of(fleet.processes, [](const auto& e) {
                return e.second.isolated || e.second.receives_nothing;
              })) {
            fleet.set_capacity(5 + static_cast<double>(rng() % 200));
            capacities.emplace_back(fleet.now, fleet.capacity);
          }
          break;
        default:
          p.demand = static_cast<double>(rng() % 300);
      }
      fleet.run(static_cast<Time>(rng() % kLeaseDuration));
      if (HasFatalFailure()) return;
    }
    fleet.loss = 0;
    for (auto& [i, p] : fleet.processes) p.isolated = p.receives_nothing = false;
    fleet.set_capacity(fleet.capacity);
    fleet.set_demand(500);
    fleet.run(4 * kLeaseDuration);
    EXPECT_GE(fleet.total_rate(), 0.95 * fleet.capacity) << "seed " << seed;
    EXPECT_GE(fleet.jain_index(), 0.98) << "seed " << seed;
  }
}

TEST(BudgetAllocator, SendsOnlySmallMessagesInSteadyState) {
  Fleet fleet(3);
  fleet.set_demand(20);
  fleet.run(3 * kLeaseDuration);
  fleet.report_bytes = fleet.table_bytes = fleet.renewals = 0;
  const auto before = fleet.allocator->counts();
  fleet.run(10 * kLeaseDuration);
  EXPECT_LT(fleet.report_bytes / fleet.renewals, 60u);
  EXPECT_LT(fleet.table_bytes / fleet.renewals, 20u);
  EXPECT_EQ(fleet.allocator->counts().shares_lowered, before.shares_lowered);
}

}  // namespace
}  // namespace umberhoist::fleet
