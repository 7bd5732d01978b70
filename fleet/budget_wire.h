// Budget messages between a relay and the voters' leader: a DemandReport is piggybacked on a lease renewal, a
// ShareTable on the grant that answers it. CBOR; rates are calls a second, rounded down to single floats so
// that the sender accounts for exactly the rate that the receiver decodes.
//
// Both are sent as deltas. DemandReport: each update of a budget has a version, which only grows within one
// incarnation of a holder; a message holds the updates after `base_version`, and `version` is that of its
// last one. Base 0 is a full report of all budgets with demand. ShareTable: versions only grow within one
// leader term; a message turns table `base_version`, which the relay has confirmed, into table `version`.
//
// Limits: kMaxBudgetsPerMessage budgets and kMaxBudgetMessageBytes bytes a message. Decoding throws
// DecodeError if a message is malformed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "decoding.h"
#include "state_machine.h"

namespace umberhoist::fleet {

constexpr size_t kMaxBudgetsPerMessage = 3000;
constexpr size_t kMaxBudgetMessageBytes = 64 * 1024;
constexpr size_t kMaxBudgets = 4096;        // known to a relay or a leader
constexpr double kMaxCallsPerSecond = 1e9;  // a larger rate is malformed

uint64_t budget_hash(std::string_view name);
double round_rate_down(double per_s);  // to a single float, at least 0 and at most kMaxCallsPerSecond

// The rate of a budget of `capacity` that each of `relays` may use without a lease. None below one call per
// lease duration.
inline double floor_rate(double floor_share, uint64_t relays, double capacity, Time lease_duration) {
  const double rate = floor_share / static_cast<double>(relays) * capacity;
  return rate * static_cast<double>(lease_duration) < static_cast<double>(kSecond) ? 0 : rate;
}

struct Demand {
  uint64_t budget = 0;  // budget_hash of its name
  double capacity = 0;  // as this relay knows it; 0: set by the fleet's policy
  double per_s = 0;     // wanted
  bool operator==(const Demand&) const = default;
};

struct DemandReport {
  uint64_t incarnation = 0;        // of the holder
  double floor_share = 0;          // share of each capacity that is divided evenly
  uint64_t relays = 1;             // that it is divided among
  uint64_t table_leader_term = 0;  // of the table that the relay holds
  uint64_t table_version = 0;      // of that table
  uint64_t base_version = 0;
  uint64_t version = 0;
  std::vector<Demand> updates;  // at most kMaxBudgetsPerMessage

  std::string encode() const;
  static DemandReport decode(std::string_view bytes);
};

struct Share {
  uint64_t budget = 0;  // budget_hash of its name
  double per_s = 0;
  double capacity = 0;  // in force
  bool operator==(const Share&) const = default;
};

struct ShareTable {
  uint64_t base_version = 0;
  uint64_t version = 0;
  bool full = false;                  // replaces table `base_version` instead of changing it
  uint64_t acked_demand_version = 0;  // of the relay's last update that the leader has received
  std::vector<Share> shares;          // that differ from the base; at most kMaxBudgetsPerMessage

  std::string encode() const;
  static ShareTable decode(std::string_view bytes);
};

}  // namespace umberhoist::fleet
