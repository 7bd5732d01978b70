// Limits: how fast this relay sends to a circuit under a limit that all relays share, and around an outage.
#pragma once

#include "state.h"

namespace firspool::detail {

constexpr double kExhaustedShare = 0.5;  // with less of a limit reported left, a refusal is due to the limit
constexpr double kMinBaseRate = 1.2;     // calls a second of all relays, assumed where none was served
constexpr double kMinInitialRate = 0.3;  // calls a second: least rate that the first cut is applied to
constexpr double kFirstCut = 0.7;        // factor on the rate after the first refusal above a limit
constexpr double kRepeatedCut = 0.5;     // the same for each further refusal with no served call in between
constexpr double kRateGain = 0.03;       // growth of the rate with each served call while messages wait
// With less than kLowRemaining of a limit left, a relay keeps to its even share of it; the closer the limit
// is to used up, the less of that share, down to kMinEvenFraction.
constexpr double kLowRemaining = 0.5;
constexpr double kMinEvenFraction = 0.75;
constexpr double kMaxDoublings = 1;           // of the rate, a second, while the limit has room
constexpr double kMaxDoublingsLimited = 0.1;  // the same while messages wait, as they then do in all relays
constexpr double kLimitDrop = 0.8;  // a limit lowered below this fraction is followed before it is used up
constexpr int kSmallFleet = 10;     // with no more relays, own calls show each how busy an endpoint is
constexpr double kRecoveryMargin = 0.85;     // used fraction of the recovery budget: counts and clocks differ
constexpr double kTrialShare = 0.5;          // least fraction of that budget that trial calls may use
constexpr double kMinTrialsPerSecond = 1.5;  // of all relays together
// An outage counts as at least this old where the relays that know of it are estimated. A relay that makes
// less than one call in this time is a rare caller.
constexpr double kAwarenessSeconds = 5;
constexpr double kPacingBurstSeconds = 0.4;  // burst, in seconds of the pacing rate

class Limits {
 public:
  explicit Limits(State& state) : s_(state) {}

  // A random fill level, so that relays which were turned away together do not come back together.
  TokenBucket random_bucket(Time at) { return {0.5 - seconds(s_.random.between(0, kSecond)), at}; }

  // For a listed endpoint whose weight is the limit of its destination.
  void apply_weight(double limit, Circuit& c) const {
    c.limit = limit;
    // Many relays that start together would use the limit up before the first report of it arrives.
    if (s_.settings.relays <= kSmallFleet || s_.settings.report_remaining_index < 0 || c.pacing_rate != 0)
      return;
    c.pacing_rate = even_share(limit);
    if (c.bucket.refilled_at == 0) c.bucket = {1, s_.now};
  }

  // All relays that were asked to wait come back when the wait ends: a random pause spreads them out.
  void extend_wait(Time until, Circuit& c) {
    c.wait_until = std::max(c.wait_until, until + s_.settings.tick + s_.random.between(0, kMaxPause));
  }

  // Updates the limit and the headroom. The headroom is part of a host's cost, so that independent endpoints
  // are loaded in proportion to their limits.
  void apply_report(const AttemptEnded& e, Circuit& c) {
    const double limit = report_value(e.report, s_.settings.report_limit_index, 0);
    const double remaining =
        limit > 0 ? std::min(1.0, report_value(e.report, s_.settings.report_remaining_index, 1)) : 1;
    if (limit > 0) follow_report(limit, remaining, c);
    if (e.outcome != Outcome::kOk && e.outcome != Outcome::kFull) return;
    c.headroom += 2 * kSampleWeight * ((e.outcome == Outcome::kOk ? remaining : 0) - c.headroom);
  }

  // Reported share of the limit that is left; below 0: the report names no limit.
  double reported_remaining(const std::vector<float>& report) const {
    return report_value(report, s_.settings.report_limit_index, 0) > 0
               ? report_value(report, s_.settings.report_remaining_index, 1)
               : -1;
  }

  // Refused above a limit that all relays share: goes below the own demand, and further with each refusal in
  // a row.
  void on_refused(const Attempt& attempt, Circuit& c) {
    if (attempt.sent_at < c.rate_cut_at || c.follows_reports || c.paced_by_share()) return;
    const bool first = c.pacing_rate == 0 || c.unserved_streak == 0;
    if (c.pacing_rate == 0) c.pacing_rate = std::max(1.5 * estimated_rate(c), kMinInitialRate);
    c.pacing_rate =
        std::max((first ? kFirstCut : kRepeatedCut) * c.pacing_rate, 1 / seconds(s_.max_time_to_live));
    if (first) c.restore_rate = c.pacing_rate;
    c.rate_cut_at = s_.now;
    c.bucket = random_bucket(s_.now);
  }

  void on_served(Circuit& c) const {
    if (!c.follows_reports) c.pacing_rate = std::max(c.pacing_rate, c.restore_rate);
    if (c.rate_limited && !c.follows_reports) c.pacing_rate += kRateGain * c.pacing_rate;
    if (c.limit > 0) c.pacing_rate = std::min(c.pacing_rate, c.limit);
    c.rate_limited = false;
  }

  // Own rate of served calls, with the even share of the limit as a prior worth one call: for a rare caller
  // the prior dominates.
  double estimated_rate(const Circuit& c) const {
    const double even = std::max(c.limit, kMinBaseRate) / s_.settings.relays;
    const double memory = seconds(kRateMemory);
    const double seen = memory * (1 - std::exp(-std::max(1.0, seconds(s_.now - s_.started)) / memory));
    return std::max(even, (c.served_rate.per_second(s_.now) * memory + 1) / (seen + 1 / even));
  }

  // Own share of the served calls, or of the limit: over all relays these add up to no more than the total,
  // however uneven the demand is.
  double own_rate_share(const Circuit& c) const {
    const double own = c.served_rate.per_second(s_.now);
    return c.limit > 0 ? (own + c.limit / s_.settings.relays) / 2 : own + kMinBaseRate / s_.settings.relays;
  }

  bool small_fleet() const { return s_.settings.relays <= kSmallFleet; }
  // In a large fleet a rare caller sees of an outage only one failed call and its failed retry.
  bool rare_caller(const Circuit& c) const {
    return !small_fleet() && estimated_rate(c) * kAwarenessSeconds < 1;
  }
  // Whether calls to the circuit are trial calls now. A rare caller takes one failure for an outage.
  bool needs_trial(const Circuit& c) const { return c.in_outage() || (c.fail_streak > 0 && rare_caller(c)); }

  // When the next call may go to the circuit; kNever: not before an outcome arrives.
  Time next_send_at(Circuit& c) const {
    if (c.wait_until > s_.now) return c.wait_until;
    // While one trial call has no answer, a second would give little information and could fill the slots.
    if (c.trials_in_flight > 0 && needs_trial(c)) return kNever;
    if (c.outage_since != 0) {
      const double rate = recovery_rate(c);
      c.recovery_bucket.refill(s_.now, rate, 1);
      if (c.recovery_bucket.tokens < 1)
        return std::min(c.recovery_bucket.ready(s_.now, rate), s_.now + kSecond);
    }
    if (c.own_pacing_rate() > 0) {
      c.bucket.refill(s_.now, c.pacing_rate, std::max(1.0, kPacingBurstSeconds * c.pacing_rate));
      if (c.bucket.tokens < 1) {
        c.rate_limited = true;
        return c.bucket.ready(s_.now, c.pacing_rate);
      }
    }
    return s_.now;
  }

  void charge(Circuit& c) const {
    if (c.outage_since != 0) c.recovery_bucket.tokens -= 1;
    if (c.own_pacing_rate() > 0) c.bucket.tokens -= 1;
  }

  // In an outage, where probes are allowed, each trial call waits for a successful probe. The probe alone
  // does not end the outage, as a destination that hangs may still answer it.
  bool may_send_trial(const Host& host) {
    Circuit& c = *host.circuit;
    if (!c.in_outage() || !s_.settings.may_probe || std::exchange(c.probe_succeeded, false)) return true;
    if (std::exchange(c.probe_in_flight, true)) return false;
    s_.emit(Probe{host.member.endpoint});
    charge(c);
    return false;
  }

  void on_probe_ended(const ProbeEnded& e) {
    const auto it = s_.hosts.find(e.endpoint);
    if (it == s_.hosts.end()) return;
    it->second.circuit->probe_in_flight = false;
    it->second.circuit->probe_succeeded = e.ok;
  }

 private:
  // Estimated fraction of the relays that had a message for the circuit during the outage and so know of it.
  double aware_fraction(const Circuit& c) const {
    const Time end = c.recovered_since == 0 ? s_.now : c.recovered_since;
    return std::max(1e-3,
                    1 - std::exp(-std::max(kAwarenessSeconds, seconds(end - c.outage_since)) * c.base_rate));
  }

  // Own share of the calls that a destination takes in an outage and while it warms up. What relays that are
  // unaware of the outage send is taken off the budget first.
  double recovery_rate(const Circuit& c) const {
    const double warmth = c.in_outage() ? 0
                                        : seconds(s_.now - c.recovered_since) /
                                              std::max(1e-6, seconds(s_.settings.warmup_time));
    const double capacity = s_.settings.warmup_start_capacity +
                            (1 - s_.settings.warmup_start_capacity) * std::clamp(warmth, 0.0, 1.0);
    const double aware = aware_fraction(c);
    const double budget = kRecoveryMargin * s_.settings.overload_factor * capacity;
    const double min_trials = std::max(kTrialShare * (small_fleet() ? 1 : budget) * c.base_rate,
                                       kMinTrialsPerSecond / s_.settings.relays);
    return std::max(c.base_rate * (budget - (1 - aware)), c.in_outage() ? min_trials : 0) / aware;
  }

  static double report_value(const std::vector<float>& report, int index, double otherwise) {
    const double value = index >= 0 && index < std::ssize(report) ? report[static_cast<size_t>(index)] : -1;
    return std::isfinite(value) && value >= 0 ? value : otherwise;
  }

  double even_share(double limit) const {
    return std::max(limit / s_.settings.relays, 1 / seconds(s_.max_time_to_live));
  }

  // In a large fleet a relay is refused too late, when others have used the limit up. Its rate follows the
  // reported share that is left instead.
  void follow_report(double limit, double remaining, Circuit& c) {
    const double before = std::exchange(c.limit, limit);
    const Time reported_before = std::exchange(c.limit_reported_at, s_.now);
    const Time since = reported_before == kNever ? kSecond : s_.now - reported_before;
    c.follows_reports = s_.settings.relays > kSmallFleet;
    if (!c.follows_reports) return;
    if (c.pacing_rate > 0 && before > 0) c.pacing_rate *= limit / before;
    const double even = even_share(limit);
    const double max_rate =
        (kMinEvenFraction + (1 - kMinEvenFraction) * std::min(1.0, remaining / kLowRemaining)) * even;
    if (remaining < kLowRemaining || (reported_before != kNever && limit < kLimitDrop * before)) {
      if (c.pacing_rate == 0) c.bucket = random_bucket(s_.now);
      c.pacing_rate = c.pacing_rate == 0 ? max_rate : std::min(c.pacing_rate, max_rate);
    } else if (c.pacing_rate > 0) {
      const double doublings = (c.rate_limited ? kMaxDoublingsLimited : kMaxDoublings) * remaining *
                               seconds(std::min(since, kSecond));
      c.pacing_rate = std::min(limit, std::max(c.pacing_rate, even) * std::exp2(doublings));
    }
  }

  State& s_;
};

}  // namespace firspool::detail
