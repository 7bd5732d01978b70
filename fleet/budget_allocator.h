// The leader's side of the fleet's budgets: divides the capacity of each budget among the relays that ask for
// a share of it.
//
// Each granted lease renewal is answered with a share table that is valid as long as that lease. A table is a
// delta to the one that the relay has confirmed (reported as held), and a relay applies no other. So once the
// relay confirms table N, all tables made from an earlier one are void.
//
// Outstanding shares of a budget, counted for each incarnation of a relay: the largest share in the table
// that it confirmed and in those made from that since, until the last lease granted to it has certainly
// expired. The floor of each configured relay is reserved in addition, whether or not the relay is alive. An
// incarnation that no longer renews is still counted in this way.
//
// Guarantees, as long as leases behave as fleet/agreement guarantees:
// - B1: outstanding shares and floors sum to at most the capacity. If the capacity was lowered below
//   that sum, the sum does not grow and no share is raised until it fits again.
// - B2: shares are max-min fair by the need above the floor, out of what no other incarnation may still hold.
// - B5: once the capacity was lowered, a relay that renews gets a share within it with its next answer, and a
//   relay that does not renew loses its share within a lease duration.
// Nothing is granted in a leader term until the leases of earlier terms have certainly expired.
//
// Hysteresis: a share is lowered if it is 5% above its fair share, if another relay that is alive has 7% less
// than it needs of its own fair share, or if the capacity is exceeded; it is raised by 2% or more.
//
// Time slices: where even shares would be below one call per lease duration, only as many relays as can have
// that rate hold the whole pool, those whose last slice ended longest ago first. A slice lasts
// kTimeSliceLeases, rounded up to a whole number of calls.
//
// Capacity in force: the lowest of the policy's and those reported by relays that renew or still have a
// lease. Not covered: budgets whose capacity nobody knows (no shares), and the floors of relays that are
// configured with another floor share or other relay names, beyond what they report.
//
// Limits: kMaxBudgets budgets; for each relay kMaxIncarnations incarnations with outstanding shares, and
// kMaxUnconfirmedTables unconfirmed tables (no more are issued until one is confirmed or they expire).
// Memory: relays x budgets x about 100 bytes. Cost of an answer: the relay's own budgets; of a change to a
// budget, the relays that ask for it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "budget_wire.h"

namespace umberhoist::fleet {

constexpr size_t kMaxIncarnations = 4;
constexpr size_t kMaxUnconfirmedTables = 8;
constexpr int kTimeSliceLeases = 4;  // lease durations

class BudgetAllocator {
 public:
  // For the model checker, which must find them.
  enum class InjectedFault { kNone, kIgnorePriorLeases, kIgnoreFloors };

  struct Settings {
    Time period = 500 * kMs;  // of lease renewals
    Time lease_duration = 3000 * kMs;
    double floor_share = 0.2;  // of relays that have not reported theirs
    std::vector<std::string> relay_names;
    InjectedFault injected_fault = InjectedFault::kNone;
  };
  struct Renewal {
    std::string relay;
    Time expires_at = 0;       // when the lease granted now has certainly expired
    Time acked_send_time = 0;  // the relay has received what this leader sent then; 0: nothing in this term
  };
  struct Counts {
    uint64_t budgets = 0;
    uint64_t outstanding_shares = 0;
    uint64_t shares_lowered = 0;
    uint64_t shares_expired = 0;    // with their lease, before they were given back
    uint64_t answers_withheld = 0;  // renewals answered without a table
  };

  explicit BudgetAllocator(Settings settings);

  // Starts a leader term. All leases granted by earlier leaders have certainly expired at `prior_leases_end`.
  void begin_term(uint64_t leader_term, Time prior_leases_end);
  void configure(std::vector<std::string> relay_names, double floor_share);
  // Capacities set by the policy, by budget_hash; replaces all earlier ones.
  void set_policy_capacities(std::unordered_map<uint64_t, double> capacities);
  // The answer to a renewal whose lease is granted; none: the relay keeps its table until its lease ends.
  std::optional<ShareTable> answer(Time now, const Renewal& renewal, const DemandReport& report);

  uint64_t leader_term() const { return leader_term_; }
  Counts counts() const;
  uint64_t fingerprint(Time now) const;  // hash of the state that determines later behaviour

 private:
  struct Allocation {  // of one budget to one incarnation
    double reported_capacity = 0, demand = 0;
    double confirmed = 0, confirmed_capacity = 0;  // in the table that it confirmed
    double latest = 0, latest_capacity = 0;        // in the newest table
    double max_held = 0, max_held_capacity = 0;    // the largest in any table that it may hold
    double fair_share = 0, need = 0;
    Time slice_end = 0;        // of its time slice; 0: it has none; kNever: assigned, not yet begun
    Time last_slice_end = -1;  // -1: it never had one
  };
  struct IssuedTable {
    uint64_t version = 0;
    std::vector<Share> shares;
  };
  struct Incarnation {
    uint64_t id = 0;
    bool alive = false;  // renewed recently, and no other incarnation has followed it
    Time last_received = 0;
    Time expires_at = -1;  // its last lease has certainly expired then; -1: it has none
    double floor_share = 0;
    uint64_t demand_version = 0;  // of its last update received
    uint64_t confirmed_version = 0, latest_version = 0;
    bool send_full = false;               // the next table must not build on the confirmed one
    std::deque<IssuedTable> unconfirmed;  // made from the confirmed one, oldest first
    std::unordered_map<uint64_t, Allocation> allocations;
  };
  struct Budget {
    double capacity = 0;          // in force; 0: not known
    double floors = 0;            // of all relays, or the reserve kept for them
    double outstanding = 0;       // sum of the shares that may be held
    size_t allocation_count = 0;  // incarnations with an allocation of it
    bool stale = true;            // its shares must be computed anew
    bool starving = false;        // a relay that is alive has clearly less than it needs
    bool time_sliced = false;
    Time stale_at = kNever;
  };

  Incarnation* incarnation_of(Time now, const Renewal& renewal, const DemandReport& report);
  void apply_demand(Incarnation& holder, const DemandReport& report);
  void confirm_table(Incarnation& holder, const DemandReport& report);
  void sweep(Time now);
  void expire_shares(Incarnation& holder);
  void mark_stale(const Incarnation& holder);
  Allocation* allocation(Incarnation& holder, uint64_t budget);  // null: too many budgets
  void drop_idle(Incarnation& holder);

  Budget& up_to_date(Time now, uint64_t budget);
  void compute_shares(Time now, uint64_t budget, Budget& b);
  struct Claimant {
    const std::string* relay;
    Allocation* allocation;
  };
  void assign_time_slices(Time now, Budget& b, double pool, std::vector<Claimant>& claimants) const;
  double floor_of(const std::vector<Incarnation>& incarnations, uint64_t budget, double capacity) const;
  void begin_time_slice(Time now, uint64_t budget, Allocation& a);
  double min_rate() const;  // calls a second: one call per lease duration
  double floor_reserve(double capacity) const;
  double next_share(const Budget& b, const Allocation& a) const;
  std::optional<ShareTable> issue_table(Time now, Incarnation& holder);

  Settings settings_;
  uint64_t leader_term_ = 0;
  Time prior_leases_end_ = 0;
  Time swept_at_ = -1;
  std::unordered_map<uint64_t, double> policy_capacities_;
  std::map<std::string, std::vector<Incarnation>> relays_;
  std::unordered_map<uint64_t, Budget> budgets_;
  Counts counts_;
};

}  // namespace umberhoist::fleet
