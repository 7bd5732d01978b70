// By what ways one message may travel, as its customer's rules had it when it came; and what a fleet grants.
#pragma once

#include <cstddef>
#include <vector>

namespace firspool {

struct Way {
  bool allowed = true;
  int rank = 0;    // ways of a lower rank first, as long as one of them can be taken
  int limit = -1;  // number of a limit on calls that each attempt by this way pays, as in Granted; -1: none
  bool operator==(const Way&) const = default;
};

// For each zone and kind of endpoint. What lies beyond the list is not allowed: it was not known to the rules
// that the message came under. Shared by all messages of one verdict; never changed.
struct Ways {
  int kinds = 1;
  std::vector<Way> by;  // zone * kinds + kind

  Way of(int zone, int kind) const {
    const auto at = static_cast<size_t>(zone) * static_cast<size_t>(kinds) + static_cast<size_t>(kind);
    return zone < 0 || kind < 0 || kind >= kinds || at >= by.size() ? Way{false, 0, -1} : by[at];
  }
  bool operator==(const Ways&) const = default;
};

// This relay's part of a whole that the fleet shares, from now on; it takes the place of the guess whole / n.
// A part is hard: attempts pay for it out of a bucket of max(1, per_s * burst_s) calls that begins empty, and
// none goes out beyond it; each message of a shared call pays. A destination's part is of all its routes
// together. A limit sends nothing until it is granted. Tenants' parts are forgotten where their indices
// shift.
struct Granted {
  enum class Of { kDestination, kTenant, kLimit };
  Of of = Of::kDestination;
  int number = 0;     // of the destination; index of the tenant in the settings; number of the limit in a Way
  double per_s = -1;  // calls (tenants: messages) a second; 0: none for now; below 0: no part, as without
  double burst_s = 1;  // of that rate may be saved up
};

}  // namespace firspool
