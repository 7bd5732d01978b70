// The routes that one message may take, as its customer's rules stood when it arrived, and this relay's
// shares of the capacities that the fleet divides among its relays.
#pragma once

#include <cstddef>
#include <vector>

namespace firspool {

struct RouteRule {
  bool allowed = true;
  int rank = 0;       // routes of a lower rank are preferred as long as one of them is usable
  int limit_id = -1;  // rate limit (ShareGranted::id) that each attempt on this route pays for; -1: none
  bool operator==(const RouteRule&) const = default;
};

// The rule of each zone and kind of endpoint. Entries beyond the list are not allowed: the rules that the
// message arrived under did not know that zone or kind. Immutable and shared by all messages to which the
// same rules apply.
struct RouteTable {
  int kinds = 1;
  std::vector<RouteRule> rules;  // indexed by zone * kinds + kind

  RouteRule rule_for(int zone, int kind) const {
    const auto index = static_cast<size_t>(zone) * static_cast<size_t>(kinds) + static_cast<size_t>(kind);
    return zone < 0 || kind < 0 || kind >= kinds || index >= rules.size() ? RouteRule{false, 0, -1}
                                                                          : rules[index];
  }
  bool operator==(const RouteTable&) const = default;
};

// This relay's share of a capacity that the fleet divides, valid from now on. It replaces the default, which
// is an even share (total / relays). The share is a hard limit: each attempt takes a token from a bucket of
// max(1, per_s * burst_s) tokens that starts empty, and nothing is sent without a token. Messages batched
// into one call pay a token each. A destination's share covers all its endpoints together. A rate limit
// admits nothing until a share of it is granted. The shares of tenants are dropped when a settings change
// shifts the tenants' indices.
struct ShareGranted {
  enum class Scope { kDestination, kTenant, kLimit };
  Scope scope = Scope::kDestination;
  int id = 0;  // the destination; the tenant's index in the settings; or RouteRule::limit_id
  double per_s =
      -1;  // calls (for a tenant: messages) a second; 0: none for now; below 0: no share is granted
  double burst_s = 1;  // unused tokens accumulate for at most this many seconds
};

}  // namespace firspool
