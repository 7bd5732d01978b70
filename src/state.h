// State of the policy: messages, hosts, destinations and circuits, shared by the parts that decide with it.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <utility>

#include "estimates.h"
#include "firspool/actions.h"

namespace firspool::detail {

// Retry budget, in units: a served call earns one and a retry costs kRetryCost, so retries stay under a tenth
// of the calls when failures are common.
constexpr int kRetryCost = 10;
constexpr int kRetryBudgetCap = 10 * kRetryCost;  // full at the start: ten retries for a short failure

constexpr Time kMaxPause = 250 * kMs;  // of the random pauses that keep relays and retries out of step
constexpr double kMinLateSuccessRatio = 0.35;  // below it overdue calls count as lost, not as slow

// The share of a capacity that the fleet granted to this relay. Its bucket starts empty, so that moving
// capacity from one relay to another never lets both spend it.
struct BudgetShare : TokenBucket {
  double per_s = -1;  // below 0: nothing was granted
  double burst = 0;

  bool has_grant() const { return per_s >= 0; }
  void grant(const ShareGranted& e, Time now) {
    refill(now, std::max(0.0, per_s), burst);  // by the old rate until now
    per_s = e.per_s;
    burst = per_s > 0 ? std::max(1.0, per_s * e.burst_s) : 0;
  }
  // Tokens that are missing until the next call may go.
  double deficit() const { return per_s > 0 ? std::max(0.0, 1 - tokens) : 0; }
  Time ready(Time now) {
    if (per_s <= 0) return kNever;
    refill(now, per_s, burst);
    return TokenBucket::ready(now, per_s);
  }
};

struct Attempt {
  Endpoint endpoint;
  Time sent_at = 0;
  uint64_t call = 0;                      // number of the call; the messages of a batch share it
  bool cancelled = false, trial = false;  // trial: tests whether a circuit is, or still is, in outage
  Time connection_idle = 0;  // how long its connection had been idle; 0: a new connection, or one in use
};

// The inherited attempt count and execution state also cover the attempts made here.
struct Message : MessageReceived {
  Time target = 0, not_before = 0;  // target: the message keeps its full value until then
  double value = 0;
  bool in_flight = false, released = false;
  bool is_retry = false;  // the next send is charged to the retry budget
  // An attempt whose outcome a restart lost may have executed: a client's retry could come only after the
  // destination has forgotten its key.
  bool executed_before_restart = false;
};

// A destination, and an endpoint of it where the kind's endpoints are independent (else Endpoint{}).
using CircuitKey = std::pair<int, Endpoint>;

// Rate limit and outage state (circuit breaker) of a destination or of one independent endpoint.
struct Circuit {
  CircuitKey key;
  BudgetShare* share = nullptr;  // of the destination: all its circuits use the same one
  Time wait_until = 0;           // end of the longest wait that the endpoint asked for
  double limit = 0;              // calls a second of all relays together; 0: unknown or none
  double pacing_rate = 0;        // own sends a second at most; 0: unlimited, as nothing was refused yet
  double restore_rate = 0;       // a served call restores this rate, set by the first of a series of refusals
  Time rate_cut_at = 0;  // last cut of the rate; refusals of calls sent before it carry no new information
  Time limit_reported_at = kNever;
  bool follows_reports = false;  // pacing_rate is set by reports on the limit, not by own refusals
  bool reachable = false;        // at least one of its endpoints is listed as ready
  // bucket paces sends by pacing_rate, recovery_bucket those during an outage and while warming up after it.
  TokenBucket bucket, recovery_bucket;
  double headroom = 1;        // mean unused share of the limit, from reports or from refusals
  bool rate_limited = false;  // a message waited for pacing_rate since the last served call
  int unserved_streak = 0;    // calls in a row that were refused or failed
  int connect_failures = 0;   // calls that got no connection since the last served one
  int overdue = 0;            // calls in flight past the suspicious age with none served since, in this step
  int fail_streak = 0;      // calls in a row that failed; a refusal ends the row, as it shows a live endpoint
  Time unserved_since = 0;  // send time of the first unserved call that no limit explains
  Time failing_since = 0;   // send time of the first call of fail_streak
  Time outage_since = 0;    // 0: no outage
  bool suspected = false;   // the outage was inferred from overdue calls alone
  Time recovered_since = 0;  // first served call after the outage, or end of a long wait; 0: still in outage
  double base_rate = 0;      // own rate of served calls before the outage
  int trials_in_flight = 0;
  Time last_served_sent_at = std::numeric_limits<Time>::min();  // latest send time among served calls
  bool probe_in_flight = false, probe_succeeded = false;
  DecayingRate served_rate;

  // A granted share replaces the pacing rate; independent endpoints keep their own rate beside it.
  bool paced_by_share() const { return share->has_grant() && key.second == Endpoint{}; }
  double own_pacing_rate() const { return paced_by_share() ? 0 : pacing_rate; }
  bool in_outage() const { return outage_since != 0 && recovered_since == 0; }
};

struct Host {
  Member member;
  Circuit* circuit = nullptr;
  int calls = 0, connections = 0, fails = 0;  // calls: in flight; fails: in a row
  Time last_used = 0, avoid_until = 0;
  Latency latency;
  DecayingRate send_rate;  // of this relay's calls

  bool ready() const { return member.listing == Listing::kReady; }
  bool gone() const { return member.listing == Listing::kGone; }  // erased once no call to it is in flight
};

// Estimates over all destinations of a kind: the prior for a destination that this relay seldom calls.
struct KindEstimates {
  Latency latency;
  double connect_failure_ratio = 0;  // rises fast and falls slowly
};

struct Destination {
  std::map<Endpoint, Host*> hosts;
  Time open_at = 0;         // until then every host is held by a wait that it asked for
  int kind = 0, calls = 0;  // calls: in flight
  std::set<std::pair<int, int>> listed_zone_kinds;  // every zone and kind of an endpoint ever listed
  int retry_budget = kRetryBudgetCap;               // in units, see kRetryCost
  DestinationSnapshot saved{0, kRetryBudgetCap};    // last stored by the caller
  Latency latency, usual_latency;  // usual_latency: without outliers, the reference for the slot share
};

// State that all parts of the policy share during a step: inputs, the output, and when the next step is due.
struct State {
  State(const Settings& initial, uint64_t seed) : random(seed) { apply_settings(initial); }

  // Where the indices of tenants or kinds change, the state kept by index is dropped. The caller must repeat
  // the list of members.
  void apply_settings(const Settings& next) {
    if (next.classes.empty()) throw std::invalid_argument("settings define no message class");
    const auto same = [](const auto& a, const auto& b) { return a.name == b.name; };
    if (!std::ranges::equal(settings.tenants, next.tenants, same)) {
      tenant_buckets.clear();
      std::erase_if(shares,
                    [](const auto& entry) { return entry.first.first == ShareGranted::Scope::kTenant; });
    }
    if (!std::ranges::equal(settings.kinds, next.kinds, same)) kinds.clear();
    settings = next;
    rules = message_rules(settings);
    max_time_to_live = kSecond;
    for (const ClassSettings& c : settings.classes)
      max_time_to_live = std::max(max_time_to_live, c.time_to_live);
  }

  void emit(Action action) { actions->push_back(std::move(action)); }
  // The saved state of a destination may have changed; save_snapshots() compares and stores it.
  void mark_changed(int destination) { changed_destinations.insert(destination); }
  // An outage began or ended, so the number of avoided endpoints may have changed too.
  void outage_changed(int destination) {
    mark_changed(destination);
    avoided_count_valid = false;
  }
  void wake(Time at) { wake_at = at > now ? std::min(wake_at, at) : wake_at; }

  Circuit& circuit(const CircuitKey& key) {
    const auto [it, inserted] = circuits.try_emplace(key);
    if (inserted)
      it->second.share = &shares[{ShareGranted::Scope::kDestination, (it->second.key = key).first}];
    return it->second;
  }
  BudgetShare& share_of(const Destination& d) {
    return shares[{ShareGranted::Scope::kDestination, d.saved.destination}];
  }
  BudgetShare& limit_share(int limit_id) { return shares[{ShareGranted::Scope::kLimit, limit_id}]; }
  const Latency& latency_of(const Destination& d) {
    return d.latency.samples > 0 ? d.latency : kinds[d.kind].latency;
  }
  const Latency& latency_of(const Host& host) { return latency_of(destinations[host.member.destination]); }

  Settings settings;
  std::vector<std::shared_ptr<const MessageRules>> rules;  // of new messages, by class
  Random random;
  Time now = std::numeric_limits<Time>::min();
  Time started = kNever;  // time of the first step
  std::vector<Action>* actions = nullptr;
  Time wake_at = kNever;
  Time shutdown_at = kNever;
  Time max_time_to_live = kSecond;                       // of all message classes
  double late_success_ratio = 2 * kMinLateSuccessRatio;  // share of overdue calls that are served after all
  std::map<int, KindEstimates> kinds;
  std::map<int, TokenBucket> tenant_buckets;
  std::map<std::pair<ShareGranted::Scope, int>, BudgetShare>
      shares;  // for a tenant's quota only per_s is used
  std::map<uint64_t, Message> messages;
  std::map<std::pair<uint64_t, int>, Attempt> attempts;
  std::map<uint64_t, int> calls;  // calls in flight, each with its number of messages without an outcome
  std::map<Endpoint, Host> hosts;
  std::map<int, Destination> destinations;
  std::map<CircuitKey, Circuit> circuits;
  // Lets a step look only at what changed, so that its cost does not grow with the list of members.
  std::set<int> changed_destinations;  // since the last step
  bool avoided_count_valid = false;    // the count of avoided endpoints is still right
};

}  // namespace firspool::detail
