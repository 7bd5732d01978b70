// Number of relays among which each relay divides limits, quotas and rates equally.
//
// An increase in the membership view is followed at once. A decrease is followed in steps of one per
// `decrease_interval`, and only while the view has shown fewer relays for that long and still shows a
// majority of the configured ones alive. So at most one side of a network partition lowers its count; a
// minority keeps its own.
//
// Bound: with n relays configured and m in the majority's view, the shares of the majority sum to at most the
// total. The n - m others, as long as they keep running with their old count of at most n, use at most
// (n - m) / n of the total, which is under one half. If they stop within `decrease_interval` (fencing), the
// sum never exceeds the total, since the majority waits that long before its first decrease. A wrong decrease
// (the relay was only unreachable) exceeds the total by 1/n until the relay is seen again.
#pragma once

#include "state_machine.h"

namespace umberhoist::fleet {

class RelayCount {
 public:
  // Requires configured >= 1 and decrease_interval > 0.
  RelayCount(int configured, Time decrease_interval)
      : configured_(configured), decrease_interval_(decrease_interval), value_(configured) {}

  // `alive`: relays that the view shows alive, including this one. Returns true if value() has changed.
  bool update(Time now, int alive);
  // Resets the count to a new number of configured relays.
  void set_configured(int configured);
  int value() const { return value_; }

 private:
  int configured_;
  Time decrease_interval_;
  int value_;
  Time fewer_since_ = kNever;  // since when a majority that is smaller than value_ has been seen
};

}  // namespace umberhoist::fleet
