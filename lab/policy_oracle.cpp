#include "policy_oracle.h"

#include <algorithm>

namespace umberhoist::lab {

PolicyOracle::PolicyOracle(const Rules& rules, Verdicts& verdicts) : rules_(rules), verdicts_(verdicts) {
  verdicts.add({"one_policy"});
}

void PolicyOracle::acted(double now, double asked, int relay, int generation) {
  verdicts_.checked("one_policy");
  Seen& p = seen_;
  const auto since = p.first.try_emplace(generation, now).first->second;
  p.taken[generation].try_emplace(relay, now);
  if (const auto proposed = p.proposed.find(generation); proposed != p.proposed.end()) {
    p.slowest = std::max(p.slowest, p.taken[generation][relay] - proposed->second);
  }
  const std::string name = std::to_string(generation);
  for (const auto& [other, first] : p.first) {
    if (first <= since) continue;
    // It was asked after the other was in force.
    p.longest_mix = std::max(p.longest_mix, asked - first);
    if (asked > first + rules_.policy_mix + rules_.slack) {
      verdicts_.broke("one_policy", now, relay,
                      "took a message on under policy " + name + " " + seconds(asked - first) + " after " +
                          std::to_string(other) + " was in force");
    }
  }
  auto& [last, when] = p.last[relay];
  if (when > 0 && last != generation && asked > when && p.first[last] > since) {
    verdicts_.broke("one_policy", now, relay,
                    "acts under policy " + name + " again after " + std::to_string(last));
  }
  if (now >= when) {
    last = generation;
    when = now;
  }
}

void PolicyOracle::change_ended(double now, int relay, int generation, bool in_force) {
  verdicts_.checked("one_policy");
  const auto seen = seen_.first.find(generation);
  if (!in_force && seen != seen_.first.end()) {
    verdicts_.broke("one_policy", now, relay,
                    "says that policy " + std::to_string(generation) +
                        " never took hold, and one acted under it at " + seconds(seen->second));
  }
}

void PolicyOracle::acts_at_end(double now, int relay) {
  verdicts_.checked("one_policy");
  int newest = 0;
  double since = -1;
  for (const auto& [generation, first] : seen_.first) {
    if (first > since) {
      since = first;
      newest = generation;
    }
  }
  const auto last = seen_.last.find(relay);
  if (last == seen_.last.end() || last->second.first != newest ||
      now - last->second.second > rules_.policy_mix) {
    verdicts_.broke("one_policy", now, relay,
                    "does not act under policy " + std::to_string(newest) + " as the play ends" +
                        (last == seen_.last.end() ? std::string()
                                                  : ", but last under " + std::to_string(last->second.first) +
                                                        " " + seconds(now - last->second.second) + " ago"));
  }
}

}  // namespace umberhoist::lab
