// What relays and the voters' leader tell each other of budgets: Demands ride on a renewal of the lease,
// Parts on the grant that answers it. CBOR by the library; rates are calls a second, told as single floats
// that are rounded down, so that what is counted is what is heard.
//
// Both are told by difference. Demands: each word on a budget has a number, which only grows in one life of a
// holder; a message holds the words after `base`, and its `number` is that of the last in it. Base 0 begins
// anew: what is not told again is gone. Parts: a relay's parts are a table with a number, which only grows in
// one reign; a message makes table `number` out of table `base`, which the relay has shown that it holds.
//
// Bounds: at most kMostWords budgets in a message, kMostBytes bytes. What does not read throws Bad.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "decoding.h"
#include "state_machine.h"

namespace umberhoist::fleet {

constexpr size_t kMostWords = 3000;
constexpr size_t kMostBytes = 64 * 1024;
constexpr size_t kMostBudgets = 4096;  // that a relay or leader knows
constexpr double kMostRate = 1e9;      // calls a second

uint64_t budget_hash(std::string_view name);
double rate_down(double per_s);  // the nearest rate that can be told and is not above it; at least 0

// The part of `whole` that each of `names` relays has without talk: none where it is under a call a term.
inline double floor_rate(double share, uint64_t names, double whole, Time term) {
  const double rate = share / static_cast<double>(names) * whole;
  return rate * static_cast<double>(term) < static_cast<double>(kSecond) ? 0 : rate;
}

struct Demand {
  uint64_t budget = 0;
  double whole = 0;  // as this relay knows it; 0: the fleet's policy says it
  double per_s = 0;  // wanted
  bool operator==(const Demand&) const = default;
};

struct Demands {
  uint64_t life = 0;        // of the holder
  double floor = 0;         // share of each whole that is divided evenly
  uint64_t names = 1;       // among so many
  uint64_t took_reign = 0;  // the table held: of this reign,
  uint64_t took = 0;        // with this number
  uint64_t base = 0;
  uint64_t number = 0;
  std::vector<Demand> words;  // at most kMostWords

  std::string packed() const;
  static Demands of(std::string_view bytes);
};

struct Part {
  uint64_t budget = 0;
  double per_s = 0;
  double whole = 0;  // in force
  bool operator==(const Part&) const = default;
};

struct Parts {
  uint64_t base = 0;
  uint64_t number = 0;
  bool fresh = false;     // nothing of table `base` is kept
  uint64_t heard = 0;     // the last of the relay's words that the leader has
  std::vector<Part> all;  // that differ; at most kMostWords

  std::string packed() const;
  static Parts of(std::string_view bytes);
};

}  // namespace umberhoist::fleet
