// When a relay asks discovery.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "firspool/settings.h"

namespace firspool::relay {

// When this relay asks discovery for a watch. Discovery answers only so many asks a second of all relays
// together, and one that it turns down costs it as much as one that it answers: where all ask at once most
// are turned down, and where those come back soon none is answered any more.
class AskTimes {
 public:
  AskTimes(const Settings& settings, uint64_t seed);

  std::chrono::milliseconds first();  // after the start
  std::chrono::milliseconds again();  // after a lost watch, or an ask that was turned down; longer each time
  void heard() { back_off_ = shortest_; }

 private:
  std::mt19937_64 random_;
  std::chrono::milliseconds turn_{0};  // in which each relay asks once; 0: few enough to ask together
  std::chrono::milliseconds shortest_;
  std::chrono::milliseconds longest_;
  std::chrono::milliseconds back_off_;
};

}  // namespace firspool::relay
