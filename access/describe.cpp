// Rules for a person.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "rules.h"

namespace umberhoist::access {

std::string describe(const Rules& rules) {
  std::string out;
  for (const Customer& c : rules.customers) {
    out += "customer " + c.name + ": " + std::to_string(c.rules.size() - 1) + " rules, else " +
           kSays[static_cast<size_t>(c.rules.back().say)] + "\n";
    for (const Rule& r : c.rules) {
      if (&r == &c.rules.back()) continue;
      out += "  " + r.id + ": " + kSays[static_cast<size_t>(r.say)];
      const auto list = [&](const char* what, const Bits& set, const std::vector<std::string>& names) {
        if (set.size() == 0 || set.all()) return;
        out += std::string(" ") + what;
        char between = '=';
        set.each([&](size_t i) { out += std::exchange(between, ',') + names[i]; });
      };
      list("class", r.classes, rules.names.classes);
      char between = '=';
      if (!r.partners.empty()) out += " partner";
      for (const int partner : r.partners) out += std::exchange(between, ',') + std::to_string(partner);
      list("kind", r.kinds, rules.names.kinds);
      list("from", r.from, rules.names.zones);
      list("to", r.to, rules.names.zones);
      list("first", r.near, rules.names.zones);
      if (r.say == Say::kLimit) out += " per_s=" + nlohmann::json(r.per_s).dump();
      out += "\n";
    }
  }
  return out;
}

bool names_kept(const Names& old, const Names& next) {
  const auto begins = [](const std::vector<std::string>& a, const std::vector<std::string>& b) {
    return a.size() <= b.size() && std::equal(a.begin(), a.end(), b.begin());
  };
  return begins(old.zones, next.zones) && begins(old.kinds, next.kinds);
}

}  // namespace umberhoist::access
