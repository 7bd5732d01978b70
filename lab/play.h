// One play of a scenario: the world is set up, the plan is carried out, and what came of it is returned.
#pragma once

#include <nlohmann/json.hpp>

#include "result.h"
#include "scenario.h"

namespace umberhoist::lab {

struct PlayOptions {
  uint64_t seed = 1;
  std::string program;  // the relay
  std::string folder;   // for logs and state; made where it does not exist
  bool quiet = false;   // no line of progress
};

// result.json as the brief has it, with `faults` for the report. Throws Unusable where it cannot be played.
nlohmann::json play(const Scenario& scenario, const PlayOptions& options);

}  // namespace umberhoist::lab
