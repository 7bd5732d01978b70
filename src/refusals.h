// Refusals: which messages are given up, why, and when their clients should come again.
#pragma once

#include "limits.h"
#include "messages.h"

namespace firspool::detail {

constexpr double kShedAbove = 0.9;  // part of max_open above which the least worth is given back
constexpr double kUnknown = 0;
constexpr double kOpenShare = 0.5;  // a destination with more of the places than this part makes room first
// Two refusals in a row cut a pace so far below what the limit takes.
constexpr double kDrainDoubt = 1 / (kLimitCut * kAgainCut);

class Refusals {
 public:
  Refusals(State& state, Messages& messages) : s_(state), messages_(messages) {}

  // Ends what there is no room for, and what has no hope of an answer in time.
  void settle() {
    for (auto& [number, d] : s_.destinations) {
      d.open = kNever;
      for (const auto& [endpoint, host] : d.hosts) {
        if (host->ready) d.open = std::min(d.open, host->lane->wait_until);
      }
      if (d.open == kNever) d.open = 0;
    }
    std::vector<uint64_t> over;
    const Destination unlisted;
    for (const auto& [id, m] : s_.messages) {
      if (m.out) continue;
      const auto found = s_.destinations.find(m.destination);
      const Destination& d = found == s_.destinations.end() ? unlisted : found->second;
      const Time last = messages_.last_start(m, d);
      if (!m.room || !messages_.may_repeat(m) || std::max({s_.now, m.not_before, d.open}) >= last) {
        over.push_back(id);
      } else {
        s_.wake(last);
      }
    }
    for (const uint64_t id : over) {
      const Message& m = s_.messages.at(id);
      give_up(m, !m.room ? Reason::kRoom : messages_.may_repeat(m) ? Reason::kTime : Reason::kAttempts);
    }
  }

  // Gives the least worth back when there is hardly room for more: of what a destination holds over its share
  // before any other, so that a hot one cannot take the last places from the rest.
  void shed(double part) {
    const auto room = static_cast<size_t>(std::max(1.0, part * s_.set.max_open));
    if (s_.messages.size() <= room) return;
    std::map<int, int> held;
    std::vector<std::pair<double, uint64_t>> least;
    for (const auto& [id, m] : s_.messages) {
      ++held[m.destination];
      if (!m.out && messages_.refusable(m)) least.push_back({messages_.worth_at(m, s_.now), id});
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

  // In the order in which they go, those that cannot be sent in time even if their queue drains faster than
  // it seems to are told so now, at the door or not, and not at their end. Failures play no part in it.
  void turn_away(const std::vector<Candidate>& waiting) {
    struct Queue {
      double rate = 0;
      int ahead = 0;
    };
    std::map<int, Queue> queues;
    for (const Candidate& c : waiting) {
      const Message& m = s_.messages.at(c.id);
      if (m.out) continue;
      const Destination& d = s_.destinations.at(m.destination);
      const auto [it, first] = queues.try_emplace(m.destination);
      Queue& queue = it->second;
      if (first) queue.rate = kDrainDoubt * drain_rate(d);
      if (queue.rate == kUnknown) continue;
      const Time turn = std::max(s_.now, d.open) + micros(queue.ahead / queue.rate);
      if (turn < messages_.last_start(m, d)) {
        ++queue.ahead;
      } else {
        give_up(m, Reason::kQueue);
      }
    }
  }

 private:
  void give_up(const Message& m, Reason reason) {
    s_.tell(messages_.refusable(m) ? Action{Refuse{m.id, come_again(m, reason), reason}}
                                   : Action{Fail{m.id}});
    messages_.end(m);
  }

  // When a client should come again: once what waits for its destination now should be served and a told wait
  // is over, and not at once where places or room are short; at random, to keep clients out of step. Not told
  // where the settings do not let it be heard, or where its time would be over by then.
  Time come_again(const Message& m, Reason reason) {
    const auto found = s_.destinations.find(m.destination);
    if (!s_.set.retry_after_heard || found == s_.destinations.end()) return 0;
    const Destination& d = found->second;
    const auto ahead = std::ranges::count_if(s_.messages, [&m](const auto& other) {
      return other.second.destination == m.destination && !other.second.out;
    });
    double rate = drain_rate(d);
    for (const auto& [endpoint, host] : d.hosts) rate = std::max(rate, host->lane->served.per_second(s_.now));
    const Time served = micros(static_cast<double>(ahead) / std::max(rate, 1 / seconds(s_.longest)));
    const Time crowded = reason == Reason::kPlaces || reason == Reason::kRoom ? kPauseMost : 0;
    const Time least = std::min(std::max({served, d.open - s_.now, crowded}), s_.set.max_retry_after * 2 / 3);
    const Time after = std::min(least + s_.random.between(0, least / 2), s_.set.max_retry_after);
    return s_.now + after < m.due ? after : 0;
  }

  // Calls a second that a destination's queue may drain at: by the pace that a served call restores, and with
  // all slots at its usual answers. Troubles narrow both, but not for so long. kUnknown in an outage.
  double drain_rate(const Destination& d) const {
    double paces = 0;
    for (const auto& [endpoint, host] : d.hosts) {
      const Lane& l = *host->lane;
      if (l.out_since != 0) return kUnknown;
      if (!host->ready || paces < 0) continue;
      if (l.pace == 0) paces = -1;  // no limit was met there
      const double pace = std::max(l.pace, l.paced);
      if (l.pace > 0) paces = l.key.second == Endpoint{} ? pace : paces + pace;
    }
    if (d.usual.seen == 0) return paces > 0 ? paces : kUnknown;
    const double slots = s_.set.slots / std::max(1e-6, d.usual.mean);
    return paces > 0 ? std::min(paces, slots) : slots;
  }

  State& s_;
  Messages& messages_;
};

}  // namespace firspool::detail
