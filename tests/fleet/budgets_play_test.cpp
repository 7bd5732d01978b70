// Budgets on the real agreement with simulated clock and network: the lab's runs of random faults, and
// renewals and grants whose piggybacked payload an older build does not know.
#include <gtest/gtest.h>

#include <cstdlib>

#include "agreement_messages.h"
#include "plays.h"
#include "sim_budgets.h"

namespace umberhoist::lab {
namespace {

TEST(BudgetsPlays, AllOraclesHoldUnderRandomFaults) {
  const char* wanted = std::getenv("SIM_SEEDS");
  const int seeds = wanted == nullptr ? 20 : std::atoi(wanted);
  for (const int relays : {3, 5, 30}) {
    for (int seed = 1; seed <= (relays == 30 ? seeds / 10 : seeds); ++seed) {
      const auto table = load_table(LAB_SCENARIOS "/sim-budgets.toml", {"relays=" + std::to_string(relays)});
      const auto result = simulate(read_scenario(table), static_cast<uint64_t>(seed));
      for (const auto& [name, oracle] : result["oracles"].items()) {
        EXPECT_TRUE(oracle["held"].get<bool>())
            << relays << " relays, seed " << seed << ": " << name << ": " << oracle["first_broken"];
      }
    }
  }
}

// The audit must detect two relays with the same share, as after clocks drifted further than leases allow.
TEST(BudgetsPlays, TheAuditDetectsTwoRelaysThatHoldTheSameShare) {
  Time now = 0;
  BudgetAudit audit(2, 500 * fleet::kMs, 3 * fleet::kSecond, [&] { return now; });
  for (int r = 0; r < 2; ++r) {
    audit.begins(r, std::make_shared<BudgetProcess>(r, 2, r + 1, 500 * fleet::kMs, 3 * fleet::kSecond,
                                                    AgreementGuest::Clock{}, audit,
                                                    fleet::BudgetAllocator::InjectedFault::kNone));
  }
  const uint64_t even = fleet::budget_hash(kPlayBudgets[0]);
  const double half = fleet::round_rate_down(play_whole(0, 2) * 0.5);
  for (int r = 0; r < 2; ++r) {
    EXPECT_EQ(audit.broken(), "");
    audit.process(r)->on_grant(now, 1, fleet::ShareTable{0, 1, false, 0, {{even, half, 40}}}.encode(),
                               fleet::kSecond);
  }
  EXPECT_NE(audit.broken(), "");  // two halves and the floors exceed the capacity
}

TEST(BudgetHolder, ReportsAgainWhatTheLeaderHasNotAcknowledged) {
  fleet::BudgetHolder holder({0.2, 1, 500 * fleet::kMs, 3 * fleet::kSecond, 1});
  holder.set_capacity("b", 50, true);
  holder.record_demand("b", 100);
  const fleet::DemandReport first = holder.demand_report(fleet::kSecond);
  ASSERT_EQ(first.updates.size(), 1u);
  holder.apply_table(fleet::kSecond, 1, {0, 0, false, first.version, {}}, 2 * fleet::kSecond);
  EXPECT_TRUE(holder.demand_report(fleet::kSecond).updates.empty());
  holder.apply_table(fleet::kSecond, 1, {0, 0, false, 0, {}}, 2 * fleet::kSecond);
  EXPECT_EQ(holder.demand_report(fleet::kSecond).updates, first.updates);
}

TEST(LeasePiggyback, AnEmptyPayloadIsLeftOutOfTheMessage) {
  fleet::LeaseRenewal renew;
  fleet::LeaseGrant grant;
  const size_t old_renew = renew.encode().size(), old_grant = grant.encode().size();
  EXPECT_EQ(fleet::LeaseRenewal::decode(renew.encode()).piggyback, "");
  renew.piggyback = grant.piggyback = std::string("\0\xff", 2);
  // One field is appended, so an older build can read the fields before it.
  EXPECT_EQ(renew.encode().size(), old_renew + 1);
  EXPECT_EQ(grant.encode().size(), old_grant + 1);
  EXPECT_EQ(fleet::LeaseRenewal::decode(fleet::from_cbor(fleet::to_cbor(renew.encode()))).piggyback,
            renew.piggyback);
  EXPECT_EQ(fleet::LeaseGrant::decode(fleet::from_cbor(fleet::to_cbor(grant.encode()))).piggyback,
            grant.piggyback);
}

}  // namespace
}  // namespace umberhoist::lab
