// A relay's budgets in the simulated fleet, and the audit that watches those of all: what any process may
// still spend, also one that is stopped, cut off, or dead with its lease not over.
//
// Budgets of the play, of n relays: `dest/even` (20 n calls a second, told, all want twice their part),
// `dest/skew` (4 n, told, the first relay wants ten times what each other does), `dest/small` (half a call a
// second, told, all want one), `tenant/t` (10 n, of the policy, all want twice their part).
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>

#include "../fleet/budget_piggyback.h"
#include "agreement_guest.h"

namespace umberhoist::lab {

constexpr std::array<const char*, 4> kPlayBudgets = {"dest/even", "dest/skew", "dest/small", "tenant/t"};
constexpr double kPlayFloor = 0.2;

double play_whole(int budget, int relays);
double play_demand(int budget, int relay);  // calls a second, floods aside

class BudgetAudit;

class BudgetProcess : public fleet::BudgetPiggyback {
 public:
  BudgetProcess(int relay, int relays, uint64_t life, Time period, Time term, AgreementGuest::Clock clock,
                BudgetAudit& audit, fleet::BudgetAllocator::InjectedFault plant);

  std::string renewal_payload(Time now) override;
  std::string grant_payload(Time now, const Renewal& renewal, std::string_view asked) override;
  bool on_grant(Time now, uint64_t reign, std::string_view bytes, Time until) override;

  void knows(int budget, double whole);
  double may(Time real, int budget) const {
    return holder().allowed_rate(clock_.local(real), kPlayBudgets[at(budget)]);
  }
  double floor(int budget) const;  // of it

  uint64_t told = 0, given = 0;  // bytes

 private:
  static size_t at(int budget) { return static_cast<size_t>(budget); }

  int relay_;
  int relays_;
  Time term_;
  AgreementGuest::Clock clock_;
  BudgetAudit& audit_;
  Time asked_ = -1;
  std::array<double, kPlayBudgets.size()> known_{};
};

class BudgetAudit {
 public:
  BudgetAudit(int relays, Time period, Time term, std::function<Time()> now);

  // The process of a relay from now on; the one before may spend what it holds until that lapses.
  void begins(int relay, std::shared_ptr<BudgetProcess> process);
  // The whole is this from now on, and known to every relay that is up within `known`.
  void whole(int budget, double per_s, Time known);
  void look();

  double whole(int budget) const { return wholes_[static_cast<size_t>(budget)].back().second; }
  double sum(int budget, Time now) const;
  BudgetProcess* process(int relay) { return processes_[static_cast<size_t>(relay)].back().get(); }
  const std::string& broken() const { return broken_; }
  uint64_t checked() const { return checked_; }
  double most_over() const { return most_over_; }  // of a lowered whole, until it must hold: times the whole

 private:
  double allowed(int budget, Time now) const;

  Time term_;
  Time slack_;
  std::function<Time()> now_;
  std::vector<std::deque<std::shared_ptr<BudgetProcess>>> processes_;  // the last is the one that lives
  std::array<std::vector<std::pair<Time, double>>, kPlayBudgets.size()> wholes_;  // in force from when
  std::string broken_;
  uint64_t checked_ = 0;
  double most_over_ = 1;
};

}  // namespace umberhoist::lab
