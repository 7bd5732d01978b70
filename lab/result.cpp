#include "result.h"

#include <algorithm>
#include <cstdio>
#include <thread>

#include "world.h"

namespace umberhoist::lab {
namespace {

using nlohmann::json;

// From here on the machine is what is measured.
json warnings(const json& f) {
  json out = json::array();
  const double lab = f["cpu_lab_cores"].get<double>();
  const double all = lab + f["cpu_relays_cores"].get<double>();
  const double cores = std::max(1u, std::thread::hardware_concurrency());
  char text[160];
  if (lab > 0.7) {
    std::snprintf(text, sizeof text,
                  "the lab itself used %.2f of its one core: times are the machine's, not the relays'", lab);
    out.push_back(text);
  }
  if (all > 0.8 * cores) {
    std::snprintf(text, sizeof text,
                  "lab and relays used %.1f of %.0f cores: the machine is what is measured", all, cores);
    out.push_back(text);
  }
  return out;
}

}  // namespace

json result_of(World& world, double end, const std::string& program) {
  json oracles;
  for (const auto& [name, state] : world.oracles.states()) {
    oracles[name] = {{"held", state.broken == 0},
                     {"checked", state.checked},
                     {"first_broken", state.broken == 0 ? json(nullptr) : json(state.first)}};
    if (state.broken > 0) oracles[name]["broken"] = state.broken;
  }
  json result = world.figures.result(end);
  world.parts.tell(oracles, result["figures"]);
  json faults = json::array();
  for (const Fault& f : world.plan.faults) {
    faults.push_back({{"at", f.at}, {"until", f.at + f.lasts}, {"what", f.text()}});
  }
  result["scenario"] = world.scenario.name;
  result["what"] = world.scenario.what;
  result["seed"] = world.plan.seed;
  result["relays"] = world.scenario.relays;
  result["program"] = program;
  result["length_s"] = world.scenario.length_s;
  result["plan"] = std::to_string(world.plan.digest());
  result["oracles"] = oracles;
  result["faults"] = faults;
  result["warnings"] = warnings(result["figures"]);
  return result;
}

std::vector<std::string> broken(const json& result) {
  std::vector<std::string> out;
  for (const auto& [name, state] : result.at("oracles").items()) {
    if (!state.at("held").get<bool>()) out.push_back(name);
  }
  return out;
}

}  // namespace umberhoist::lab
