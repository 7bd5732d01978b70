#include "budget_process.h"

#include <algorithm>

namespace umberhoist::lab {

using fleet::kMs;
using fleet::kSecond;

double play_whole(int budget, int relays) {
  constexpr std::array<double, kPlayBudgets.size()> kEach = {20, 4, 0, 10};
  return budget == 2 ? 0.5 : kEach[static_cast<size_t>(budget)] * relays;
}

double play_demand(int budget, int relay) {
  constexpr std::array<double, kPlayBudgets.size()> kEach = {40, 2, 1, 20};
  return kEach[static_cast<size_t>(budget)] * (budget == 1 && relay == 0 ? 10 : 1);
}

// ---- A process ----

namespace {

fleet::BudgetAllocator::Settings divider_settings(int relays, Time period, Time term,
                                                  fleet::BudgetAllocator::InjectedFault plant) {
  fleet::BudgetAllocator::Settings s{period, term, kPlayFloor, {}, plant};
  for (int i = 0; i < relays; ++i) s.relay_names.push_back(member_name(i));
  return s;
}

}  // namespace

BudgetProcess::BudgetProcess(int relay, int relays, uint64_t life, Time period, Time term,
                             AgreementGuest::Clock clock, BudgetAudit& audit,
                             fleet::BudgetAllocator::InjectedFault plant)
    : BudgetPiggyback({kPlayFloor, static_cast<uint64_t>(relays), period, term, life},
                      divider_settings(relays, period, term, plant)),
      relay_(relay),
      relays_(relays),
      term_(term),
      clock_(clock),
      audit_(audit) {
  allocator().set_policy_capacities({{fleet::budget_hash(kPlayBudgets[3]), play_whole(3, relays)}});
}

void BudgetProcess::knows(int budget, double whole) {
  known_[at(budget)] = whole;
  holder().set_capacity(kPlayBudgets[at(budget)], whole, budget != 3);
}

std::string BudgetProcess::renewal_payload(Time now) {
  if (asked_ >= 0) {
    for (int b = 0; b < static_cast<int>(kPlayBudgets.size()); ++b) {
      holder().record_demand(kPlayBudgets[at(b)],
                             play_demand(b, relay_) * static_cast<double>(now - asked_) / kSecond);
    }
  }
  asked_ = now;
  std::string out = BudgetPiggyback::renewal_payload(now);
  told += out.size();
  return out;
}

std::string BudgetProcess::grant_payload(Time now, const Renewal& renewal, std::string_view asked) {
  std::string out = BudgetPiggyback::grant_payload(now, renewal, asked);
  given += out.size();
  return out;
}

bool BudgetProcess::on_grant(Time now, uint64_t reign, std::string_view bytes, Time until) {
  const bool soon = BudgetPiggyback::on_grant(now, reign, bytes, until);
  audit_.look();
  return soon;
}

double BudgetProcess::floor(int budget) const {
  return fleet::floor_rate(kPlayFloor, static_cast<uint64_t>(relays_), known_[at(budget)], term_);
}

// ---- The audit ----

// Until a lowered whole must hold: a leader hears it with somebody's renewal, a lease by the slowest clock,
// and the renewals that bring the lower parts.
BudgetAudit::BudgetAudit(int relays, Time period, Time term, std::function<Time()> now)
    : term_(term),
      slack_(term + term * 3 / fleet::kInverseDriftBound + 2 * period),
      now_(std::move(now)),
      processes_(static_cast<size_t>(relays)) {
  for (size_t b = 0; b < kPlayBudgets.size(); ++b) {
    wholes_[b] = {{0, play_whole(static_cast<int>(b), relays)}};
  }
}

void BudgetAudit::begins(int relay, std::shared_ptr<BudgetProcess> process) {
  auto& lives = processes_[static_cast<size_t>(relay)];
  lives.push_back(std::move(process));
  for (int b = 0; b < static_cast<int>(kPlayBudgets.size()); ++b) lives.back()->knows(b, whole(b));
  // All that were before have lapsed but the few that began within a term.
  if (lives.size() > 64) lives.pop_front();
}

void BudgetAudit::whole(int budget, double per_s, Time known) {
  wholes_[static_cast<size_t>(budget)].emplace_back(now_() + known, per_s);
}

double BudgetAudit::sum(int budget, Time now) const {
  double out = 0;
  for (const auto& lives : processes_) {
    for (const auto& process : lives) {
      // A name's floor counts once, and where nothing lives, too.
      const double may = process->may(now, budget);
      out += process == lives.back() ? may : std::max(0.0, may - process->floor(budget));
    }
  }
  return out;
}

double BudgetAudit::allowed(int budget, Time now) const {
  const auto& wholes = wholes_[static_cast<size_t>(budget)];
  double out = wholes.back().second;
  for (size_t k = 0; k + 1 < wholes.size(); ++k) {
    if (wholes[k + 1].first + slack_ > now) out = std::max(out, wholes[k].second);
  }
  // One that could not hear of a lower whole has its floor of the one that it knows.
  const double floor = fleet::floor_rate(kPlayFloor, processes_.size(), out, term_);
  for (const auto& lives : processes_) {
    if (lives.empty()) continue;
    out += std::max(0.0, lives.back()->floor(budget) - floor);
  }
  return out;
}

void BudgetAudit::look() {
  const Time now = now_();
  for (int b = 0; b < static_cast<int>(kPlayBudgets.size()); ++b) {
    ++checked_;
    const double all = sum(b, now), most = allowed(b, now);
    most_over_ = std::max(most_over_, all / whole(b));
    if (all <= most * (1 + 1e-6) || !broken_.empty()) continue;
    broken_ = "at " + std::to_string(static_cast<double>(now) / 1e6) + " s: " + std::to_string(all) + " of " +
              kPlayBudgets[static_cast<size_t>(b)] + " may be spent, " + std::to_string(most) +
              " is the whole";
  }
}

}  // namespace umberhoist::lab
