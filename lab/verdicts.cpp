#include "verdicts.h"

#include <algorithm>
#include <cstdio>

namespace umberhoist::lab {

std::string seconds(double t) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f s", t);
  return out;
}

void Verdicts::add(std::initializer_list<const char*> oracles) {
  for (const char* name : oracles) states_[name];
}

void Verdicts::broke(const std::string& oracle, double now, int relay, const std::string& what) {
  State& state = states_[oracle];
  if (++state.broken > 1 && now >= state.at) return;
  state.at = now;
  state.relay = relay;
  state.first = "at " + seconds(now) + ", relay " + std::to_string(relay) + ": " + what;
}

bool Verdicts::held() const {
  return std::ranges::none_of(states_, [](const auto& entry) { return entry.second.broken > 0; });
}

}  // namespace umberhoist::lab
