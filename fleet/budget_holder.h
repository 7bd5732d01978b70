// A relay's part of the fleet's budgets: what it may spend of each now, and what it tells of its demand.
//
// What it may spend: its floor at all times, and the part in the table that it took last until the lease that
// came with it is over by this relay's clock. A table is taken only where it is made out of the one held
// here, in the same reign or a later one; so an older one never takes the place of a newer. The whole that
// its floor goes by is the lower of its own and the one that the leader told last.
//
// Demand: calls that were asked for a second, followed upwards within a period or two and forgotten within
// one or two terms, and what waits, over a term; at most the whole. Told where it differs by a fifth from
// what was told.
//
// Bounds: kMostBudgets budgets and parts; beyond, a budget has its floor and is not told.
#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "budget_wire.h"

namespace umberhoist::fleet {

class BudgetHolder {
 public:
  struct Settings {
    double floor = 0.2;
    uint64_t names = 1;  // that the floors are divided among
    Time period = 500 * kMs;
    Time term = 3000 * kMs;
    uint64_t life = 1;  // never another's; above 0
  };
  struct Change {  // this may be spent from now on
    std::string name;
    double per_s = 0;  // below 0: the budget is known no more
  };
  struct Standing {  // of one budget, for people
    double whole = 0, floor = 0, part = 0, demand = 0;
  };

  explicit BudgetHolder(Settings settings) : settings_(settings) {}

  void configure(double floor, uint64_t names);
  // The whole as known here from now on, calls a second; 0: there is no such budget. `told`: other relays may
  // know another (else the fleet's policy says it).
  void whole(const std::string& name, double per_s, bool told);
  void asked(const std::string& name, double calls);         // were wanted, whether or not they could go out
  void waiting(const std::map<std::string, double>& calls);  // wanted and not out, now; of others none
  // Another process of this name may have spent meanwhile: this one begins as a life of its own.
  void begin(uint64_t life);

  Demands tell(Time now);
  // `until`: the end of the lease. Answers whether others wait for what it gave up: renew soon.
  bool took(Time now, uint64_t reign, const Parts& parts, Time until);

  double may(Time now, const std::string& name) const;  // a second; 0 of what is not known
  void say_again() {                                    // all of it, with the next changes()
    for (auto& [name, entry] : entries_) entry.said = -1;
    changed_ = true;
  }
  // All that differ from what was said last, each once.
  std::vector<Change> changes(Time now);
  Time next() const;  // when changes() is due; kNever: nothing ends
  std::map<std::string, Standing> standing(Time now) const;
  uint64_t fingerprint(Time now) const;  // of all that decides what comes next, but for what was asked since
  uint64_t reign() const { return table_reign_; }  // of the leader that gave the table; 0: none
  bool leased(Time now) const { return now < until_; }
  size_t size() const { return entries_.size(); }
  uint64_t taken() const { return taken_; }  // tables

 private:
  struct Entry {
    uint64_t hash = 0;
    double whole = 0;
    bool told = false;
    double asked = 0, waiting = 0, rate = 0;
    Demand word;           // told last
    uint64_t version = 0;  // of that word; 0: none
    double said = -1;
  };

  double floor_of(const Entry& entry) const;
  double may_of(Time now, const Entry& entry) const;
  void weigh(Time now);

  Settings settings_;
  std::map<std::string, Entry> entries_;
  Time weighed_ = -1;
  uint64_t version_ = 0;      // of the newest word
  uint64_t heard_reign_ = 0;  // whose leader
  uint64_t heard_ = 0;        // has heard the words up to this
  std::unordered_map<uint64_t, Part> table_;
  uint64_t table_reign_ = 0;
  uint64_t number_ = 0;
  Time until_ = 0;
  Time said_at_ = -1;  // changes() was asked last
  bool changed_ = false;
  uint64_t taken_ = 0;
};

}  // namespace umberhoist::fleet
