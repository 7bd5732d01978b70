#include "shrink.h"

#include <algorithm>

namespace umberhoist::lab {

Shrunk shrink(const toml::table& given, const std::string& oracle, int most_plays,
              const std::function<nlohmann::json(const toml::table&)>& replay) {
  Shrunk out;
  out.table = given;
  // A fault's draws are its own: it keeps its figures when others are gone.
  if (toml::array* faults = out.table["fault"].as_array()) {
    for (size_t i = 0; i < faults->size(); ++i) {
      toml::table* fault = faults->get(i)->as_table();
      if (!fault->contains("stream")) fault->insert("stream", static_cast<int64_t>(i));
    }
    out.faults_before = static_cast<int>(faults->size());
  }
  const auto still = [&](const toml::table& candidate) {
    if (out.plays >= most_plays) return false;
    ++out.plays;
    try {
      return std::ranges::count(broken(replay(candidate)), oracle) > 0;
    } catch (const Unusable&) {
      return false;
    }
  };
  const auto attempt = [&](toml::table candidate) {
    if (!still(candidate)) return false;
    out.table = std::move(candidate);
    return true;
  };
  for (size_t i = 0; out.table["fault"].is_array() && i < out.table["fault"].as_array()->size();) {
    toml::table candidate = out.table;
    candidate["fault"].as_array()->erase(candidate["fault"].as_array()->begin() +
                                         static_cast<std::ptrdiff_t>(i));
    if (!attempt(candidate)) ++i;
  }
  // A fault's relays or partners are drawn from all that there are: their number is the last to change.
  const Scenario now = read_scenario(out.table);
  for (double length = now.length_s / 2; length >= 1; length /= 2) {
    toml::table candidate = out.table;
    candidate.insert_or_assign("length_s", length);
    if (!attempt(candidate)) break;
  }
  for (double rate = now.load.rate / 2; rate >= 1; rate /= 2) {
    toml::table candidate = out.table;
    if (!candidate.contains("load")) candidate.insert("load", toml::table{});
    candidate["load"].as_table()->insert_or_assign("rate", rate);
    if (!attempt(candidate)) break;
  }
  for (int relays = now.relays - 1; relays >= 1; --relays) {
    toml::table candidate = out.table;
    candidate.insert_or_assign("relays", static_cast<int64_t>(relays));
    if (!attempt(candidate)) break;
  }
  if (const toml::array* faults = out.table["fault"].as_array())
    out.faults_after = static_cast<int>(faults->size());
  out.table.insert_or_assign("name", now.name + "-shrunk");
  out.table.insert_or_assign("what", "Made smaller from " + now.name + ": breaks " + oracle + ".");
  return out;
}

}  // namespace umberhoist::lab
