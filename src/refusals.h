// Refusals: which messages are refused or failed, why, and when their clients should retry.
#pragma once

#include "limits.h"
#include "messages.h"

namespace firspool::detail {

// Share of max_open above which messages of the lowest value are refused.
constexpr double kShedThreshold = 0.9;
constexpr double kUnknownRate = 0;
// A destination that holds more than this share of max_open is shed from first.
constexpr double kMaxHeldShare = 0.5;
// Queues may drain this much faster than the pacing rate says: two rejections in a row cut it too far.
constexpr double kDrainRateMargin = 1 / (kFirstCut * kRepeatedCut);

class Refusals {
 public:
  Refusals(State& state, Messages& messages) : s_(state), messages_(messages) {}

  // Ends the messages that cannot be stored and those that can no longer be answered in time.
  void end_hopeless() {
    std::set<int> waiting;
    for (const auto& [id, m] : s_.messages)
      if (!m.in_flight) waiting.insert(m.destination);
    for (const int destination : waiting)
      if (const auto d = s_.destinations.find(destination); d != s_.destinations.end())
        update_open_time(d->second);
    const Destination unlisted;
    for (auto it = s_.messages.begin(); it != s_.messages.end();) {
      const Message& m = (it++)->second;
      if (m.in_flight) continue;
      const auto found = s_.destinations.find(m.destination);
      const Destination& d = found == s_.destinations.end() ? unlisted : found->second;
      const Time last = messages_.latest_start(m, d);
      if (const Time delay = messages_.no_route_delay(m, d); delay > 0) {
        end_message(m, Reason::kDeadline, delay);
      } else if (!m.storage_available || !messages_.may_repeat(m)) {
        end_message(m, m.storage_available ? Reason::kNoAttemptsLeft : Reason::kStorageFull);
      } else if (std::max({s_.now, m.not_before, d.open_at}) >= last) {
        end_message(m, Reason::kDeadline);
      } else {
        s_.wake(last);
      }
    }
  }

  // Refuses messages of the lowest value while more than `threshold` of max_open is held, first those that a
  // destination holds beyond its own share.
  void shed_lowest_value(double threshold) {
    const auto max_held = static_cast<size_t>(std::max(1.0, threshold * s_.settings.max_open));
    if (s_.messages.size() <= max_held) return;
    std::map<int, int> held;
    std::vector<std::pair<double, uint64_t>> by_value;
    for (const auto& [id, m] : s_.messages) {
      ++held[m.destination];
      if (!m.in_flight && messages_.may_refuse(m) && !messages_.owes_attempt(m))
        by_value.push_back({messages_.value_at(m, s_.now), id});
    }
    std::sort(by_value.begin(), by_value.end());
    for (const double share : {kMaxHeldShare * static_cast<double>(max_held), 0.0}) {
      for (const auto& [value, id] : by_value) {
        if (s_.messages.size() <= max_held) return;
        const auto it = s_.messages.find(id);
        if (it == s_.messages.end() || held[it->second.destination] <= share) continue;
        --held[it->second.destination];
        end_message(it->second, Reason::kTooManyMessages);
      }
    }
  }

  // Refuses the messages that could not be sent in time even if their queue drained faster than estimated.
  void refuse_queue_overflow(const std::vector<Candidate>& waiting) {
    struct Queue {
      double rate = kUnknownRate, ahead = 0;
      Time delay() const { return rate <= kUnknownRate ? 0 : micros(ahead / rate); }
    };
    std::map<int, Queue> queues, limits;
    for (const Candidate& c : waiting) {
      const Message& m = s_.messages.at(std::get<uint64_t>(c));
      if (m.in_flight) continue;
      const Destination& d = s_.destinations.at(m.destination);
      const Queue initial{kDrainRateMargin * drain_rate(d), s_.share_of(d).deficit()};
      Queue& queue = queues.try_emplace(m.destination, initial).first->second;
      const int limit_id = messages_.best_route(m, d).limit_id;
      const BudgetShare& share = s_.limit_share(limit_id);  // id -1 has no share, and so no queue
      Queue& limit =
          limits.try_emplace(limit_id, Queue{kDrainRateMargin * share.per_s, share.deficit()}).first->second;
      const Time starts_at = std::max(s_.now, d.open_at) + std::max(queue.delay(), limit.delay());
      if (messages_.owes_attempt(m) || starts_at < messages_.latest_start(m, d)) {
        ++queue.ahead;
        ++limit.ahead;
      } else {
        end_message(m, Reason::kQueueTooLong, limit.delay());
      }
    }
  }

 private:
  // Sets the time at which the retry-after of one of the destination's hosts is over; times in the past are
  // equivalent.
  void update_open_time(Destination& d) const {
    d.open_at = kNever;
    for (const auto& [endpoint, host] : d.hosts) {
      if (host->ready()) d.open_at = std::min(d.open_at, host->circuit->wait_until);
      if (d.open_at <= s_.now) return;
    }
    if (d.open_at == kNever) d.open_at = 0;
  }

  void end_message(const Message& m, Reason reason, Time delay = 0) {
    s_.emit(messages_.may_refuse(m) ? Action{Refuse{m.id, retry_after_for(m, reason, delay), reason}}
                                    : Action{Fail{m.id}});
    messages_.remove(m, /*by_module=*/true);
  }

  // The retry-after of a refused message: randomized, not before the queue is served and the endpoints' own
  // retry-after is over; 0: clients are not sent one, or the message would have expired by then.
  Time retry_after_for(const Message& m, Reason reason, Time delay) {
    const auto found = s_.destinations.find(m.destination);
    if (!s_.settings.sends_retry_after || found == s_.destinations.end() || delay == kNever) return 0;
    const Destination& d = found->second;
    const auto ahead = std::ranges::count_if(s_.messages, [&m](const auto& other) {
      return other.second.destination == m.destination && !other.second.in_flight;
    });
    double rate = drain_rate(d);
    for (const auto& [endpoint, host] : d.hosts)
      rate = std::max(rate, host->circuit->served_rate.per_second(s_.now));
    if (s_.share_of(d).per_s > 0) rate = s_.share_of(d).per_s;
    const Time served = micros(static_cast<double>(ahead) / std::max(rate, 1 / seconds(s_.max_time_to_live)));
    const Time min_wait =
        reason == Reason::kTooManyMessages || reason == Reason::kStorageFull ? kMaxPause : delay;
    const Time least =
        std::min(std::max({served, d.open_at - s_.now, min_wait}), s_.settings.max_retry_after * 2 / 3);
    const Time after = std::min(least + s_.random.between(0, least / 2), s_.settings.max_retry_after);
    return s_.now + after < m.due ? after : 0;
  }

  // Calls a second at which a queue may drain, without regard to short disturbances. kUnknownRate in an
  // outage.
  double drain_rate(const Destination& d) const {
    double pacing_rate = 0;
    for (const auto& [endpoint, host] : d.hosts) {
      const Circuit& c = *host->circuit;
      if (c.outage_since != 0) return kUnknownRate;
      if (!host->ready() || pacing_rate < 0) continue;
      if (c.own_pacing_rate() == 0) pacing_rate = -1;  // no limit is known there
      const double rate = std::max(c.pacing_rate, c.restore_rate);
      if (c.own_pacing_rate() > 0) pacing_rate = c.key.second == Endpoint{} ? rate : pacing_rate + rate;
    }
    const double share = s_.share_of(d).per_s;
    if (share >= 0) pacing_rate = pacing_rate > 0 ? std::min(pacing_rate, share) : share;
    if (d.usual_latency.samples == 0) return pacing_rate > 0 ? pacing_rate : kUnknownRate;
    const double slots = s_.settings.max_in_flight / std::max(1e-6, d.usual_latency.mean);
    return pacing_rate > 0 ? std::min(pacing_rate, slots) : slots;
  }

  State& s_;
  Messages& messages_;
};

}  // namespace firspool::detail
