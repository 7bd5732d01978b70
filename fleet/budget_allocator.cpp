#include "budget_allocator.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::fleet {

BudgetAllocator::BudgetAllocator(Settings settings) : settings_(std::move(settings)) {}

void BudgetAllocator::begin_term(uint64_t leader_term, Time prior_leases_end) {
  leader_term_ = leader_term;
  prior_leases_end_ = prior_leases_end;
  swept_at_ = -1;
  relays_.clear();
  budgets_.clear();
}

void BudgetAllocator::configure(std::vector<std::string> relay_names, double floor_share) {
  settings_.relay_names = std::move(relay_names);
  settings_.floor_share = floor_share;
  for (auto& [hash, b] : budgets_) b.stale = true;
}

void BudgetAllocator::set_policy_capacities(std::unordered_map<uint64_t, double> capacities) {
  policy_capacities_ = std::move(capacities);
  for (auto& [hash, capacity] : policy_capacities_) capacity = round_rate_down(capacity);
  for (auto& [hash, b] : budgets_) b.stale = true;
}

// ---- Incarnations ----

void BudgetAllocator::mark_stale(const Incarnation& holder) {
  for (const auto& [budget, a] : holder.allocations) budgets_.at(budget).stale = true;
}

BudgetAllocator::Allocation* BudgetAllocator::allocation(Incarnation& holder, uint64_t budget) {
  if (const auto known = holder.allocations.find(budget); known != holder.allocations.end())
    return &known->second;
  if (!budgets_.contains(budget) && budgets_.size() >= kMaxBudgets) return nullptr;
  Budget& b = budgets_[budget];
  ++b.allocation_count;
  b.stale = true;
  return &holder.allocations[budget];
}

// Drops allocations of budgets that the incarnation neither asks for nor holds a share of.
void BudgetAllocator::drop_idle(Incarnation& holder) {
  std::erase_if(holder.allocations, [&](const auto& entry) {
    const auto& [budget, a] = entry;
    if (a.demand > 0 || a.reported_capacity > 0 || a.max_held > 0 || a.confirmed > 0) return false;
    const auto b = budgets_.find(budget);
    b->second.stale = true;
    if (--b->second.allocation_count == 0) budgets_.erase(b);
    return true;
  });
}

// The last lease of the incarnation has certainly expired, so it holds no share any more.
void BudgetAllocator::expire_shares(Incarnation& holder) {
  for (auto& [budget, a] : holder.allocations) {
    if (a.max_held > 0) ++counts_.shares_expired;
    a.confirmed = a.latest = a.max_held = 0;
    a.confirmed_capacity = a.latest_capacity = a.max_held_capacity = 0;
    if (a.slice_end != 0) a.last_slice_end = std::exchange(a.slice_end, 0);
    budgets_.at(budget).stale = true;
  }
  holder.unconfirmed.clear();
  holder.expires_at = -1;
  holder.send_full = holder.latest_version > 0;
}

void BudgetAllocator::sweep(Time now) {
  if (swept_at_ >= 0 && now - swept_at_ < settings_.period / 8) return;
  swept_at_ = now;
  for (auto& [name, incarnations] : relays_) {
    const bool configured = std::ranges::find(settings_.relay_names, name) != settings_.relay_names.end();
    for (size_t i = 0; i < incarnations.size();) {
      Incarnation& holder = incarnations[i];
      if (holder.alive && now - holder.last_received > 5 * settings_.period / 2) {
        holder.alive = false;
        mark_stale(holder);
      }
      if (holder.expires_at >= 0 && now > holder.expires_at) expire_shares(holder);
      if (holder.alive || holder.expires_at >= 0 || (configured && i + 1 == incarnations.size())) {
        ++i;
        continue;
      }
      for (auto& [budget, a] : holder.allocations) a = {};
      drop_idle(holder);
      incarnations.erase(incarnations.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  std::erase_if(relays_, [](const auto& entry) { return entry.second.empty(); });
}

BudgetAllocator::Incarnation* BudgetAllocator::incarnation_of(Time now, const Renewal& renewal,
                                                              const DemandReport& report) {
  std::vector<Incarnation>& incarnations = relays_[renewal.relay];
  const auto known = std::ranges::find(incarnations, report.incarnation, &Incarnation::id);
  if (known == incarnations.end()) {
    if (incarnations.size() >= kMaxIncarnations) return nullptr;
    for (Incarnation& previous : incarnations) {
      previous.alive = false;
      mark_stale(previous);
    }
    incarnations.emplace_back().id = report.incarnation;
  } else if (known + 1 != incarnations.end()) {
    // A newer incarnation has followed, and this one's shares run out with its lease. Unless the newer one
    // has fallen silent: then it was a delayed report of an ended incarnation, which looks like that of a new
    // one.
    Incarnation& latest = incarnations.back();
    if (now - latest.last_received <= 5 * settings_.period / 2) return nullptr;
    latest.alive = false;
    mark_stale(latest);
    std::rotate(known, known + 1, incarnations.end());
  }
  Incarnation& holder = incarnations.back();
  const double floor = report.floor_share / static_cast<double>(report.relays);
  if (holder.floor_share != floor) {
    holder.floor_share = floor;
    for (auto& [hash, b] : budgets_) b.stale = true;
  }
  // A relay that receives nothing cannot use its shares; while it counted as alive no other could get them.
  const bool receives_nothing =
      holder.latest_version > 0 && now - renewal.acked_send_time > settings_.lease_duration;
  if (std::exchange(holder.alive, !receives_nothing) == receives_nothing) mark_stale(holder);
  holder.last_received = now;
  return &holder;
}

void BudgetAllocator::apply_demand(Incarnation& holder, const DemandReport& report) {
  if (report.base_version > holder.demand_version || report.version <= holder.demand_version)
    return;  // an update is missing, or nothing is new
  holder.demand_version = report.version;
  for (const Demand& update : report.updates) {
    Allocation* a = allocation(holder, update.budget);
    if (a == nullptr) continue;
    a->demand = update.per_s;
    a->reported_capacity = update.capacity;
    budgets_.at(update.budget).stale = true;
  }
}

// Handles the confirmation of a table: all other tables made from the one confirmed before are void.
void BudgetAllocator::confirm_table(Incarnation& holder, const DemandReport& report) {
  if (report.table_leader_term != leader_term_ || report.table_version <= holder.confirmed_version) return;
  const auto issued = std::ranges::find(holder.unconfirmed, report.table_version, &IssuedTable::version);
  if (issued == holder.unconfirmed.end()) {
    // Its lease has expired here already, and its shares with it.
    expire_shares(holder);
    holder.send_full = true;
  } else {
    for (const Share& share : issued->shares) {
      if (const auto a = holder.allocations.find(share.budget); a != holder.allocations.end()) {
        a->second.confirmed = share.per_s;
        a->second.confirmed_capacity = share.capacity;
      }
    }
    for (auto& [budget, a] : holder.allocations) {
      Budget& b = budgets_.at(budget);
      b.outstanding -= a.max_held - a.confirmed;
      if (a.max_held_capacity != a.confirmed_capacity) b.stale = true;
      a.max_held = a.latest = a.confirmed;
      a.max_held_capacity = a.latest_capacity = a.confirmed_capacity;
    }
    holder.send_full = false;
  }
  holder.confirmed_version = report.table_version;
  holder.latest_version = std::max(holder.latest_version, report.table_version);
  holder.unconfirmed.clear();
}

// ---- Answers ----

std::optional<ShareTable> BudgetAllocator::answer(Time now, const Renewal& renewal,
                                                  const DemandReport& report) {
  sweep(now);
  Incarnation* holder = incarnation_of(now, renewal, report);
  if (holder != nullptr) {
    confirm_table(*holder, report);
    apply_demand(*holder, report);
    if (now <= prior_leases_end_ && settings_.injected_fault != InjectedFault::kIgnorePriorLeases) {
      return ShareTable{
          holder->confirmed_version, holder->confirmed_version, false, holder->demand_version, {}};
    }
  }
  std::optional<ShareTable> out;
  if (holder != nullptr && holder->alive) out = issue_table(now, *holder);
  if (!out) {
    ++counts_.answers_withheld;
    return out;
  }
  holder->expires_at = std::max(holder->expires_at, renewal.expires_at);
  drop_idle(*holder);
  return out;
}

std::optional<ShareTable> BudgetAllocator::issue_table(Time now, Incarnation& holder) {
  std::vector<Share> changed;
  for (auto& [budget, a] : holder.allocations) {
    const Budget& b = up_to_date(now, budget);
    const Share share{budget, next_share(b, a), b.capacity};
    if (share.per_s != a.confirmed || share.capacity != a.confirmed_capacity) changed.push_back(share);
  }
  if (changed.size() > kMaxBudgetsPerMessage) {  // lowered shares go first
    const auto raised = [&](const Share& s) { return s.per_s > holder.allocations.at(s.budget).latest; };
    std::ranges::partition(changed, [&](const Share& s) { return !raised(s); });
    changed.resize(kMaxBudgetsPerMessage);
  }
  std::ranges::sort(changed, {}, &Share::budget);
  const bool unchanged = holder.unconfirmed.empty() ? changed.empty() && !holder.send_full
                                                    : holder.unconfirmed.back().shares == changed;
  const uint64_t version = !unchanged                   ? holder.latest_version + 1
                           : holder.unconfirmed.empty() ? holder.confirmed_version
                                                        : holder.unconfirmed.back().version;
  if (!unchanged) {
    if (holder.unconfirmed.size() >= kMaxUnconfirmedTables) return {};
    holder.latest_version = version;
    holder.unconfirmed.push_back({version, changed});
    for (auto& [budget, a] : holder.allocations) {
      a.latest = a.confirmed;
      a.latest_capacity = a.confirmed_capacity;
    }
    for (const Share& share : changed) {
      Allocation& a = holder.allocations.at(share.budget);
      Budget& b = budgets_.at(share.budget);
      if (share.per_s < a.max_held) ++counts_.shares_lowered;
      a.latest = share.per_s;
      a.latest_capacity = share.capacity;
      b.outstanding += std::max(a.max_held, a.latest) - a.max_held;
      a.max_held = std::max(a.max_held, a.latest);
      a.max_held_capacity = std::max(a.max_held_capacity, a.latest_capacity);
    }
  }
  for (auto& [budget, a] : holder.allocations) begin_time_slice(now, budget, a);
  return ShareTable{holder.confirmed_version, version, holder.send_full, holder.demand_version,
                    std::move(changed)};
}

// A slice lasts for all the calls that begin within kTimeSliceLeases. Handing over to the next relay leaves
// the budget unused for about a renewal period, which is short compared with a slice.
void BudgetAllocator::begin_time_slice(Time now, uint64_t budget, Allocation& a) {
  if (a.slice_end != kNever || a.latest <= 0) return;
  const double calls = std::ceil(kTimeSliceLeases * a.latest / min_rate() - 1e-6);
  a.slice_end = now + static_cast<Time>(calls / a.latest * kSecond);
  Budget& b = budgets_.at(budget);
  b.stale_at = std::min(b.stale_at, a.slice_end);
}

}  // namespace umberhoist::fleet
