// Dispatch: which waiting messages go now, to which endpoint, and for how long an answer is waited for.
#pragma once

#include "connections.h"
#include "limits.h"
#include "messages.h"

namespace firspool::detail {

// Slot share: one destination's part of the slots while others wait, and how far long calls narrow it.
constexpr double kSlotShare = 0.5;
constexpr double kSlotShareLeast = 0.15;
constexpr double kTimeoutTimes = 2;  // time-out of a repeatable message, in multiples of the suspicious age
constexpr double kUnsafeTimes = 2;   // and of an unsafe one, for which a time-out ends all hope, of that
constexpr double kSecondsPerPrice = 5;  // seconds of latency that a price of 1 a call is held against

class Dispatch {
 public:
  Dispatch(State& state, const Messages& messages, Connections& connections, Limits& limits)
      : s_(state), messages_(messages), connections_(connections), limits_(limits) {}

  void send(std::vector<Candidate> waiting) {
    // First within each destination's share; slots that no other waits for then go to anyone.
    for (const bool bound : {true, false}) {
      std::vector<Candidate> left;
      for (const Candidate& c : waiting) {
        Message& m = s_.messages.at(std::get<uint64_t>(c));
        if (m.in_flight) continue;  // went along in another message's call
        Destination& d = s_.destinations[m.destination];
        if (static_cast<int>(s_.calls.size()) >= s_.settings.slots) return free_slots();
        if (!bound || d.calls < slot_share(d))
          try_send(m, d, waiting);
        else
          left.push_back(c);
      }
      waiting = std::move(left);
    }
  }

 private:
  // The design's slot share, narrowed while calls run longer than is usual at this destination.
  int slot_share(const Destination& d) const {
    const double usual = d.usual_latency.samples == 0
                             ? 1
                             : std::min(1.0, d.usual_latency.mean / std::max(1e-6, d.latency.mean));
    const double share = std::max(kSlotShareLeast, kSlotShare * usual);
    return std::max(1, static_cast<int>(std::ceil(s_.settings.slots * share)));
  }

  // Messages wait and no slot is free: stop waiting for overdue calls, once such calls proved lost, not slow.
  void free_slots() {
    if (!s_.settings.may_cancel || s_.late_success_ratio > kMinLateSuccessRatio) return;
    for (auto& [id, attempt] : s_.attempts) {
      const auto message = s_.messages.find(id.first);
      if (attempt.cancelled || message == s_.messages.end()) continue;
      const Time suspicious = s_.latency_of(s_.hosts[attempt.endpoint]).suspicious_age();
      if (seconds(s_.now - attempt.sent_at) < patience(message->second) * seconds(suspicious)) continue;
      attempt.cancelled = true;
      s_.emit(Cancel{id.first, id.second});
    }
  }

  void try_send(Message& m, Destination& d, const std::vector<Candidate>& waiting) {
    if (m.is_retry && d.retry_budget < kRetryCost) return;
    if (s_.shutdown_at - s_.now < s_.latency_of(d).suspicious_age()) return;
    Host* host = choose(m, d);
    if (host == nullptr || !limits_.may_send_trial(*host)) return;
    Circuit& l = *host->circuit;
    const bool scout = limits_.needs_trial(l);
    const Attempt call{host->member.endpoint, s_.now, ++last_call_, false, scout, connections_.open(*host)};
    host->send_rate.add(s_.now);
    ++host->calls;
    ++d.calls;
    limits_.charge(l);
    send(m, d, *host, call);
    if (call.trial) return;  // one message is scout enough
    // What goes to one endpoint in one round may share a call: one slot, one place under the limit, one fate.
    const auto kind = static_cast<size_t>(host->member.kind);
    int room = kind < s_.settings.kinds.size() ? s_.settings.kinds[kind].batch - 1 : 0;
    for (const Candidate& c : waiting) {
      if (room <= 0) return;
      Message& other = s_.messages.at(std::get<uint64_t>(c));
      if (other.in_flight || other.destination != m.destination) continue;
      if ((other.is_retry && d.retry_budget < kRetryCost) || messages_.granted(other, *host) > s_.now)
        continue;
      if (!messages_.may_go(other, *host, messages_.best_way(other, d))) continue;
      send(other, d, *host, call);
      --room;
    }
  }

  Host* choose(const Message& m, const Destination& d) {
    Host* best = nullptr;
    std::pair<int, double> best_cost;
    const Way way = messages_.best_way(m, d);
    const Circuit* lane = nullptr;  // of the host before: most share one
    Time admitted = 0;
    for (const auto& [endpoint, host] : d.hosts) {
      if (!host->ready() || !messages_.may_go(m, *host, way)) continue;
      if (std::exchange(lane, host->circuit) != host->circuit)
        admitted = limits_.next_send_at(*host->circuit);
      const Time at = std::max(admitted, messages_.granted(m, *host));
      s_.wake(at);
      if (at > s_.now) continue;
      const std::pair cost{messages_.way(m, host->member).rank, cost_of(*host)};
      if (best != nullptr && best_cost <= cost) continue;
      best = host;
      best_cost = cost;
    }
    return best;
  }

  double cost_of(const Host& host) {
    const Latency& latency = host.latency.samples > 0 ? host.latency : s_.latency_of(host);
    // The other relays' calls are not seen, but they do as this one does: the same would look best to all.
    const int unseen = std::max(0, s_.settings.relays - kSmallFleet);
    const double others = unseen > 0 ? unseen * host.send_rate.per_second(s_.now) * latency.mean : 0;
    double cost = latency.mean * (1 + 0.5 * (host.calls + others)) / std::max(0.1, host.circuit->headroom);
    if (host.member.zone != s_.settings.zone) cost += kSecondsPerPrice * s_.settings.price_cross_zone;
    if (connections_.needs_new(host)) cost += kSecondsPerPrice * s_.settings.price_handshake;
    if (host.avoid_until > s_.now) cost += seconds(kMaxAvoidance);
    return cost;
  }

  double patience(const Message& m) const { return m.rules->effect == Effect::kUnsafe ? kUnsafeTimes : 1; }

  Time timeout_of(const Message& m, const Destination& d) {
    // No call keeps its slot for the whole life of its message: lost answers would fill the slots one by one.
    const double longest = std::max(1.0, kTimeoutTimes * seconds(s_.latency_of(d).suspicious_age()));
    return std::min(m.due - s_.now, micros(patience(m) * longest));
  }

  void send(Message& m, Destination& d, const Host& host, const Attempt& attempt) {
    host.circuit->trials_in_flight += attempt.trial;
    if (m.is_retry) {
      d.retry_budget -= kRetryCost;
      s_.mark_changed(m.destination);
    }
    messages_.pay(m, host);
    m.is_retry = false;
    m.in_flight = true;
    ++s_.calls[attempt.call];
    s_.attempts[{m.id, m.attempts++}] = attempt;
    s_.emit(Send{m.id, host.member.endpoint, timeout_of(m, d), messages_.last_start(m, d)});
  }

  State& s_;
  const Messages& messages_;
  Connections& connections_;
  Limits& limits_;
  uint64_t last_call_ = 0;
};

}  // namespace firspool::detail
