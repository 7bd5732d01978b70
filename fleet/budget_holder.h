// A relay's side of the fleet's budgets: what it may spend of each now, and the demand that it reports.
//
// Allowed rate: its floor at all times, plus its share in the table applied last until the lease that came
// with that table ends by this relay's clock. A table is applied only if its base is the table held here
// (none of a new leader term) and its term is not older, so an older table never replaces a newer one. The
// floor is computed from the lower of the relay's own capacity and the one that the leader sent last.
//
// Demand: the rate of requested calls, which follows a rise within one or two periods and decays within one
// or two lease durations, plus the waiting calls spread over one lease duration; at most the capacity. It is
// reported when it differs by a fifth from the last report.
//
// Limits: kMaxBudgets budgets and shares; any further budget has its floor only and is not reported.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "budget_wire.h"

namespace umberhoist::fleet {

class BudgetHolder {
 public:
  struct Settings {
    double floor_share = 0.2;
    uint64_t relays = 1;      // that the floors are divided among
    Time period = 500 * kMs;  // of lease renewals
    Time lease_duration = 3000 * kMs;
    uint64_t incarnation = 1;  // unique to this run of the process; above 0
  };
  struct Change {  // of an allowed rate
    std::string name;
    double per_s = 0;  // below 0: the budget no longer exists
  };
  struct Status {  // of one budget, in calls a second
    double capacity = 0, floor = 0, share = 0, demand = 0;
  };

  explicit BudgetHolder(Settings settings) : settings_(settings) {}

  void configure(double floor_share, uint64_t relays);
  // Sets the capacity in calls a second; 0 removes the budget. `report_capacity`: other relays may know
  // another capacity, so it is reported to the leader; otherwise the fleet's policy sets it.
  void set_capacity(const std::string& name, double per_s, bool report_capacity);
  void record_demand(const std::string& name, double calls);  // requested calls, sent or not
  // Replaces the counts of calls that wait to be sent, of all budgets; a missing one has 0.
  void set_waiting(const std::map<std::string, double>& calls);
  // Starts over as another incarnation, because another process of this name may have spent meanwhile.
  void begin_incarnation(uint64_t incarnation);

  DemandReport demand_report(Time now);
  // Returns whether a share became smaller, which other relays may wait for: renew soon.
  bool apply_table(Time now, uint64_t leader_term, const ShareTable& table, Time lease_end);

  double allowed_rate(Time now, const std::string& name) const;  // calls a second; 0 if not known
  void republish_all() {                                         // with the next changes()
    for (auto& [name, entry] : entries_) entry.published = -1;
    changed_ = true;
  }
  // The allowed rates that differ from those returned before.
  std::vector<Change> changes(Time now);
  Time next_change_at() const;  // when changes() must be called next; kNever: no lease will end
  std::map<std::string, Status> status(Time now) const;
  // Hash of the state that determines later behaviour, except for demand recorded since the last report.
  uint64_t fingerprint(Time now) const;
  uint64_t leader_term() const { return table_leader_term_; }  // of the table; 0: none
  bool leased(Time now) const { return now < lease_end_; }
  size_t size() const { return entries_.size(); }
  uint64_t tables_applied() const { return tables_applied_; }

 private:
  struct Entry {
    uint64_t hash = 0;
    double capacity = 0;
    bool report_capacity = false;
    double requested_calls = 0, waiting_calls = 0, request_rate = 0;
    Demand reported;        // last sent
    uint64_t version = 0;   // of `reported`; 0: none
    double published = -1;  // rate that changes() returned last; -1: none
  };

  double floor_of(const Entry& entry) const;
  double allowed_rate_of(Time now, const Entry& entry) const;
  void update_request_rates(Time now);

  Settings settings_;
  std::map<std::string, Entry> entries_;
  Time rates_updated_at_ = -1;
  uint64_t version_ = 0;            // of the newest demand update
  uint64_t acked_leader_term_ = 0;  // of the leader that acknowledged
  uint64_t acked_version_ = 0;      // the demand updates up to this one
  std::unordered_map<uint64_t, Share> table_;
  uint64_t table_leader_term_ = 0;
  uint64_t table_version_ = 0;
  Time lease_end_ = 0;
  Time published_at_ = -1;  // last call of changes() that found something to do
  bool changed_ = false;
  uint64_t tables_applied_ = 0;
};

}  // namespace umberhoist::fleet
