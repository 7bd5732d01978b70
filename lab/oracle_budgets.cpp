#include "oracle_budgets.h"

#include <algorithm>

namespace umberhoist::lab {
namespace {

constexpr double kWindows[] = {1, 2, 5, 10};
constexpr double kLongest = 10;
constexpr double kScarceWindow = 5;   // a whole is scarce where so much of it
constexpr double kScarceShare = 0.7;  // was spent in that window

}  // namespace

void BudgetKept::whole(double now, const std::string& name, double per_s) {
  Budget& budget = budgets_[name];
  budget.wholes.emplace_back(now, per_s);
  const double oldest = now - kLongest - terms_.term - terms_.told;
  while (budget.wholes.size() > 1 && budget.wholes[1].first <= oldest) budget.wholes.pop_front();
}

// 0: it was not known throughout.
double BudgetKept::largest_since(const Budget& budget, double from) const {
  double largest = 0;
  for (size_t i = 0; i < budget.wholes.size(); ++i) {
    const bool over = i + 1 < budget.wholes.size() && budget.wholes[i + 1].first <= from;
    if (over) continue;
    if (budget.wholes[i].second <= 0) return 0;
    largest = std::max(largest, budget.wholes[i].second);
  }
  return largest;
}

void BudgetKept::serving(double now, bool all) {
  if (!all) {
    all_since_ = -1;
  } else if (all_since_ < 0) {
    all_since_ = now;
  }
}

void BudgetKept::call(double now, const std::string& name, int relay) {
  const auto it = budgets_.find(name);
  if (it == budgets_.end() || it->second.wholes.empty()) return;
  Budget& budget = it->second;
  budget.calls.push_back(now);
  while (budget.calls.front() < now - kLongest) budget.calls.pop_front();
  const auto within = [&](double window) {
    return static_cast<double>(budget.calls.end() - std::ranges::lower_bound(budget.calls, now - window));
  };
  for (const double w : kWindows) {
    const double whole = largest_since(budget, now - w - terms_.term - terms_.told);
    if (whole <= 0) continue;
    ++verdict_.checked;
    const double came = within(w);
    const double allowed = whole * (w + terms_.slack + terms_.burst + terms_.connect) + 1;
    largest_ = std::max(largest_, came / allowed);
    if (came <= allowed) continue;
    char text[200];
    std::snprintf(text, sizeof text, "%s: %.0f calls in %.0f s, over %.1f (whole %.2f a second)",
                  name.c_str(), came, w, allowed, whole);
    verdict_.broke(now, relay, text);
  }
  const double whole = budget.wholes.back().second;
  if (whole <= 0) return;
  const double most = std::max(1.0, whole * terms_.burst);
  budget.tokens = budget.tokens < 0 ? most : std::min(most, budget.tokens + (now - budget.filled) * whole);
  budget.filled = now;
  if (budget.tokens >= 1) {
    budget.tokens -= 1;
  } else {
    ++over_;
  }
  const bool steady = all_since_ >= 0 && now - all_since_ >= terms_.steady;
  if (steady && relay >= 0 && within(kScarceWindow) >= kScarceShare * whole * kScarceWindow) {
    shares_.at(static_cast<size_t>(relay)) += 1;
  }
}

}  // namespace umberhoist::lab
