// A broken play is made smaller: fewer faults, a shorter time, less load, fewer relays, as long as the same
// oracle still breaks. What is left is a scenario of its own, with its seed in its first line.
#pragma once

#include <functional>

#include "play.h"

namespace umberhoist::lab {

struct Shrunk {
  toml::table table;
  int plays = 0;
  int faults_before = 0;
  int faults_after = 0;
};

// `replay` plays a table and returns its result. At most `most_plays` are made.
Shrunk shrink(const toml::table& table, const std::string& oracle, int most_plays,
              const std::function<nlohmann::json(const toml::table&)>& replay);

}  // namespace umberhoist::lab
