// The module's step: folds what happened into its parts, the headers beside this, then lets each decide once.
#include "firspool/policy.h"

#include "dispatch.h"
#include "members.h"
#include "outages.h"
#include "refusals.h"

namespace firspool {

using namespace detail;

class Policy::Impl {
 public:
  Impl(const Settings& settings, uint64_t seed) : s_(settings, seed) {}

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    if (now < s_.now) throw std::invalid_argument("time goes back");
    if (s_.started == kNever) s_.started = now;
    s_.now = now;
    s_.actions = &actions;
    for (const Event& event : events) std::visit([this](const auto& e) { fold(e); }, event);
    members_.erase_gone();
    s_.wake_at = kNever;
    members_.ensure_watch();
    outages_.check();
    refusals_.settle();
    refusals_.shed(1);  // before any of what came is sent
    const std::vector<Candidate> waiting = messages_.waiting();
    dispatch_.send(waiting);
    refusals_.turn_away(waiting);
    refusals_.shed(kShedAbove);
    outages_.save_snapshots();
    members_.report_avoided();
    arm();
  }

 private:
  void fold(const Retuned& e) { s_.apply_settings(e.settings); }
  void fold(const MembersChanged& e) { members_.on_changed(e); }
  void fold(const Arrival& e) { messages_.take(e); }
  void fold(const Withdrawn& e) { messages_.withdraw(e); }
  void fold(const PeerNote&) {}
  void fold(const DestinationMemory& e) { outages_.restore(e); }
  void fold(const WaitTold& e) { limits_.extend_wait(e.until, s_.circuit({e.destination, e.endpoint})); }
  void fold(const Granted& e) { s_.shares[{e.of, e.number}].grant(e, s_.now); }
  void fold(const Closing& e) { s_.shutdown_at = e.at; }
  void fold(const ProbeEnded& e) { limits_.on_probe_ended(e); }
  void fold(const TimerFired& e) { armed_ = static_cast<Time>(e.token) == armed_ ? kNever : armed_; }

  void fold(const AttemptEnded& e) {
    const auto found = s_.attempts.extract({e.id, e.attempt});
    if (found.empty()) return;
    const Attempt& attempt = found.mapped();
    Host& host = s_.hosts[attempt.endpoint];
    Destination& d = s_.destinations[host.member.destination];
    if (--s_.calls[attempt.call] == 0) {
      s_.calls.erase(attempt.call);
      --host.calls;
      --d.calls;
    }
    host.last_used = s_.now;
    host.circuit->trials_in_flight -= attempt.trial;
    learn(e, attempt, host, d);
    connections_.close_idle_if_full(host, s_.kinds[d.kind]);
    messages_.ended(e, attempt, host.member.zone);
  }

  void learn(const AttemptEnded& e, const Attempt& attempt, Host& host, Destination& d) {
    Circuit& l = *host.circuit;
    KindEstimates& kind = s_.kinds[d.kind];
    limits_.apply_report(e, l);
    connections_.on_ended(e.outcome, attempt, kind, l);
    const bool ok = e.outcome == Outcome::kOk;
    const bool late = e.outcome == Outcome::kTimeout;
    // Slow or lost: whether calls past the suspicious age are served after all.
    if ((ok || late) && e.took > s_.latency_of(d).suspicious_age())
      s_.late_success_ratio += 2 * kSampleWeight * ((ok ? 1 : 0) - s_.late_success_ratio);
    if (e.outcome == Outcome::kCancelled || e.outcome == Outcome::kMoot || e.outcome == Outcome::kUnsent)
      return;
    if (e.outcome == Outcome::kFull) {
      if (e.wait > 0) limits_.extend_wait(s_.now + e.wait, l);
      if (e.wait > 0 && l.follows_reports) l.bucket = limits_.random_bucket(l.wait_until);
      if (e.wait == 0) limits_.on_refused(attempt, l);
      const double left = limits_.reported_remaining(e.report);
      outages_.on_unserved(attempt, l,
                           left >= kExhaustedShare && l.outage_since == 0 && limits_.rare_caller(l), e.wait);
      // A rare caller is refused for long by a limit that others use up: that is no outage.
      if (left >= 0 && left < kExhaustedShare) l.unserved_since = kNever;
    } else if (ok) {
      d.retry_budget = std::min(kRetryBudgetCap, d.retry_budget + 1);
      s_.mark_changed(host.member.destination);
      host.latency.add(seconds(e.took));
      kind.latency.add(seconds(e.took));
      learn_latency(d, kind, e.took);
      if (d.usual_latency.samples == 0 || e.took < micros(4 * d.usual_latency.mean))
        d.usual_latency.add(seconds(e.took));
      host.fails = 0;
      if (std::exchange(host.avoid_until, 0) != 0) s_.avoided_count_valid = false;
      limits_.on_served(l);
      outages_.on_served(attempt, l);
    } else {
      // Lost answers are no sign of slowness: time-outs teach only where overdue calls are served after all.
      if (late && s_.late_success_ratio > kMinLateSuccessRatio && l.last_served_sent_at < attempt.sent_at)
        learn_latency(d, kind, e.took);
      if (e.outcome != Outcome::kError) connections_.avoid(host);
      outages_.on_unserved(attempt, l, true, 0);
    }
  }

  void learn_latency(Destination& d, const KindEstimates& kind, Time took) {
    if (d.latency.samples == 0) {
      d.latency = kind.latency;
      d.latency.samples = std::min(d.latency.samples, 1);
    }
    d.latency.add(seconds(took));
  }

  void arm() {
    if (s_.wake_at == kNever || (armed_ > s_.now && armed_ <= s_.wake_at)) return;
    armed_ = s_.wake_at;
    s_.emit(SetTimer{static_cast<uint64_t>(armed_), armed_});
  }

  State s_;
  Limits limits_{s_};
  Outages outages_{s_, limits_};
  Connections connections_{s_};
  Members members_{s_, limits_};
  Messages messages_{s_};
  Refusals refusals_{s_, messages_};
  Dispatch dispatch_{s_, messages_, connections_, limits_};
  Time armed_ = kNever;
};

Policy::Policy(Settings settings, uint64_t seed) : impl_(std::make_unique<Impl>(settings, seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace firspool
