#include "budget_holder.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace umberhoist::fleet {
namespace {

constexpr double kMinDemand = 0.02;       // calls a second; less is reported as none
constexpr double kReportThreshold = 0.2;  // relative change

}  // namespace

void BudgetHolder::configure(double floor_share, uint64_t relays) {
  settings_.floor_share = floor_share;
  settings_.relays = std::max<uint64_t>(1, relays);
  changed_ = true;
}

void BudgetHolder::set_capacity(const std::string& name, double per_s, bool report_capacity) {
  const double capacity = round_rate_down(per_s);
  const auto known = entries_.find(name);
  if (known == entries_.end() && capacity <= 0) return;
  Entry& e = known == entries_.end() ? entries_[name] : known->second;
  if (e.capacity == capacity && e.report_capacity == report_capacity) return;
  e.hash = budget_hash(name);
  e.capacity = capacity;
  e.report_capacity = report_capacity;
  changed_ = true;
}

void BudgetHolder::record_demand(const std::string& name, double calls) {
  if (const auto e = entries_.find(name); e != entries_.end()) e->second.requested_calls += calls;
}

void BudgetHolder::set_waiting(const std::map<std::string, double>& calls) {
  for (auto& [name, e] : entries_) {
    const auto known = calls.find(name);
    e.waiting_calls = known == calls.end() ? 0 : known->second;
  }
}

void BudgetHolder::begin_incarnation(uint64_t incarnation) {
  settings_.incarnation = incarnation;
  acked_leader_term_ = acked_version_ = table_leader_term_ = table_version_ = 0;
  lease_end_ = 0;
  table_.clear();
  changed_ = true;
}

// ---- Demand ----

void BudgetHolder::update_request_rates(Time now) {
  const Time since = rates_updated_at_ < 0 ? settings_.period : now - rates_updated_at_;
  if (since < settings_.period / 4) return;
  rates_updated_at_ = now;
  const auto seconds = static_cast<double>(since) / kSecond;
  const auto decay = 3 * static_cast<double>(since) / static_cast<double>(settings_.lease_duration);
  const auto rise = static_cast<double>(since) / static_cast<double>(settings_.period);
  for (auto& [name, e] : entries_) {
    const double requested = std::exchange(e.requested_calls, 0) / seconds;
    e.request_rate +=
        (requested - e.request_rate) * (1 - std::exp(requested > e.request_rate ? -rise : -decay));
  }
}

DemandReport BudgetHolder::demand_report(Time now) {
  update_request_rates(now);
  const double lease_s = static_cast<double>(settings_.lease_duration) / kSecond;
  size_t known = 0;
  std::vector<const Entry*> unacked;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& e = it->second;
    const double wanted = std::min(e.request_rate + e.waiting_calls / lease_s, e.capacity);
    Demand update{e.hash, 0, 0};
    if (wanted >= kMinDemand && ++known <= kMaxBudgets) {
      update.per_s = round_rate_down(wanted);
      update.capacity = e.report_capacity ? e.capacity : 0;
    }
    const double larger = std::max(update.per_s, e.reported.per_s);
    const bool differs = (update.per_s > 0) != (e.reported.per_s > 0) ||
                         update.capacity != e.reported.capacity ||
                         std::abs(update.per_s - e.reported.per_s) > kReportThreshold * larger;
    if (differs) {
      e.reported = update;
      e.version = ++version_;
    }
    if (e.reported.per_s <= 0 && e.version <= acked_version_) {
      e.version = 0;  // the leader has acknowledged that there is no demand
      if (e.capacity <= 0 && e.published < 0) {
        it = entries_.erase(it);
        continue;
      }
    }
    if (e.version > acked_version_) unacked.push_back(&e);
    ++it;
  }
  std::ranges::sort(unacked, {}, &Entry::version);
  if (unacked.size() > kMaxBudgetsPerMessage) unacked.resize(kMaxBudgetsPerMessage);
  DemandReport out{settings_.incarnation, settings_.floor_share, settings_.relays, table_leader_term_,
                   table_version_,        acked_version_,        acked_version_,   {}};
  for (const Entry* e : unacked) out.updates.push_back(e->reported);
  if (!unacked.empty()) out.version = unacked.back()->version;
  return out;
}

// ---- Allowed rate ----

bool BudgetHolder::apply_table(Time now, uint64_t leader_term, const ShareTable& table, Time lease_end) {
  if (leader_term < std::max(acked_leader_term_, table_leader_term_)) return false;
  // May go back, if the leader started over or an old answer arrives late: those updates are sent again.
  acked_version_ = table.acked_demand_version;
  acked_leader_term_ = leader_term;
  if (table.version == 0) return false;
  const uint64_t held_version = leader_term == table_leader_term_ ? table_version_ : 0;
  if (held_version == table.version) {
    // A longer lease of the same table. It counts even if the lease had ended here, because the leader still
    // reserves the shares.
    if (lease_end > lease_end_ && now >= lease_end_) changed_ = true;
    lease_end_ = std::max(lease_end_, lease_end);
    return false;
  }
  if (table.base_version != held_version || table.version < held_version) return false;
  if (leader_term != table_leader_term_ || table.full) table_.clear();
  bool lowered = false;
  for (const Share& share : table.shares) {
    const auto known = table_.find(share.budget);
    if (known != table_.end()) {
      lowered = lowered || share.per_s < known->second.per_s;
      known->second = share;
    } else if (table_.size() < kMaxBudgets) {
      table_.emplace(share.budget, share);
    }
  }
  std::erase_if(table_,
                [](const auto& entry) { return entry.second.per_s <= 0 && entry.second.capacity <= 0; });
  table_leader_term_ = leader_term;
  table_version_ = table.version;
  lease_end_ = lease_end;
  changed_ = true;
  ++tables_applied_;
  return lowered;
}

double BudgetHolder::floor_of(const Entry& e) const {
  const auto known = table_.find(e.hash);
  const double in_force =
      known == table_.end() || known->second.capacity <= 0 ? e.capacity : known->second.capacity;
  return floor_rate(settings_.floor_share, settings_.relays, std::min(e.capacity, in_force),
                    settings_.lease_duration);
}

double BudgetHolder::allowed_rate_of(Time now, const Entry& e) const {
  const auto known = table_.find(e.hash);
  return floor_of(e) + (now < lease_end_ && known != table_.end() ? known->second.per_s : 0);
}

double BudgetHolder::allowed_rate(Time now, const std::string& name) const {
  const auto e = entries_.find(name);
  return e == entries_.end() || e->second.capacity <= 0 ? 0 : allowed_rate_of(now, e->second);
}

std::vector<BudgetHolder::Change> BudgetHolder::changes(Time now) {
  std::vector<Change> out;
  const bool lease_ended = published_at_ < lease_end_ && now >= lease_end_;
  if (!changed_ && !lease_ended) return out;
  published_at_ = now;
  changed_ = false;
  for (auto& [name, e] : entries_) {
    const double per_s = e.capacity > 0 ? allowed_rate_of(now, e) : -1;
    if (per_s != e.published) out.push_back({name, e.published = per_s});
  }
  return out;
}

Time BudgetHolder::next_change_at() const { return published_at_ < lease_end_ ? lease_end_ : kNever; }

std::map<std::string, BudgetHolder::Status> BudgetHolder::status(Time now) const {
  std::map<std::string, Status> out;
  for (const auto& [name, e] : entries_) {
    if (e.capacity <= 0) continue;
    const double floor = floor_of(e);
    out[name] = {e.capacity, floor, allowed_rate_of(now, e) - floor, e.reported.per_s};
  }
  return out;
}

uint64_t BudgetHolder::fingerprint(Time now) const {
  uint64_t out = settings_.incarnation;
  const auto mix = [&](auto v) { out = XXH64(&v, sizeof v, out); };
  for (const uint64_t v : {version_, acked_leader_term_, acked_version_, table_leader_term_, table_version_})
    mix(v);
  mix(lease_end_ <= now ? 0 : (lease_end_ - now) / kMs);
  for (const auto& [name, e] : entries_) {
    mix(e.capacity);
    mix(e.reported.per_s);
    mix(e.version);
    mix(allowed_rate_of(now, e));
  }
  return out;
}

}  // namespace umberhoist::fleet
