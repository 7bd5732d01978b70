// A figure of a scenario, which is a number or a range [LOW, HIGH], and the chance that it is drawn from; and
// what is thrown where a scenario, or the machine it is to be played on, cannot be used.
#pragma once

#include <pcg_random.hpp>
#include <random>
#include <stdexcept>

namespace umberhoist::lab {

// What cannot be used is turned down: one line that names the key.
struct Unusable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Chance = pcg64;

struct Range {
  double low = 0;
  double high = 0;
  double draw(Chance& chance) const {
    return high > low ? std::uniform_real_distribution<double>(low, high)(chance) : low;
  }
};

}  // namespace umberhoist::lab
