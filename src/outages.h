// Outages: detects when a circuit is in outage and when it recovers, and snapshots that for a restart.
#pragma once

#include "limits.h"

namespace firspool::detail {

constexpr int kHangOverdueCalls = 2;  // overdue calls, with none served since, that are taken for a hang
constexpr int kOutageFailures = 3;    // failures in a row, over at least kMinFailureSpan, that show an outage
constexpr int kRelapseFailures = 2;   // failures in a row after a recovery that show that it did not last
constexpr Time kMinFailureSpan = 800 * kMs;
constexpr int kOutageUnserved = 3;  // calls in a row, refused or failed, that show one over kMinUnservedSpan
// Refusals alone must last longer than failures: a limit refuses calls too, but for shorter spans.
constexpr Time kMinUnservedSpan = 2500 * kMs;

class Outages {
 public:
  Outages(State& state, const Limits& limits) : s_(state), limits_(limits) {}

  void restore(const DestinationSnapshot& e) {
    Destination& d = s_.destinations[e.destination];
    d.retry_budget = std::clamp(e.tokens, 0, kRetryBudgetCap);
    d.saved = e;
    if (e.outage_since == 0) return;
    Circuit& c = s_.circuit({e.destination, Endpoint{}});
    c.outage_since = e.outage_since;
    c.recovered_since = e.recovered_since;
    c.base_rate = e.served_rate;
    c.recovery_bucket = {seconds(s_.random.between(0, kSecond)), s_.now};
    s_.outage_changed(e.destination);
    watch(c);
  }

  void save_snapshots() {
    for (const int number : std::exchange(s_.changed_destinations, {})) {
      Destination& d = s_.destinations[number];
      // The retry budget is rounded down to whole retries, so that not every served call stores a snapshot.
      DestinationSnapshot next{number, d.retry_budget - d.retry_budget % kRetryCost};
      const Circuit& c = s_.circuit({number, Endpoint{}});
      if (c.outage_since != 0) next = {number, next.tokens, c.outage_since, c.recovered_since, c.base_rate};
      if (next != std::exchange(d.saved, next)) s_.emit(SaveSnapshot{next});
    }
  }

  void on_served(const Attempt& attempt, Circuit& c) {
    c.served_rate.add(s_.now);
    c.last_served_sent_at = std::max(c.last_served_sent_at, attempt.sent_at);
    c.unserved_streak = c.fail_streak = 0;
    c.probe_succeeded = false;
    if (c.outage_since == 0) return;
    if (c.suspected && attempt.sent_at <= c.outage_since) {  // the overdue calls were only slow
      log(c, "outage ruled out, calls were only slow");
      c.outage_since = 0;
      s_.outage_changed(c.key.first);
    } else if (c.recovered_since == 0 && attempt.sent_at > c.outage_since) {
      c.recovered_since = s_.now;
      s_.outage_changed(c.key.first);
      c.suspected = false;
      log(c, "recovered, warming up");
    }
  }

  // failed: the call counts as a failure; otherwise as a refusal.
  void on_unserved(const Attempt& attempt, Circuit& c, bool failed, Time retry_after) {
    watch(c);
    // A call sent later was served: this one was lost or its endpoint is bad, but the destination is up.
    if (attempt.sent_at < c.last_served_sent_at) return;
    if (c.unserved_streak++ == 0 || c.unserved_since == kNever) c.unserved_since = attempt.sent_at;
    c.fail_streak = failed ? c.fail_streak + 1 : 0;
    if (c.fail_streak == 1) c.failing_since = attempt.sent_at;
    // A rare caller's retry is the only further evidence that it gets: a free token lets it go at once.
    if (c.fail_streak == 1 && limits_.rare_caller(c)) c.bucket.tokens = std::max(c.bucket.tokens, 1.0);
    if (c.fail_streak > 0 && attempt.trial) c.overdue = kHangOverdueCalls;
    if (failed) c.suspected = false;
    // Failures after the recovery start the outage again. Calls sent before it carry no new information.
    if (c.recovered_since != 0 && c.fail_streak >= kRelapseFailures && attempt.sent_at > c.recovered_since) {
      c.recovered_since = 0;
      s_.outage_changed(c.key.first);
      log(c, "calls fail again after the recovery");
    }
    // A wait longer than the spans of a limit says when a closed destination opens: its recovery starts then.
    if (retry_after > kMinUnservedSpan && c.outage_since == 0) {
      begin_outage(c, "long retry-after received", false);
      c.recovered_since = c.recovery_bucket.refilled_at = c.wait_until;
    }
  }

  // A hang produces no outcomes, so calls past the suspicious age with none served since are evidence too.
  void check() {
    for (const auto& [id, attempt] : s_.attempts) {
      const Host& host = s_.hosts[attempt.endpoint];
      const Time suspicious_at = attempt.sent_at + s_.latency_of(host).suspicious_age();
      Circuit& c = *host.circuit;
      if (c.served_rate.updated_at > attempt.sent_at) continue;
      s_.wake(suspicious_at);
      if (s_.now < suspicious_at) continue;
      c.overdue += attempt.trial ? kHangOverdueCalls : 1;
      watch(c);
    }
    std::erase_if(watched_, [this](const auto& entry) { return !update(*entry.second); });
  }

 private:
  void watch(Circuit& c) { watched_[c.key] = &c; }

  // Moves the circuit into an outage or out of its warm-up; returns whether to keep watching it.
  bool update(Circuit& c) {
    const int overdue = std::exchange(c.overdue, 0);
    if (c.outage_since != 0) {
      if (c.in_outage() || s_.now - c.recovered_since < s_.settings.warmup_time) return true;
      log(c, "warm");
      c.outage_since = 0;
      s_.outage_changed(c.key.first);
      return true;
    }
    const bool failing = c.fail_streak >= kOutageFailures && s_.now - c.failing_since >= kMinFailureSpan;
    const bool unserved =
        c.unserved_streak >= kOutageUnserved && c.unserved_since <= s_.now - kMinUnservedSpan;
    const char* evidence = failing ? "calls fail" : unserved ? "no call served" : "calls overdue";
    if (failing || unserved || overdue >= kHangOverdueCalls) begin_outage(c, evidence, !failing && !unserved);
    return c.unserved_streak != 0 || overdue != 0;
  }

  void begin_outage(Circuit& c, const char* evidence, bool suspected) {
    c.base_rate = limits_.small_fleet() ? limits_.estimated_rate(c) : limits_.own_rate_share(c);
    c.outage_since = s_.now;
    c.recovered_since = c.connect_failures = 0;
    c.suspected = suspected;
    c.recovery_bucket = {seconds(s_.random.between(0, kSecond)), s_.now};
    c.probe_succeeded = false;
    s_.outage_changed(c.key.first);
    log(c, std::string("outage, ") + evidence +
               "; served before: " + std::to_string(std::lround(60 * c.base_rate)) + " calls per minute");
  }

  void log(const Circuit& c, const std::string& text) {
    s_.emit(Log{"destination " + std::to_string(c.key.first) + ": " + text});
  }

  State& s_;
  const Limits& limits_;
  std::map<CircuitKey, Circuit*> watched_;  // in an outage, or with unserved or overdue calls
};

}  // namespace firspool::detail
