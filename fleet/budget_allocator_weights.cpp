// Computes the shares of one budget.
#include <algorithm>
#include <cmath>
#include <limits>

#include "budget_allocator.h"
#include "fair_share.h"

namespace umberhoist::fleet {

double BudgetAllocator::min_rate() const {
  return static_cast<double>(kSecond) / static_cast<double>(settings_.lease_duration);
}

// The rate that one relay may use without a lease, by the highest capacity that it may know.
double BudgetAllocator::floor_of(const std::vector<Incarnation>& incarnations, uint64_t budget,
                                 double capacity) const {
  double out = 0;
  for (const Incarnation& holder : incarnations) {
    const auto a = holder.allocations.find(budget);
    double known = capacity;
    if (a != holder.allocations.end()) {
      known = std::max(
          known, a->second.max_held_capacity > 0 ? a->second.max_held_capacity : a->second.reported_capacity);
    }
    out = std::max(out, floor_rate(holder.floor_share, 1, known, settings_.lease_duration));
  }
  return out;
}

// A floor below one call per lease duration does not exist, so all floors appear at once when a rising
// capacity reaches that limit. Just below the limit enough is kept back for the floors to fit beside the
// outstanding shares, whichever relay learns of the new capacity first.
double BudgetAllocator::floor_reserve(double capacity) const {
  const double min_capacity =
      min_rate() * static_cast<double>(settings_.relay_names.size()) / settings_.floor_share;
  return capacity < min_capacity ? std::max(0.0, capacity - (1 - settings_.floor_share) * min_capacity) : 0;
}

BudgetAllocator::Budget& BudgetAllocator::up_to_date(Time now, uint64_t budget) {
  Budget& b = budgets_.at(budget);
  if (b.stale || now >= b.stale_at) compute_shares(now, budget, b);
  return b;
}

void BudgetAllocator::compute_shares(Time now, uint64_t budget, Budget& b) {
  constexpr double kNone = std::numeric_limits<double>::infinity();
  const auto from_policy = policy_capacities_.find(budget);
  double capacity = from_policy == policy_capacities_.end() ? kNone : from_policy->second;
  double held_by_absent = 0;  // may be held by incarnations that are not alive
  b.outstanding = 0;
  std::vector<Claimant> claimants;
  for (auto& [name, incarnations] : relays_) {
    for (Incarnation& holder : incarnations) {
      const auto found = holder.allocations.find(budget);
      if (found == holder.allocations.end()) continue;
      Allocation& a = found->second;
      b.outstanding += a.max_held;
      if ((holder.alive || now <= holder.expires_at) && a.reported_capacity > 0)
        capacity = std::min(capacity, a.reported_capacity);
      if (!holder.alive) held_by_absent += a.max_held;
      a.fair_share = a.need = 0;
      if (holder.alive && a.demand > 0) {
        claimants.push_back({&name, &a});
      } else if (a.slice_end != 0) {
        a.last_slice_end = now;
        a.slice_end = 0;
      }
    }
  }
  b.capacity = capacity == kNone ? 0 : capacity;
  b.floors = 0;
  b.stale = false;
  b.starving = b.time_sliced = false;
  b.stale_at = kNever;
  std::map<const std::string*, double> floors;
  for (const std::string& name : settings_.relay_names) {
    const auto known = relays_.find(name);
    const double floor = known == relays_.end()
                             ? floor_rate(settings_.floor_share, settings_.relay_names.size(), b.capacity,
                                          settings_.lease_duration)
                             : floor_of(known->second, budget, b.capacity);
    b.floors += floor;
    if (known != relays_.end()) floors[&known->first] = floor;
  }
  b.floors = std::max(b.floors, floor_reserve(b.capacity));
  if (settings_.injected_fault == InjectedFault::kIgnoreFloors) b.floors = 0;
  const double pool = std::max(0.0, b.capacity - b.floors - held_by_absent);
  if (claimants.empty() || pool <= 0) return;
  if (claimants.size() > 1 && pool < min_rate() * static_cast<double>(claimants.size()))
    return assign_time_slices(now, b, pool, claimants);
  std::vector<double> needs;
  for (const Claimant& claimant : claimants) {
    const double floor = floors[claimant.relay];
    claimant.allocation->slice_end = 0;
    needs.push_back(
        std::max({0.0, std::min(claimant.allocation->demand, b.capacity) - floor, min_rate() - floor}));
  }
  const std::vector<double> shares = max_min_fair(pool, needs);
  for (size_t i = 0; i < claimants.size(); ++i) {
    Allocation& a = *claimants[i].allocation;
    a.need = std::min(needs[i], shares[i]);
    a.fair_share = shares[i];
    b.starving = b.starving || a.latest < 0.93 * a.need;
  }
  if (b.starving) b.stale_at = now + settings_.period;  // check again whether it still is
}

void BudgetAllocator::assign_time_slices(Time now, Budget& b, double pool,
                                         std::vector<Claimant>& claimants) const {
  b.time_sliced = true;
  for (const Claimant& claimant : claimants) {
    if (claimant.allocation->slice_end != 0 && claimant.allocation->slice_end <= now) {
      claimant.allocation->last_slice_end = now;
      claimant.allocation->slice_end = 0;
    }
  }
  // Relays that hold a slice come first, then those whose last slice ended longest ago.
  std::ranges::sort(claimants, [](const Claimant& left, const Claimant& right) {
    const bool left_has = left.allocation->slice_end != 0, right_has = right.allocation->slice_end != 0;
    if (left_has != right_has) return left_has;
    return std::tie(left.allocation->last_slice_end, *left.relay) <
           std::tie(right.allocation->last_slice_end, *right.relay);
  });
  const size_t sharers = max_sharers(pool, min_rate(), claimants.size());
  for (size_t i = 0; i < claimants.size(); ++i) {
    Allocation& a = *claimants[i].allocation;
    if (i >= sharers) {
      if (a.slice_end != 0) a.last_slice_end = std::exchange(a.slice_end, 0);
      continue;
    }
    if (a.slice_end == 0) a.slice_end = kNever;
    a.need = a.fair_share = pool / static_cast<double>(sharers);
    if (a.slice_end != kNever) b.stale_at = std::min(b.stale_at, a.slice_end);
  }
}

// The share for the next table. It is raised at most to what no other incarnation may hold; up to what this
// one may hold already is not a raise.
double BudgetAllocator::next_share(const Budget& b, const Allocation& a) const {
  const double floors = settings_.injected_fault == InjectedFault::kIgnoreFloors ? 0 : b.floors;
  const double others = b.outstanding - a.max_held;
  const double max_share = std::max(a.max_held, (b.capacity - floors - others) * (1 - 1e-9));
  const double target = round_rate_down(std::min(a.fair_share, max_share));
  if (a.fair_share <= 0 || target <= 0) return 0;
  if (target < a.latest) {
    const bool fits = others + a.latest + floors <= b.capacity;
    const bool within_tolerance = a.latest <= 1.05 * a.fair_share;
    return fits && within_tolerance && !b.starving && !b.time_sliced ? a.latest : target;
  }
  if (target < 1.02 * a.latest) return a.latest;
  return a.latest <= 0 && target < 0.9 * std::min(a.fair_share, min_rate()) ? 0 : target;
}

}  // namespace umberhoist::fleet
