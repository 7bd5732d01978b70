// The figures of an allocator, and the fingerprint of its state for the model checker.
#include <xxhash.h>

#include <algorithm>

#include "budget_allocator.h"

namespace umberhoist::fleet {

BudgetAllocator::Counts BudgetAllocator::counts() const {
  Counts out = counts_;
  out.budgets = budgets_.size();
  for (const auto& [name, incarnations] : relays_) {
    for (const Incarnation& holder : incarnations) {
      out.outstanding_shares += static_cast<uint64_t>(std::ranges::count_if(
          holder.allocations, [](const auto& entry) { return entry.second.max_held > 0; }));
    }
  }
  return out;
}

uint64_t BudgetAllocator::fingerprint(Time now) const {
  uint64_t out = 7;
  const auto mix = [&](auto v) { out = XXH64(&v, sizeof v, out); };
  const auto time = [&](Time t) { mix(t <= now || t == kNever ? Time{t == kNever} : 2 + (t - now) / kMs); };
  const auto past = [&](Time t) { mix(t < 0 ? -1 : (now - t) / kMs); };
  mix(leader_term_);
  time(prior_leases_end_);
  for (const auto& [name, incarnations] : relays_) {
    for (const Incarnation& holder : incarnations) {
      mix(holder.id);
      mix(holder.alive);
      mix(holder.send_full);
      past(holder.last_received);
      time(holder.expires_at);
      mix(holder.demand_version);
      mix(holder.confirmed_version);
      for (const IssuedTable& issued : holder.unconfirmed) mix(issued.version);
      for (const auto& [budget, a] : std::map(holder.allocations.begin(), holder.allocations.end())) {
        mix(budget);
        for (const double v : {a.reported_capacity, a.demand, a.confirmed, a.confirmed_capacity, a.latest,
                               a.max_held, a.fair_share})
          mix(v);
      }
    }
  }
  return out;
}

}  // namespace umberhoist::fleet
