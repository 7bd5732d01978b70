// What came of a play, as result.json has it.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace umberhoist::lab {

struct World;

// Of a play that is over, at `end` on its clock; `program` is the relay's.
nlohmann::json result_of(World& world, double end, const std::string& program);

// The broken oracles' names.
std::vector<std::string> broken(const nlohmann::json& result);
inline bool all_held(const nlohmann::json& result) { return broken(result).empty(); }

}  // namespace umberhoist::lab
