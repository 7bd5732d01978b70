// Random rules, and a reference implementation that matches them on their text, to compare compiled rules
// with.
#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "../access/compiled_rules.h"

namespace umberhoist::access::testing {

using nlohmann::json;

inline const char* const kZones[] = {"dc1", "dc2", "dc3"};
inline const char* const kKinds[] = {"agent", "card"};

// A rule that denies everything, with the keys of `more` added or replaced.
inline json rule(json more) {
  json out = {{"id", "x"}, {"say", "deny"}};
  if (!more.is_null()) out.update(more);
  return out;
}

inline json settings_with(json rules, const std::string& default_action = "allow") {
  return {{"categories", {{{"name", "record"}}, {{"name", "status"}}}},
          {"kinds", {"agent", "card"}},
          {"azs", {"dc1", "dc2", "dc3"}},
          {"zone", 0},
          {"realms",
           {{{"name", "acme"}, {"access", {{"default", default_action}, {"rules", std::move(rules)}}}},
            {{"name", "free"}}}}};
}

inline json random_rule(std::mt19937& random, int number) {
  const auto random_subset = [&](json from) {
    std::shuffle(from.begin(), from.end(), random);
    from.erase(from.begin() + static_cast<long>(1 + random() % from.size()), from.end());
    return from;
  };
  json out = {{"id", "r" + std::to_string(number)}};
  const char* actions[] = {"allow", "deny", "prefer", "limit"};
  out["say"] = actions[random() % 4];
  if (random() % 2) out["class"] = random_subset({"record", "status"});
  if (random() % 2) out["partner"] = random_subset({1, 2});
  if (random() % 3 == 0) out["kind"] = random_subset({"agent", "card"});
  if (random() % 3 == 0) out["from"] = random_subset({"dc1", "dc2", "dc3"});
  if (random() % 2 || out["say"] == "prefer") out["to"] = random_subset({"dc1", "dc2", "dc3"});
  if (out["say"] == "limit") out["per_s"] = 5;
  return out;
}

inline bool matches(const json& rule, const char* key, const json& value) {
  return !rule.contains(key) || std::ranges::find(rule[key], value) != rule[key].end();
}

// The index of the first rule whose text matches, or the length of the list.
inline size_t first_matching_rule(const json& rules, const json& message_class, int partner, const json& kind,
                                  const json& from, const json& to) {
  size_t i = 0;
  for (; i < rules.size(); ++i) {
    const json& r = rules[i];
    if (matches(r, "class", message_class) && matches(r, "partner", partner) && matches(r, "kind", kind) &&
        matches(r, "from", from) && (r["say"] == "prefer" || matches(r, "to", to))) {
      break;
    }
  }
  return i;
}

// Calls `call` for each kind of message and each route that the settings of settings_with() distinguish.
template <typename Call>
void for_each_route(Call&& call) {
  for (const char* message_class : {"record", "status"}) {
    for (const int partner : {1, 2, 3}) {
      for (int from = 0; from < 3; ++from) {
        for (int to = 0; to < 3; ++to) {
          for (int kind = 0; kind < 2; ++kind) call(message_class, partner, from, to, kind);
        }
      }
    }
  }
}

}  // namespace umberhoist::access::testing
