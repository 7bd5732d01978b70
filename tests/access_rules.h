// Random lists of rules, and a plain walk over their text to hold the compiled ones against.
#pragma once

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

#include "../access/compiled.h"

namespace umberhoist::access::testing {

using nlohmann::json;

inline const char* const kZones[] = {"dc1", "dc2", "dc3"};
inline const char* const kKinds[] = {"agent", "card"};

// Denies all, but for what is said otherwise.
inline json rule(json more) {
  json out = {{"id", "x"}, {"say", "deny"}};
  if (!more.is_null()) out.update(more);
  return out;
}

inline json settings_with(json rules, const std::string& otherwise = "allow") {
  return {{"categories", {{{"name", "record"}}, {{"name", "status"}}}},
          {"kinds", {"agent", "card"}},
          {"azs", {"dc1", "dc2", "dc3"}},
          {"zone", 0},
          {"realms",
           {{{"name", "acme"}, {"access", {{"default", otherwise}, {"rules", std::move(rules)}}}},
            {{"name", "free"}}}}};
}

inline json random_rule(std::mt19937& random, int number) {
  const auto some = [&](json from) {
    std::shuffle(from.begin(), from.end(), random);
    from.erase(from.begin() + static_cast<long>(1 + random() % from.size()), from.end());
    return from;
  };
  json out = {{"id", "r" + std::to_string(number)}};
  const char* says[] = {"allow", "deny", "prefer", "limit"};
  out["say"] = says[random() % 4];
  if (random() % 2) out["class"] = some({"record", "status"});
  if (random() % 2) out["partner"] = some({1, 2});
  if (random() % 3 == 0) out["kind"] = some({"agent", "card"});
  if (random() % 3 == 0) out["from"] = some({"dc1", "dc2", "dc3"});
  if (random() % 2 || out["say"] == "prefer") out["to"] = some({"dc1", "dc2", "dc3"});
  if (out["say"] == "limit") out["per_s"] = 5;
  return out;
}

inline bool names(const json& rule, const char* key, const json& value) {
  return !rule.contains(key) || std::ranges::find(rule[key], value) != rule[key].end();
}

// The first rule whose text matches; its number, or the length of the list.
inline size_t walk(const json& rules, const json& message_class, int partner, const json& kind,
                   const json& from, const json& to) {
  size_t i = 0;
  for (; i < rules.size(); ++i) {
    const json& r = rules[i];
    if (names(r, "class", message_class) && names(r, "partner", partner) && names(r, "kind", kind) &&
        names(r, "from", from) && (r["say"] == "prefer" || names(r, "to", to))) {
      break;
    }
  }
  return i;
}

// Calls on each message and way that the settings of settings_with() can tell apart.
template <typename Call>
void each_way(Call&& call) {
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
