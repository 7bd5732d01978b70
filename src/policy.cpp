// The step of the module: applies the events to its components (the headers in this folder), then each
// decides once.
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
    if (now < s_.now) throw std::invalid_argument("time goes backwards");
    if (s_.started == kNever) s_.started = now;
    s_.now = now;
    s_.actions = &actions;
    for (const Event& event : events) std::visit([this](const auto& e) { handle(e); }, event);
    members_.erase_gone();
    s_.wake_at = kNever;
    members_.ensure_watch();
    outages_.check();
    refusals_.end_hopeless();
    refusals_.shed_lowest_value(1);  // before any new message is sent
    const std::vector<Candidate> waiting = messages_.waiting();
    dispatch_.send(waiting);
    refusals_.refuse_queue_overflow(waiting);
    refusals_.shed_lowest_value(kShedThreshold);
    outages_.save_snapshots();
    members_.report_avoided();
    set_timer();
  }

 private:
  void handle(const SettingsChanged& e) { s_.apply_settings(e.settings); }
  void handle(const MembersChanged& e) { members_.on_changed(e); }
  void handle(const MessageReceived& e) { messages_.add(e); }
  void handle(const MessageReleased& e) { messages_.release(e); }
  void handle(const PeerMessage&) {}
  void handle(const DestinationSnapshot& e) { outages_.restore(e); }
  void handle(const RetryAfterReceived& e) {
    limits_.extend_wait(e.until, s_.circuit({e.destination, e.endpoint}));
  }
  void handle(const ShareGranted& e) { s_.shares[{e.scope, e.id}].grant(e, s_.now); }
  void handle(const ShuttingDown& e) { s_.shutdown_at = e.at; }
  void handle(const ProbeEnded& e) { limits_.on_probe_ended(e); }
  void handle(const TimerFired& e) {
    timer_at_ = static_cast<Time>(e.token) == timer_at_ ? kNever : timer_at_;
  }

  void handle(const AttemptEnded& e) {
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
    learn_outcome(e, attempt, host, d);
    connections_.close_idle_if_full(host, s_.kinds[d.kind]);
    messages_.on_attempt_ended(e, attempt, host.member.zone);
  }

  void learn_outcome(const AttemptEnded& e, const Attempt& attempt, Host& host, Destination& d) {
    Circuit& c = *host.circuit;
    KindEstimates& kind = s_.kinds[d.kind];
    limits_.apply_report(e, c);
    connections_.on_ended(e.outcome, attempt, kind, c);
    const bool ok = e.outcome == Outcome::kOk;
    const bool late = e.outcome == Outcome::kTimeout;
    // The share of calls past the suspicious age that are served after all: slow, not lost.
    if ((ok || late) && e.took > s_.latency_of(d).suspicious_age())
      s_.late_success_ratio += 2 * kSampleWeight * ((ok ? 1 : 0) - s_.late_success_ratio);
    if (e.outcome == Outcome::kCancelled || e.outcome == Outcome::kNotForwarded ||
        e.outcome == Outcome::kNotSent)
      return;
    if (e.outcome == Outcome::kFull) {
      if (e.retry_after > 0) limits_.extend_wait(s_.now + e.retry_after, c);
      if (e.retry_after > 0 && c.follows_reports) c.bucket = limits_.random_bucket(c.wait_until);
      if (e.retry_after == 0) limits_.on_refused(attempt, c);
      const double left = limits_.reported_remaining(e.report);
      outages_.on_unserved(attempt, c,
                           left >= kExhaustedShare && c.outage_since == 0 && limits_.rare_caller(c),
                           e.retry_after);
      // A limit that other relays use up may reject a rare caller for long: that is no outage.
      if (left >= 0 && left < kExhaustedShare) c.unserved_since = kNever;
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
      limits_.on_served(c);
      outages_.on_served(attempt, c);
    } else {
      // A lost answer says nothing of the latency: timeouts count only where overdue calls are served after
      // all.
      if (late && s_.late_success_ratio > kMinLateSuccessRatio && c.last_served_sent_at < attempt.sent_at)
        learn_latency(d, kind, e.took);
      if (e.outcome != Outcome::kError) connections_.avoid(host);
      outages_.on_unserved(attempt, c, true, 0);
    }
  }

  void learn_latency(Destination& d, const KindEstimates& kind, Time took) {
    if (d.latency.samples == 0) {
      d.latency = kind.latency;
      d.latency.samples = std::min(d.latency.samples, 1);
    }
    d.latency.add(seconds(took));
  }

  void set_timer() {
    if (s_.wake_at == kNever || (timer_at_ > s_.now && timer_at_ <= s_.wake_at)) return;
    timer_at_ = s_.wake_at;
    s_.emit(SetTimer{static_cast<uint64_t>(timer_at_), timer_at_});
  }

  State s_;
  Limits limits_{s_};
  Outages outages_{s_, limits_};
  Connections connections_{s_};
  Members members_{s_, limits_};
  Messages messages_{s_};
  Refusals refusals_{s_, messages_};
  Dispatch dispatch_{s_, messages_, connections_, limits_};
  Time timer_at_ = kNever;
};

Policy::Policy(Settings settings, uint64_t seed) : impl_(std::make_unique<Impl>(settings, seed)) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;

void Policy::step(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->step(now, events, actions);
}

}  // namespace firspool
