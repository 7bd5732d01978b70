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
  states_[oracle].broke(now, relay, what);
}

bool Verdicts::held() const {
  return std::ranges::none_of(states_, [](const auto& entry) { return entry.second.broken > 0; });
}

}  // namespace umberhoist::lab
