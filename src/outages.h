// Outages: when a destination is held to be out, back and cold, or warm; and what a restart keeps of that.
#pragma once

#include "limits.h"

namespace firspool::detail {

constexpr int kOverdue = 2;      // so many overdue calls, with nothing served since, make a hang
constexpr int kDeadStreak = 3;   // so many failures in a row, over at least kDeadSpan, prove an outage
constexpr int kAgainStreak = 2;  // and so many, after a return, that it was none
constexpr Time kDeadSpan = 800 * kMs;
constexpr int kShutStreak = 3;
constexpr Time kShutSpan = 2500 * kMs;  // refusals alone must last longer: spans of a limit are shorter

class Outages {
 public:
  Outages(State& state, const Limits& limits) : s_(state), limits_(limits) {}

  void recall(const DestinationSnapshot& e) {
    Destination& d = s_.destinations[e.destination];
    d.tokens = std::clamp(e.tokens, 0, kBucketCap);
    d.remembered = e;
    if (e.outage_since == 0) return;
    Lane& l = s_.lane({e.destination, Endpoint{}});
    l.out_since = e.outage_since;
    l.back_since = e.recovered_since;
    l.base = e.served_rate;
    l.cold = {seconds(s_.random.between(0, kSecond)), s_.now};
    s_.turned(e.destination);
    watch(l);
  }

  void remember() {
    for (const int number : std::exchange(s_.touched, {})) {
      Destination& d = s_.destinations[number];
      DestinationSnapshot next{number, d.tokens - d.tokens % kToken};
      const Lane& l = s_.lane({number, Endpoint{}});
      if (l.out_since != 0) next = {number, next.tokens, l.out_since, l.back_since, l.base};
      if (next != std::exchange(d.remembered, next)) s_.tell(SaveSnapshot{next});
    }
  }

  void served(const Attempt& attempt, Lane& l) {
    l.served.add(s_.now);
    l.last_served_sent = std::max(l.last_served_sent, attempt.sent);
    l.streak = l.hard = 0;
    l.probe_ok = false;
    if (l.out_since == 0) return;
    if (l.suspected && attempt.sent <= l.out_since) {  // the overdue calls were only slow
      log(l, "only slow");
      l.out_since = 0;
      s_.turned(l.key.first);
    } else if (l.back_since == 0 && attempt.sent > l.out_since) {
      l.back_since = s_.now;
      s_.turned(l.key.first);
      l.suspected = false;
      log(l, "back, cold");
    }
  }

  void unserved(const Attempt& attempt, Lane& l, bool hard, Time told) {
    watch(l);
    // A call sent later was served: this one was lost, or its endpoint is bad, but the destination is up.
    if (attempt.sent < l.last_served_sent) return;
    if (l.streak++ == 0 || l.streak_since == kNever) l.streak_since = attempt.sent;
    l.hard = hard ? l.hard + 1 : 0;
    if (l.hard == 1) l.hard_since = attempt.sent;
    // A rare caller's repeat is all the evidence that it gets: it goes beside the pace, and proves enough.
    if (l.hard == 1 && limits_.rare(l)) l.pacer.tokens = std::max(l.pacer.tokens, 1.0);
    if (l.hard > 0 && attempt.scout) l.overdue = kOverdue;
    if (hard) l.suspected = false;
    // Failures after the return start the ramp again; answers to calls from before it tell nothing new.
    if (l.back_since != 0 && l.hard >= kAgainStreak && attempt.sent > l.back_since) {
      l.back_since = 0;
      s_.turned(l.key.first);
      log(l, "fails again");
    }
    // A wait longer than a limit's span tells when a shut destination opens: its return begins there.
    if (told > kShutSpan && l.out_since == 0) {
      go_out(l, "told to wait long", false);
      l.back_since = l.cold.at = l.wait_until;
    }
  }

  // A hang gives no outcomes: calls past the suspicious age, with nothing served since, are evidence too.
  void assess() {
    for (const auto& [id, attempt] : s_.attempts) {
      const Host& host = s_.hosts[attempt.endpoint];
      const Time suspicious = attempt.sent + s_.latency_of(host).suspicious();
      Lane& l = *host.lane;
      if (l.served.at > attempt.sent) continue;
      s_.wake(suspicious);
      if (s_.now < suspicious) continue;
      l.overdue += attempt.scout ? kOverdue : 1;
      watch(l);
    }
    std::erase_if(watched_, [this](const auto& entry) { return !judge(*entry.second); });
  }

 private:
  void watch(Lane& l) { watched_[l.key] = &l; }

  bool judge(Lane& l) {  // whether it is to be watched on
    const int overdue = std::exchange(l.overdue, 0);
    if (l.out_since != 0) {
      if (l.out() || s_.now - l.back_since < s_.set.warmup_time) return true;
      log(l, "warm");
      l.out_since = 0;
      s_.turned(l.key.first);
      return true;
    }
    const bool dead = l.hard >= kDeadStreak && s_.now - l.hard_since >= kDeadSpan;
    const bool shut = l.streak >= kShutStreak && l.streak_since <= s_.now - kShutSpan;
    const char* evidence = dead ? "calls fail" : shut ? "all refused" : "calls overdue";
    if (dead || shut || overdue >= kOverdue) go_out(l, evidence, !dead && !shut);
    return l.streak != 0 || overdue != 0;
  }

  void go_out(Lane& l, const char* evidence, bool suspected) {
    l.base = limits_.few() ? limits_.pooled_rate(l) : limits_.own_part(l);
    l.out_since = s_.now;
    l.back_since = l.unconnected = 0;
    l.suspected = suspected;
    l.cold = {seconds(s_.random.between(0, kSecond)), s_.now};
    l.probe_ok = false;
    s_.turned(l.key.first);
    log(l, std::string("outage, ") + evidence +
               "; served before: " + std::to_string(std::lround(60 * l.base)) + " a minute");
  }

  void log(const Lane& l, const std::string& what) {
    s_.tell(Log{"destination " + std::to_string(l.key.first) + ": " + what});
  }

  State& s_;
  const Limits& limits_;
  std::map<LaneKey, Lane*> watched_;  // in an outage, or with calls failed or overdue: judged in each step
};

}  // namespace firspool::detail
