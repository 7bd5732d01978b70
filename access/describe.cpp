// Renders rules as text for operators, and compares the names of two versions of the settings.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "rules.h"

namespace umberhoist::access {

std::string describe(const Rules& rules) {
  std::string out;
  for (const Customer& c : rules.customers) {
    out += "customer " + c.name + ": " + std::to_string(c.rules.size() - 1) + " rules, else " +
           kActionNames[static_cast<size_t>(c.rules.back().action)] + "\n";
    for (const Rule& r : c.rules) {
      if (&r == &c.rules.back()) continue;
      out += "  " + r.id + ": " + kActionNames[static_cast<size_t>(r.action)];
      const auto list = [&](const char* what, const Bitset& set, const std::vector<std::string>& names) {
        if (set.size() == 0 || set.all()) return;
        out += std::string(" ") + what;
        char separator = '=';
        set.for_each([&](size_t i) { out += std::exchange(separator, ',') + names[i]; });
      };
      list("class", r.classes, rules.names.classes);
      char separator = '=';
      if (!r.partners.empty()) out += " partner";
      for (const int partner : r.partners) out += std::exchange(separator, ',') + std::to_string(partner);
      list("kind", r.kinds, rules.names.kinds);
      list("from", r.from, rules.names.zones);
      list("to", r.to, rules.names.zones);
      list("first", r.preferred, rules.names.zones);
      if (r.action == Action::kLimit) out += " per_s=" + nlohmann::json(r.per_s).dump();
      out += "\n";
    }
  }
  return out;
}

bool names_compatible(const Names& old, const Names& next) {
  const auto is_prefix = [](const std::vector<std::string>& a, const std::vector<std::string>& b) {
    return a.size() <= b.size() && std::equal(a.begin(), a.end(), b.begin());
  };
  return is_prefix(old.zones, next.zones) && is_prefix(old.kinds, next.kinds);
}

}  // namespace umberhoist::access
