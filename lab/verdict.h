// What an oracle has found: how often it looked, how often a promise did not hold, and the earliest time by
// the play's clock that it did not.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace umberhoist::lab {

struct Verdict {
  uint64_t checked = 0;
  uint64_t broken = 0;
  std::string first;  // when, what, which relay; empty: held
  int relay = -1;     // -1: none in particular
  double at = 0;

  void broke(double now, int who, const std::string& what) {
    if (++broken > 1 && now >= at) return;
    at = now;
    relay = who;
    char when[32];
    std::snprintf(when, sizeof when, "at %.3f s, relay ", now);
    first = when + std::to_string(who) + ": " + what;
  }
  bool held() const { return broken == 0; }
};

}  // namespace umberhoist::lab
