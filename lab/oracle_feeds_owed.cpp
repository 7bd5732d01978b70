// What feed_exact finds that subscriptions were not given: owed, in a gap, out of reach, or a hole.
#include <algorithm>
#include <cstdlib>

#include "oracle_feeds.h"

namespace umberhoist::lab {
namespace {

constexpr double kHeardOf = 10;  // seconds: others know by then how far an origin has come

// "n3/LOG": the log of relay 3.
int relay_of(const std::string& origin) { return std::atoi(origin.c_str() + 1); }

}  // namespace

bool FeedExact::lost(const Message& m) const {
  const auto it = lost_.find(m.relay);
  return it != lost_.end() &&
         std::ranges::any_of(it->second, [&](double at) { return m.ended <= at && m.ended > at - kHeardOf; });
}

// It may lie in a gap that was said of its relay's log; where its number is known, in which.
bool FeedExact::covered(const Subscription& s, const std::string& id, const Message& m) const {
  const auto place = places_.find(id);
  return std::ranges::any_of(s.gone, [&](const auto& entry) {
    const auto& [origin, gaps] = entry;
    if (place == places_.end()) return relay_of(origin) == m.relay;
    return origin == place->second.first && std::ranges::any_of(gaps, [&](const auto& gap) {
             return gap.first <= place->second.second && place->second.second <= gap.second;
           });
  });
}

uint64_t FeedExact::owed(const std::string& name, double until) const {
  const Subscription& s = subscriptions_.at(name);
  uint64_t out = 0;
  for (const auto& [id, m] : messages_) {
    if (m.ended > until || m.ended < s.since) continue;
    if (wants(s, m) && !s.have.contains(id) && !covered(s, id, m) && !lost(m)) ++out;
  }
  return out;
}

void FeedExact::finish(double now, double until, const std::set<int>& serving, bool all) {
  if (all) find_holes(now, until);
  for (auto& [name, s] : subscriptions_) {
    std::map<int, uint64_t> hidden;  // by relay: in gaps
    for (const auto& [id, m] : messages_) {
      if (m.ended < 0 || m.ended > until || m.ended < s.since || !wants(s, m)) continue;
      ++verdict_.checked;
      if (s.have.contains(id)) continue;
      if (lost(m) || !serving.contains(m.relay)) {
        ++out_of_reach_;
      } else if (covered(s, id, m)) {
        ++hidden[m.relay];
      } else {
        const auto place = places_.find(id);
        const std::string where = place == places_.end()
                                      ? ""
                                      : " (outcome " + std::to_string(place->second.second) + " of origin " +
                                            place->second.first + ")";
        verdict_.broke(now, m.relay,
                       name + " was never given message " + id + where + ", which was " + m.answer + " at " +
                           std::to_string(m.ended) + " s, and no gap was said");
      }
    }
    for (const auto& [relay, count] : hidden) {
      uint64_t places = 0;
      for (const auto& [origin, gaps] : s.gone) {
        if (relay_of(origin) != relay) continue;
        for (const auto& [from, to] : gaps) {
          places = to == kNoEnd ? kNoEnd : places + std::min(kNoEnd - places, to - from + 1);
        }
      }
      if (count > places) {
        verdict_.broke(now, relay,
                       name + " was not given " + std::to_string(count) + " outcomes, and gaps of " +
                           std::to_string(places) + " were said");
      }
    }
  }
}

// As far as what ended until then goes: behind that not all was read.
void FeedExact::find_holes(double now, double until) {
  for (const auto& [origin, numbers] : numbers_) {
    uint64_t end = 0;
    for (const auto& [number, id] : numbers) {
      const auto it = messages_.find(id);
      if (it != messages_.end() && it->second.ended >= 0 && it->second.ended <= until) end = number;
    }
    uint64_t last = numbers.begin()->first - 1;
    for (const auto& [number, id] : numbers) {
      if (number > end) break;
      ++verdict_.checked;
      if (number != last + 1) {
        verdict_.broke(now, relay_of(origin),
                       "origin " + origin + " gave " + std::to_string(number) + " after " +
                           std::to_string(last) + ", and what lies between to nobody");
      }
      last = number;
    }
  }
}

}  // namespace umberhoist::lab
