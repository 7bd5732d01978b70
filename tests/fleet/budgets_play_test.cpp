// Budgets on the real agreement, on the simulated clock and network: the lab's play of random faults, and the
// renewal's and the grant's riders beside builds that know none.
#include <gtest/gtest.h>

#include <cstdlib>

#include "agreement_messages.h"
#include "plays.h"
#include "sim_budgets.h"

namespace umberhoist::lab {
namespace {

TEST(BudgetsPlays, RandomFaultsBreakNothing) {
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

// Leases break where clocks go apart further than they allow for: the audit sees it.
TEST(BudgetsPlays, TheAuditSeesTwoThatHoldOneWhole) {
  Time now = 0;
  BudgetAudit audit(2, 500 * fleet::kMs, 3 * fleet::kSecond, [&] { return now; });
  for (int r = 0; r < 2; ++r) {
    audit.begins(
        r, std::make_shared<BudgetProcess>(r, 2, r + 1, 500 * fleet::kMs, 3 * fleet::kSecond,
                                           AgreementGuest::Clock{}, audit, fleet::Divider::Plant::kNothing));
  }
  const uint64_t even = fleet::budget_hash(kPlayBudgets[0]);
  const double part = fleet::rate_down(play_whole(0, 2) * 0.5);
  for (int r = 0; r < 2; ++r) {
    EXPECT_EQ(audit.broken(), "");
    audit.process(r)->took(now, 1, fleet::Parts{0, 1, false, 0, {{even, part, 40}}}.packed(), fleet::kSecond);
  }
  EXPECT_NE(audit.broken(), "");  // two halves and the floors
}

TEST(Holder, TellsAgainWhatALeaderHasForgotten) {
  fleet::BudgetHolder holder({0.2, 1, 500 * fleet::kMs, 3 * fleet::kSecond, 1});
  holder.whole("b", 50, true);
  holder.asked("b", 100);
  const fleet::Demands first = holder.tell(fleet::kSecond);
  ASSERT_EQ(first.words.size(), 1u);
  holder.took(fleet::kSecond, 1, {0, 0, false, first.number, {}}, 2 * fleet::kSecond);
  EXPECT_TRUE(holder.tell(fleet::kSecond).words.empty());
  holder.took(fleet::kSecond, 1, {0, 0, false, 0, {}}, 2 * fleet::kSecond);
  EXPECT_EQ(holder.tell(fleet::kSecond).words, first.words);
}

TEST(AgreementRiders, AreNotInTheMessageWhereThereIsNone) {
  fleet::LeaseRenewal renew;
  fleet::LeaseGrant grant;
  const size_t old_renew = renew.encode().size(), old_grant = grant.encode().size();
  EXPECT_EQ(fleet::LeaseRenewal::decode(renew.encode()).piggyback, "");
  renew.piggyback = grant.piggyback = std::string("\0\xff", 2);
  EXPECT_EQ(renew.encode().size(), old_renew + 1);  // an older build reads what is before it
  EXPECT_EQ(grant.encode().size(), old_grant + 1);
  EXPECT_EQ(fleet::LeaseRenewal::decode(fleet::from_cbor(fleet::to_cbor(renew.encode()))).piggyback,
            renew.piggyback);
  EXPECT_EQ(fleet::LeaseGrant::decode(fleet::from_cbor(fleet::to_cbor(grant.encode()))).piggyback,
            grant.piggyback);
}

}  // namespace
}  // namespace umberhoist::lab
