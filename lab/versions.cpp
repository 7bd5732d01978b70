#include "versions.h"

#include <algorithm>

namespace umberhoist::lab {

void Versions::acted(double now, double asked, int relay, int generation) {
  Seen& seen = seen_.try_emplace(generation, Seen{now, {}, {}}).first->second;
  seen.first = std::min(seen.first, now);
  seen.at.try_emplace(relay, now);
  double& last = seen.last_asked[relay];
  last = std::max(last, asked);
}

// Generation 0 is the founding. One that was seen by nobody comes before all that were proposed and seen
// after it was.
bool Versions::before(int a, int b) const {
  if (a == b) return false;
  if (a == 0 || b == 0) return a == 0;
  const auto x = seen_.find(a), y = seen_.find(b);
  if (y == seen_.end()) return false;
  return (x != seen_.end() ? x->second.first : proposed_.at(a)) < y->second.first;
}

std::vector<int> Versions::possible(int relay, double asked, double taken) const {
  std::vector<int> out;
  for (const auto& [generation, proposed] : proposed_) {
    if (proposed > taken) continue;
    bool can = true;
    for (const auto& [other, seen] : seen_) {
      if (!proposed_.contains(other)) continue;
      if (before(generation, other)) {
        const auto here = seen.at.find(relay);
        can = can && !(here != seen.at.end() && here->second <= asked) && seen.first + mix_ > asked;
      } else if (before(other, generation)) {
        const auto here = seen.last_asked.find(relay);
        can = can && !(here != seen.last_asked.end() && here->second >= taken);
      }
    }
    if (can) out.push_back(generation);
  }
  return out;
}

}  // namespace umberhoist::lab
