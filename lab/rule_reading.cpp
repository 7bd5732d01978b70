#include "rule_reading.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace umberhoist::lab {
namespace {

template <typename Value>
bool matches(const std::vector<Value>& list, const Value& value) {
  return list.empty() || std::ranges::find(list, value) != list.end();
}

bool matches(const AccessRule& r, const Asked& m, const std::string& zone, const std::string& kind) {
  return matches(r.classes, m.message_class) && matches(r.partners, m.destination) &&
         matches(r.kinds, kind) && matches(r.from, m.from) && (r.say == "prefer" || matches(r.to, zone));
}

void add_once(std::vector<std::string>& to, const std::string& id) {
  if (std::ranges::find(to, id) == to.end()) to.push_back(id);
}

}  // namespace

Ruling rule(const CustomerRules& rules, const Asked& message, const std::vector<std::string>& zones,
            const std::vector<std::string>& kinds) {
  Ruling out;
  out.denied = !rules.otherwise.empty();
  for (const std::string& zone : zones) {
    for (const std::string& kind : kinds) {
      Ruling::Way way;
      way.allowed = rules.otherwise != "deny";
      way.rule = kDefaultRule;
      const auto first = std::ranges::find_if(
          rules.rules, [&](const AccessRule& r) { return matches(r, message, zone, kind); });
      if (first != rules.rules.end()) {
        way = {first->say != "deny", first->id, first->say == "limit" ? first->id : ""};
      }
      if (!rules.otherwise.empty()) add_once(out.hits, way.rule);
      if (way.allowed) {
        out.denied = false;
      } else {
        add_once(out.denying, way.rule);
      }
      out.ways[{zone, kind}] = way;
    }
  }
  return out;
}

nlohmann::json access_section(const CustomerRules& rules) {
  nlohmann::json list = nlohmann::json::array();
  for (const AccessRule& r : rules.rules) {
    nlohmann::json one = {{"id", r.id}, {"say", r.say}};
    if (!r.classes.empty()) one["class"] = r.classes;
    if (!r.partners.empty()) one["partner"] = r.partners;
    if (!r.kinds.empty()) one["kind"] = r.kinds;
    if (!r.from.empty()) one["from"] = r.from;
    if (!r.to.empty()) one["to"] = r.to;
    if (r.say == "limit") one["per_s"] = r.per_s;
    list.push_back(one);
  }
  return {{"default", rules.otherwise}, {"rules", list}};
}

}  // namespace umberhoist::lab
