// Dispatch: which waiting messages are sent now, to which endpoint, and with what timeout.
#pragma once

#include "connections.h"
#include "limits.h"
#include "messages.h"

namespace firspool::detail {

// One destination's share of the slots (max_in_flight) while messages for others wait, and its minimum when
// calls are slow.
constexpr double kSlotShare = 0.5;
constexpr double kMinSlotShare = 0.15;
constexpr double kTimeoutFactor = 2;  // timeout of a repeatable message, in multiples of the suspicious age
constexpr double kUnsafeTimeoutFactor = 2;  // on top for an unsafe message, which fails on a timeout
constexpr double kSecondsPerPriceUnit = 5;  // latency that is as bad as a price of 1 per call

class Dispatch {
 public:
  Dispatch(State& state, const Messages& messages, Connections& connections, Limits& limits)
      : s_(state), messages_(messages), connections_(connections), limits_(limits) {}

  void send(std::vector<Candidate> waiting) {
    // First each destination gets up to its share; then the remaining slots go to any message.
    for (const bool within_share : {true, false}) {
      std::vector<Candidate> left;
      for (const Candidate& c : waiting) {
        Message& m = s_.messages.at(std::get<uint64_t>(c));
        if (m.in_flight) continue;  // batched into another message's call
        Destination& d = s_.destinations[m.destination];
        if (static_cast<int>(s_.calls.size()) >= s_.settings.max_in_flight) return cancel_overdue_calls();
        if (!within_share || d.calls < slot_share(d))
          try_send(m, d, waiting);
        else
          left.push_back(c);
      }
      waiting = std::move(left);
    }
  }

 private:
  // Slots for a destination, fewer while its calls take longer than usual.
  int slot_share(const Destination& d) const {
    const double usual = d.usual_latency.samples == 0
                             ? 1
                             : std::min(1.0, d.usual_latency.mean / std::max(1e-6, d.latency.mean));
    const double share = std::max(kMinSlotShare, kSlotShare * usual);
    return std::max(1, static_cast<int>(std::ceil(s_.settings.max_in_flight * share)));
  }

  // Messages wait and no slot is free: cancels overdue calls, unless such calls proved to be only slow.
  void cancel_overdue_calls() {
    if (!s_.settings.may_cancel || s_.late_success_ratio > kMinLateSuccessRatio) return;
    for (auto& [id, attempt] : s_.attempts) {
      const auto message = s_.messages.find(id.first);
      if (attempt.cancelled || message == s_.messages.end()) continue;
      const Time suspicious = s_.latency_of(s_.hosts[attempt.endpoint]).suspicious_age();
      if (seconds(s_.now - attempt.sent_at) < timeout_factor(message->second) * seconds(suspicious)) continue;
      attempt.cancelled = true;
      s_.emit(Cancel{id.first, id.second});
    }
  }

  void try_send(Message& m, Destination& d, const std::vector<Candidate>& waiting) {
    if (m.is_retry && d.retry_budget < kRetryCost) return;
    if (s_.shutdown_at - s_.now < s_.latency_of(d).suspicious_age()) return;
    Host* host = choose_host(m, d);
    if (host == nullptr || !limits_.may_send_trial(*host)) return;
    Circuit& circuit = *host->circuit;
    const bool trial = limits_.needs_trial(circuit);
    const Attempt call{host->member.endpoint, s_.now, ++last_call_, false, trial, connections_.open(*host)};
    host->send_rate.add(s_.now);
    ++host->calls;
    ++d.calls;
    limits_.charge(circuit);
    send(m, d, *host, call);
    if (call.trial) return;  // a trial call carries a single message
    // Messages sent to one endpoint in one step may share a call: it takes one slot, counts once against the
    // limit, and has one outcome.
    const auto kind = static_cast<size_t>(host->member.kind);
    int batch_left = kind < s_.settings.kinds.size() ? s_.settings.kinds[kind].batch - 1 : 0;
    for (const Candidate& c : waiting) {
      if (batch_left <= 0) return;
      Message& other = s_.messages.at(std::get<uint64_t>(c));
      if (other.in_flight || other.destination != m.destination) continue;
      if ((other.is_retry && d.retry_budget < kRetryCost) || messages_.shares_ready_at(other, *host) > s_.now)
        continue;
      if (!messages_.may_use(other, *host, messages_.best_route(other, d))) continue;
      send(other, d, *host, call);
      --batch_left;
    }
  }

  Host* choose_host(const Message& m, const Destination& d) {
    Host* best = nullptr;
    std::pair<int, double> best_cost;
    const RouteRule best_route = messages_.best_route(m, d);
    const Circuit* previous_circuit = nullptr;  // most hosts share one
    Time admitted = 0;
    for (const auto& [endpoint, host] : d.hosts) {
      if (!host->ready() || !messages_.may_use(m, *host, best_route)) continue;
      if (std::exchange(previous_circuit, host->circuit) != host->circuit)
        admitted = limits_.next_send_at(*host->circuit);
      const Time ready_at = std::max(admitted, messages_.shares_ready_at(m, *host));
      s_.wake(ready_at);
      if (ready_at > s_.now) continue;
      const std::pair cost{messages_.route(m, host->member).rank, cost_of(*host)};
      if (best != nullptr && best_cost <= cost) continue;
      best = host;
      best_cost = cost;
    }
    return best;
  }

  double cost_of(const Host& host) {
    const Latency& latency = host.latency.samples > 0 ? host.latency : s_.latency_of(host);
    // The calls of other relays are unknown, but they choose alike: without an estimate of their calls,
    // all relays would pick the same host.
    const int unseen_relays = std::max(0, s_.settings.relays - kSmallFleet);
    const double other_calls =
        unseen_relays > 0 ? unseen_relays * host.send_rate.per_second(s_.now) * latency.mean : 0;
    double cost =
        latency.mean * (1 + 0.5 * (host.calls + other_calls)) / std::max(0.1, host.circuit->headroom);
    if (host.member.zone != s_.settings.zone) cost += kSecondsPerPriceUnit * s_.settings.price_cross_zone;
    if (connections_.needs_new(host)) cost += kSecondsPerPriceUnit * s_.settings.price_handshake;
    if (host.avoid_until > s_.now) cost += seconds(kMaxAvoidance);
    return cost;
  }

  double timeout_factor(const Message& m) const {
    return m.rules->effect == Effect::kUnsafe ? kUnsafeTimeoutFactor : 1;
  }

  Time timeout_of(const Message& m, const Destination& d) {
    // Bounded, as calls whose answers are lost would else occupy all slots until their messages expire.
    const double longest = std::max(1.0, kTimeoutFactor * seconds(s_.latency_of(d).suspicious_age()));
    return std::min(m.due - s_.now, micros(timeout_factor(m) * longest));
  }

  void send(Message& m, Destination& d, const Host& host, const Attempt& attempt) {
    host.circuit->trials_in_flight += attempt.trial;
    if (m.is_retry) {
      d.retry_budget -= kRetryCost;
      s_.mark_changed(m.destination);
    }
    messages_.charge_shares(m, host);
    m.is_retry = false;
    m.in_flight = true;
    ++s_.calls[attempt.call];
    s_.attempts[{m.id, m.attempts++}] = attempt;
    s_.emit(Send{m.id, host.member.endpoint, timeout_of(m, d), messages_.latest_start(m, d)});
  }

  State& s_;
  const Messages& messages_;
  Connections& connections_;
  Limits& limits_;
  uint64_t last_call_ = 0;
};

}  // namespace firspool::detail
