// Limits: how fast this relay sends where a limit holds that all relays share, in an outage, and after it.
#pragma once

#include "state.h"

namespace firspool::detail {

constexpr double kUsedUp = 0.5;     // a report of a smaller share left says why a call was refused: the limit
constexpr double kBaseLeast = 1.2;  // calls a second of all relays together, assumed where none was served
constexpr double kFirstPace = 0.3;  // calls a second: least pace that the first refusal is held against
constexpr double kLimitCut = 0.7;   // pace after the first refusal above a limit
constexpr double kAgainCut = 0.5;   // and after each further one with nothing served between
constexpr double kLimitGain = 0.03;   // regained, as a part of the pace, with each served call
constexpr double kTight = 0.5;        // with less of a limit left no more than an even part of it is sent,
constexpr double kTightLeast = 0.75;  // down to this part of that when it is used up
constexpr double kEase = 1;           // doublings a second, at most, of a pace above that while there is room
constexpr double kEaseBound = 0.1;    // and while messages wait for it, as in all relays they would
constexpr double kLowered = 0.8;      // a limit cut to less than this part is heeded before it is used up
constexpr int kSeen = 10;             // of so few relays each sees by its own calls how busy an endpoint is
constexpr double kColdMargin = 0.85;  // part of the fail-back budget that is used: counts and clocks differ
constexpr double kScoutPart = 0.5;    // of that part, left to scouts at least,
constexpr double kScoutLeast = 1.5;   // and so many of them a second of all relays together
constexpr double kHolders = 5;  // seconds: holders of messages are counted as of an outage at least this old
constexpr double kLimitBurst = 0.4;  // seconds of the pace that may go at once

class Limits {
 public:
  explicit Limits(State& state) : s_(state) {}

  // At random, so that relays which are turned away together do not come back together.
  Pacer late_start(Time at) { return {0.5 - seconds(s_.random.between(0, kSecond)), at}; }

  // Of a listed endpoint whose weight holds the limit.
  void weigh(double limit, Lane& l) const {
    l.limit = limit;
    // Many relays started together would use it up before the first of them hears how much is left.
    if (s_.set.relays <= kSeen || s_.set.report_remaining_index < 0 || l.pace != 0) return;
    l.pace = even_part(limit);
    if (l.pacer.at == 0) l.pacer = {1, s_.now};
  }

  // At the end of a wait all relays that were told come back: the random pause keeps them out of step.
  void wait(Time until, Lane& l) {
    l.wait_until = std::max(l.wait_until, until + s_.set.tick + s_.random.between(0, kPauseMost));
  }

  // A limit nearly used up makes its route dearer, so that routes with limits of their own are used evenly.
  void heed_report(const AttemptEnded& e, Lane& l) {
    const double limit = reported(e.report, s_.set.report_limit_index, 0);
    const double served = limit > 0 ? std::min(1.0, reported(e.report, s_.set.report_remaining_index, 1)) : 1;
    if (limit > 0) follow(limit, served, l);
    if (e.outcome != Outcome::kOk && e.outcome != Outcome::kFull) return;
    l.room += 2 * kGain * ((e.outcome == Outcome::kOk ? served : 0) - l.room);
  }

  // Share of the limit that is left, as reported; below 0: no limit is told.
  double left(const std::vector<float>& report) const {
    return reported(report, s_.set.report_limit_index, 0) > 0
               ? reported(report, s_.set.report_remaining_index, 1)
               : -1;
  }

  // Refused above a limit that all relays share: slower than the own demand, and again with each in a row.
  void narrow(const Attempt& attempt, Lane& l) {
    if (attempt.sent < l.cut_at || l.steered || l.granted()) return;
    const bool fresh = l.pace == 0 || l.streak == 0;
    if (l.pace == 0) l.pace = std::max(1.5 * pooled_rate(l), kFirstPace);
    l.pace = std::max((fresh ? kLimitCut : kAgainCut) * l.pace, 1 / seconds(s_.longest));
    if (fresh) l.paced = l.pace;
    l.cut_at = s_.now;
    l.pacer = late_start(s_.now);
  }

  void served(Lane& l) const {
    if (!l.steered) l.pace = std::max(l.pace, l.paced);
    if (l.bound && !l.steered) l.pace += kLimitGain * l.pace;
    if (l.limit > 0) l.pace = std::min(l.pace, l.limit);
    l.bound = false;
  }

  // Own served rate; for a rare caller mostly the even part of the limit, which is worth one call as a prior.
  double pooled_rate(const Lane& l) const {
    const double even = std::max(l.limit, kBaseLeast) / s_.set.relays;
    const double memory = seconds(kRateMemory);
    const double seen = memory * (1 - std::exp(-std::max(1.0, seconds(s_.now - s_.started)) / memory));
    return std::max(even, (l.served.per_second(s_.now) * memory + 1) / (seen + 1 / even));
  }

  // Own part of what is served, or of the limit: over all relays no more than the whole, however uneven.
  double own_part(const Lane& l) const {
    const double own = l.served.per_second(s_.now);
    return l.limit > 0 ? (own + l.limit / s_.set.relays) / 2 : own + kBaseLeast / s_.set.relays;
  }

  bool few() const { return s_.set.relays <= kSeen; }
  // A rare caller of many sees one failure of an outage, and its repeat's: its calls ask for the end in turn.
  bool rare(const Lane& l) const { return !few() && pooled_rate(l) * kHolders < 1; }
  bool scouting(const Lane& l) const { return l.out() || (l.hard > 0 && rare(l)); }

  // When this lane may be sent to; kNever: only after some outcome.
  Time admits(Lane& l) const {
    if (l.wait_until > s_.now) return l.wait_until;
    // Without an answer to the last scout another tells little, and would fill the slots.
    if (l.scouts > 0 && scouting(l)) return kNever;
    if (l.out_since != 0) {
      const double rate = cold_rate(l);
      l.cold.refill(s_.now, rate, 1);
      if (l.cold.tokens < 1) return std::min(l.cold.ready(s_.now, rate), s_.now + kSecond);
    }
    if (l.own_pace() > 0) {
      l.pacer.refill(s_.now, l.pace, std::max(1.0, kLimitBurst * l.pace));
      if (l.pacer.tokens < 1) {
        l.bound = true;
        return l.pacer.ready(s_.now, l.pace);
      }
    }
    return s_.now;
  }

  void charge(Lane& l) const {
    if (l.out_since != 0) l.cold.tokens -= 1;
    if (l.own_pace() > 0) l.pacer.tokens -= 1;
  }

  // Where probes are allowed one goes ahead of each scout; not trusted alone, as it may pass a hang by.
  bool may_scout(const Host& host) {
    Lane& l = *host.lane;
    if (!l.out() || !s_.set.may_probe || std::exchange(l.probe_ok, false)) return true;
    if (std::exchange(l.probe_out, true)) return false;
    s_.tell(Probe{host.member.endpoint});
    charge(l);
    return false;
  }

  void probed(const ProbeEnded& e) {
    const auto it = s_.hosts.find(e.endpoint);
    if (it == s_.hosts.end()) return;
    it->second.lane->probe_out = false;
    it->second.lane->probe_ok = e.ok;
  }

 private:
  // Share of the relays that were handed a message for the lane in the outage, and so know of it.
  double knowing(const Lane& l) const {
    const Time end = l.back_since == 0 ? s_.now : l.back_since;
    return std::max(1e-3, 1 - std::exp(-std::max(kHolders, seconds(end - l.out_since)) * l.base));
  }

  // Own part of what a cold destination takes beside callers that know of no outage. One that is out may be.
  double cold_rate(const Lane& l) const {
    const double warm =
        l.out() ? 0 : seconds(s_.now - l.back_since) / std::max(1e-6, seconds(s_.set.warmup_time));
    const double capacity =
        s_.set.warmup_start_capacity + (1 - s_.set.warmup_start_capacity) * std::clamp(warm, 0.0, 1.0);
    const double know = knowing(l);
    const double budget = kColdMargin * s_.set.overload_factor * capacity;
    const double least = std::max(kScoutPart * (few() ? 1 : budget) * l.base, kScoutLeast / s_.set.relays);
    return std::max(l.base * (budget - (1 - know)), l.out() ? least : 0) / know;
  }

  static double reported(const std::vector<float>& report, int index, double otherwise) {
    const double value = index >= 0 && index < std::ssize(report) ? report[static_cast<size_t>(index)] : -1;
    return std::isfinite(value) && value >= 0 ? value : otherwise;
  }

  double even_part(double limit) const { return std::max(limit / s_.set.relays, 1 / seconds(s_.longest)); }

  // One of many relays is refused late, when others have used the limit up: the share left sets its pace.
  void follow(double limit, double left, Lane& l) {
    const double before = std::exchange(l.limit, limit);
    const Time at = std::exchange(l.reported_at, s_.now);
    const Time since = at == kNever ? kSecond : s_.now - at;
    l.steered = s_.set.relays > kSeen;
    if (!l.steered) return;
    if (l.pace > 0 && before > 0) l.pace *= limit / before;
    const double even = even_part(limit);
    const double most = (kTightLeast + (1 - kTightLeast) * std::min(1.0, left / kTight)) * even;
    if (left < kTight || (at != kNever && limit < kLowered * before)) {
      if (l.pace == 0) l.pacer = late_start(s_.now);
      l.pace = l.pace == 0 ? most : std::min(l.pace, most);
    } else if (l.pace > 0) {
      const double ease = (l.bound ? kEaseBound : kEase) * left * seconds(std::min(since, kSecond));
      l.pace = std::min(limit, std::max(l.pace, even) * std::exp2(ease));
    }
  }

  State& s_;
};

}  // namespace firspool::detail
