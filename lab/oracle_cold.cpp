// cold_not_pushed: what comes back from an outage is not pushed over by those that know of it.
#include <algorithm>

#include "oracle.h"

namespace umberhoist::lab {

void Oracles::outage_began(double now, int destination) {
  outages_[destination] = {now, -1};
  failed_at_.erase(destination);
}

void Oracles::outage_ended(double now, int destination) { outages_[destination].ended = now; }

void Oracles::back(int) { verdicts_.checked("cold_not_pushed"); }

// What a relay tried while a machine was down shows nowhere: one that held a message for it through the
// outage has tried.
bool Oracles::seen_failing(const Outage& outage, int destination, int relay) const {
  const auto seen = failed_at_.find(destination);
  if (seen != failed_at_.end() && seen->second.contains(relay)) return true;
  const auto ids = by_destination_.find(destination);
  if (ids == by_destination_.end()) return false;
  return std::ranges::any_of(ids->second, [&](const std::string& id) {
    const Held& held = held_.at(id);
    return held.hand.relay == relay && held.taken >= 0 && held.taken < outage.ended - 0.2 &&
           (held.ended < 0 || held.ended > std::max(held.taken, outage.began) + 0.2);
  });
}

void Oracles::pushed_over(double now, int destination, const std::map<int, int>& calls) {
  int all = 0, knew = 0, most = -1, most_calls = 0;
  for (const auto& [relay, count] : calls) {
    all += count;
    if (!seen_failing(outages_[destination], destination, relay)) continue;
    knew += count;
    if (count > most_calls) most = relay, most_calls = count;
  }
  if (3 * knew < 2 * all) return;
  verdicts_.broke("cold_not_pushed", now, most,
                  "cold destination " + std::to_string(destination) + " was pushed over, " +
                      std::to_string(knew) + " of " + std::to_string(all) +
                      " calls by relays that had seen it fail");
}

}  // namespace umberhoist::lab
