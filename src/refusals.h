// Refusals: which messages are given up, why, and when their clients should come again.
#pragma once

#include "limits.h"
#include "messages.h"

namespace firspool::detail {

constexpr double kShedAbove = 0.9;  // part of max_open above which the least worth is given back
constexpr double kUnknown = 0;
constexpr double kOpenShare = 0.5;  // a destination with more of the places than this part makes room first
constexpr double kDrainDoubt = 1 / (kFirstCut * kRepeatedCut);  // two refusals in a row cut a pace too far

class Refusals {
 public:
  Refusals(State& state, Messages& messages) : s_(state), messages_(messages) {}

  // Ends what there is no room for, and what has no hope of an answer in time.
  void settle() {
    std::set<int> wanted;
    for (const auto& [id, m] : s_.messages)
      if (!m.in_flight) wanted.insert(m.destination);
    for (const int number : wanted)
      if (const auto d = s_.destinations.find(number); d != s_.destinations.end()) open(d->second);
    const Destination unlisted;
    for (auto it = s_.messages.begin(); it != s_.messages.end();) {
      const Message& m = (it++)->second;
      if (m.in_flight) continue;
      const auto found = s_.destinations.find(m.destination);
      const Destination& d = found == s_.destinations.end() ? unlisted : found->second;
      const Time last = messages_.last_start(m, d);
      if (const Time shut = messages_.shut(m, d); shut > 0) {
        give_up(m, Reason::kTime, shut);
      } else if (!m.room || !messages_.may_repeat(m)) {
        give_up(m, m.room ? Reason::kAttempts : Reason::kRoom);
      } else if (std::max({s_.now, m.not_before, d.open_at}) >= last) {
        give_up(m, Reason::kTime);
      } else {
        s_.wake(last);
      }
    }
  }

  // Gives the least worth back where room is short, first of what a destination holds over its share.
  void shed(double part) {
    const auto room = static_cast<size_t>(std::max(1.0, part * s_.settings.max_open));
    if (s_.messages.size() <= room) return;
    std::map<int, int> held;
    std::vector<std::pair<double, uint64_t>> least;
    for (const auto& [id, m] : s_.messages) {
      ++held[m.destination];
      if (!m.in_flight && messages_.refusable(m) && !messages_.untried(m))
        least.push_back({messages_.worth_at(m, s_.now), id});
    }
    std::sort(least.begin(), least.end());
    for (const double share : {kOpenShare * static_cast<double>(room), 0.0}) {
      for (const auto& [worth, id] : least) {
        if (s_.messages.size() <= room) return;
        const auto it = s_.messages.find(id);
        if (it == s_.messages.end() || held[it->second.destination] <= share) continue;
        --held[it->second.destination];
        give_up(it->second, Reason::kPlaces);
      }
    }
  }

  // Those that could not go in time even if their queue drained faster than it seems to are told so now.
  void turn_away(const std::vector<Candidate>& waiting) {
    struct Queue {
      double rate = kUnknown, ahead = 0;
      Time turn() const { return rate <= kUnknown ? 0 : micros(ahead / rate); }
    };
    std::map<int, Queue> queues, limits;
    for (const Candidate& c : waiting) {
      const Message& m = s_.messages.at(std::get<uint64_t>(c));
      if (m.in_flight) continue;
      const Destination& d = s_.destinations.at(m.destination);
      const Queue fresh{kDrainDoubt * drain_rate(d), s_.share_of(d).deficit()};
      Queue& queue = queues.try_emplace(m.destination, fresh).first->second;
      const int number = messages_.best_way(m, d).limit;
      const BudgetShare& part = s_.limit_share(number);  // -1: never granted, and so no queue
      Queue& limit =
          limits.try_emplace(number, Queue{kDrainDoubt * part.per_s, part.deficit()}).first->second;
      const Time turn = std::max(s_.now, d.open_at) + std::max(queue.turn(), limit.turn());
      if (messages_.untried(m) || turn < messages_.last_start(m, d)) {
        ++queue.ahead;
        ++limit.ahead;
      } else {
        give_up(m, Reason::kQueue, limit.turn());
      }
    }
  }

 private:
  // When told waits let one of its hosts be called; any time that is over is as good as another.
  void open(Destination& d) const {
    d.open_at = kNever;
    for (const auto& [endpoint, host] : d.hosts) {
      if (host->ready()) d.open_at = std::min(d.open_at, host->circuit->wait_until);
      if (d.open_at <= s_.now) return;
    }
    if (d.open_at == kNever) d.open_at = 0;
  }

  void give_up(const Message& m, Reason reason, Time wait = 0) {
    s_.emit(messages_.refusable(m) ? Action{Refuse{m.id, come_again(m, reason, wait), reason}}
                                   : Action{Fail{m.id}});
    messages_.end(m, true);
  }

  // Once what waits should be served and a told wait is over, at random; 0: not heard, or its time were over.
  Time come_again(const Message& m, Reason reason, Time wait) {
    const auto found = s_.destinations.find(m.destination);
    if (!s_.settings.retry_after_heard || found == s_.destinations.end() || wait == kNever) return 0;
    const Destination& d = found->second;
    const auto ahead = std::ranges::count_if(s_.messages, [&m](const auto& other) {
      return other.second.destination == m.destination && !other.second.in_flight;
    });
    double rate = drain_rate(d);
    for (const auto& [endpoint, host] : d.hosts)
      rate = std::max(rate, host->circuit->served_rate.per_second(s_.now));
    if (s_.share_of(d).per_s > 0) rate = s_.share_of(d).per_s;
    const Time served = micros(static_cast<double>(ahead) / std::max(rate, 1 / seconds(s_.max_time_to_live)));
    const Time crowded = reason == Reason::kPlaces || reason == Reason::kRoom ? kMaxPause : wait;
    const Time least =
        std::min(std::max({served, d.open_at - s_.now, crowded}), s_.settings.max_retry_after * 2 / 3);
    const Time after = std::min(least + s_.random.between(0, least / 2), s_.settings.max_retry_after);
    return s_.now + after < m.due ? after : 0;
  }

  // Calls a second that a queue may drain at, troubles apart: they do not last so long. kUnknown in an
  // outage.
  double drain_rate(const Destination& d) const {
    double paces = 0;
    for (const auto& [endpoint, host] : d.hosts) {
      const Circuit& l = *host->circuit;
      if (l.outage_since != 0) return kUnknown;
      if (!host->ready() || paces < 0) continue;
      if (l.own_pacing_rate() == 0) paces = -1;  // no limit was met there
      const double pace = std::max(l.pacing_rate, l.restore_rate);
      if (l.own_pacing_rate() > 0) paces = l.key.second == Endpoint{} ? pace : paces + pace;
    }
    const double part = s_.share_of(d).per_s;
    if (part >= 0) paces = paces > 0 ? std::min(paces, part) : part;
    if (d.usual_latency.samples == 0) return paces > 0 ? paces : kUnknown;
    const double slots = s_.settings.slots / std::max(1e-6, d.usual_latency.mean);
    return paces > 0 ? std::min(paces, slots) : slots;
  }

  State& s_;
  Messages& messages_;
};

}  // namespace firspool::detail
