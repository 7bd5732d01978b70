#include "rules.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "shadow.h"

namespace umberhoist::access {
namespace {

using nlohmann::json;
using IndexByName = std::unordered_map<std::string, size_t>;

constexpr double kMaxRate = 1e9;  // calls a second

IndexByName index_by_name(const std::vector<std::string>& names) {
  IndexByName out;
  for (size_t i = 0; i < names.size(); ++i) out.emplace(names[i], i);
  return out;
}

std::vector<std::string> string_list(const json& settings, const char* key) {
  return settings.value(key, json::array()).get<std::vector<std::string>>();
}

std::string name_of(const json& realm) {
  const bool named = realm.is_object() && realm.contains("name") && realm["name"].is_string();
  return named ? realm["name"].get<std::string>() : "";
}

void check_keys(const json& value, const std::string& where, std::initializer_list<const char*> known) {
  if (!value.is_object()) throw OperatorError(kMalformed, where, "is not an object");
  for (const auto& [key, child] : value.items()) {
    if (std::ranges::find(known, key) == known.end())
      throw OperatorError(kUnknownKey, where, "has the unknown key " + key);
  }
}

// A list of the rule, or null if the key is missing. Sorts the list and removes duplicates in place, so that
// equal rules have equal digests.
const json* sorted_list(json& rule, const char* key, const std::string& where) {
  if (!rule.contains(key)) return nullptr;
  json& list = rule[key];
  if (!list.is_array() || list.empty()) {
    throw OperatorError(kMalformed, where,
                        std::string(key) + " is not a non-empty list; omit it to match everything");
  }
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
  return &list;
}

Bitset parse_names(const json* list, const IndexByName& known, const char* what, const std::string& where) {
  if (list == nullptr) return Bitset(known.size(), true);
  Bitset out(known.size());
  for (const json& item : *list) {
    const auto it = item.is_string() ? known.find(item.get_ref<const std::string&>()) : known.end();
    if (it == known.end())
      throw OperatorError(kUnknownName, where, "names the unknown " + std::string(what) + " " + item.dump());
    out.set(it->second);
  }
  return out;
}

std::vector<int> parse_partners(const json* list, const std::string& where) {
  std::vector<int> out;
  if (list == nullptr) return out;
  for (const json& item : *list) {
    if (!item.is_number_integer() || item.get<double>() < 0 ||
        item.get<double>() > std::numeric_limits<int>::max()) {
      throw OperatorError(kBadPartner, where, "names the invalid partner " + item.dump());
    }
    out.push_back(item.get<int>());
  }
  std::ranges::sort(out);
  return out;
}

void check_id(const json& rule, const std::string& where) {
  const json id = rule.value("id", json());
  const bool text = id.is_string();
  const std::string value = text ? id.get<std::string>() : "";
  const bool plain = std::ranges::all_of(
      value, [](unsigned char c) { return c > ' ' && c < 0x7f && c != '"' && c != '\'' && c != '\\'; });
  if (value.empty() || value.size() > kMaxIdBytes || !plain || value == kDefaultId) {
    throw OperatorError(
        kBadId, where,
        "has the invalid id " + (text ? "'" + value.substr(0, 2 * kMaxIdBytes) + "'" : id.dump()));
  }
}

uint64_t digest_of(const json& canonical) {
  const std::string text = canonical.dump(-1, ' ', true, json::error_handler_t::replace);
  return XXH64(text.data(), text.size(), 0);
}

struct KnownNames {
  IndexByName classes, kinds, zones;
};

Rule parse_rule(json text, const std::string& path, const KnownNames& known) {
  check_keys(text, path, {"id", "say", "class", "partner", "kind", "from", "to", "per_s"});
  check_id(text, path);
  Rule out;
  out.id = text["id"];
  const std::string where = path + " (" + out.id + ")";
  const json action = text.value("say", json());
  const auto found = std::ranges::find_if(kActionNames, [&](const char* s) { return action == s; });
  if (found == std::end(kActionNames))
    throw OperatorError(kUnknownAction, where, "has the unknown say " + action.dump());
  out.action = static_cast<Action>(found - std::begin(kActionNames));
  out.classes = parse_names(sorted_list(text, "class", where), known.classes, "class", where);
  out.partners = parse_partners(sorted_list(text, "partner", where), where);
  out.kinds = parse_names(sorted_list(text, "kind", where), known.kinds, "kind", where);
  out.from = parse_names(sorted_list(text, "from", where), known.zones, "region", where);
  const json* to = sorted_list(text, "to", where);
  out.to = parse_names(to, known.zones, "region", where);
  if (out.action == Action::kPrefer) {
    if (to == nullptr) throw OperatorError(kMalformed, where, "has no to list, which prefer requires");
    out.preferred = std::exchange(out.to, Bitset(known.zones.size(), true));
  }
  if ((out.action == Action::kLimit) != text.contains("per_s"))
    throw OperatorError(kBadRate, where, "has per_s without being a limit, or is a limit without per_s");
  if (out.action == Action::kLimit) {
    const json& rate = text["per_s"];
    out.per_s = rate.is_number() ? rate.get<double>() : 0;
    if (!(out.per_s > 0 && out.per_s <= kMaxRate))
      throw OperatorError(kBadRate, where, "has the invalid per_s " + rate.dump());
  }
  out.digest = digest_of(text);
  return out;
}

Rule default_rule(const json& access, const std::string& where, const KnownNames& known) {
  const json action = access.value("default", json());
  if (action != "allow" && action != "deny")
    throw OperatorError(kMalformed, where, "has a default that is neither allow nor deny");
  Rule out;
  out.id = kDefaultId;
  out.action = action == "allow" ? Action::kAllow : Action::kDeny;
  out.classes = Bitset(known.classes.size(), true);
  out.kinds = Bitset(known.kinds.size(), true);
  out.from = out.to = Bitset(known.zones.size(), true);
  out.digest = digest_of({{"default", action}});
  return out;
}

Customer parse_customer(const json& realm, const std::string& path, const KnownNames& known, size_t& count) {
  Customer out;
  out.name = name_of(realm);
  const std::string where = path + ".access";
  const json& access = realm["access"];
  check_keys(access, where, {"default", "rules"});
  Rule last = default_rule(access, where, known);
  const json rules = access.value("rules", json::array());
  if (!rules.is_array()) throw OperatorError(kMalformed, where + ".rules", "is not a list");
  count += rules.size();
  if (count > kMaxRules) {
    throw OperatorError(kTooManyRules, where + ".rules",
                        "exceeds " + std::to_string(kMaxRules) + " rules over all customers");
  }
  std::unordered_set<std::string> ids;
  for (const json& rule : rules) {
    const std::string key = where + ".rules." + std::to_string(out.rules.size());
    out.rules.push_back(parse_rule(rule, key, known));
    if (!ids.insert(out.rules.back().id).second)
      throw OperatorError(kDuplicateId, key, "repeats the id " + out.rules.back().id + " of an earlier rule");
  }
  out.rules.push_back(std::move(last));
  return out;
}

void check_reachable(const Customer& customer, const std::string& where, StepBudget& budget) {
  if (const auto shadow = find_shadowed_rule(customer, budget)) {
    const std::string coverer =
        shadow->covered_by < 0
            ? "earlier rules together"
            : "the earlier rule " + customer.rules[static_cast<size_t>(shadow->covered_by)].id;
    throw OperatorError(
        kShadowed,
        where + ".access.rules." + std::to_string(shadow->rule) + " (" + customer.rules[shadow->rule].id +
            ")",
        "is unreachable: " + coverer + " of " + customer.name + " decides every message that it matches");
  }
}

}  // namespace

Rules parse_rules(const json& settings) {
  Rules out;
  for (const json& c : settings.value("categories", json::array()))
    out.names.classes.push_back(c.value("name", ""));
  out.names.kinds = string_list(settings, "kinds");
  out.names.zones = string_list(settings, "azs");
  out.zone = settings.value("zone", 0);
  const json realms = settings.value("realms", json::array());
  if (!realms.is_array()) return out;
  std::unordered_map<std::string, int> uses_of_name;
  for (const json& realm : realms) ++uses_of_name[name_of(realm)];
  const KnownNames known{index_by_name(out.names.classes), index_by_name(out.names.kinds),
                         index_by_name(out.names.zones)};
  StepBudget budget;
  size_t index = 0;
  for (const json& realm : realms) {
    const std::string where = "settings.realms." + std::to_string(index++);
    if (!realm.is_object() || !realm.contains("access")) continue;
    const std::string name = name_of(realm);
    if (name.empty() || uses_of_name[name] > 1) {
      throw OperatorError(kNoUniqueCustomer, where, "has rules but no unique name");
    }
    out.customers.push_back(parse_customer(realm, where, known, out.count));
    check_reachable(out.customers.back(), where, budget);
  }
  const bool zone_known = out.zone >= 0 && static_cast<size_t>(out.zone) < out.names.zones.size();
  if (!out.empty() && !zone_known)
    throw OperatorError(kNoRegion, "settings.zone",
                        "is not an index into settings.azs, but customers have rules");
  return out;
}

}  // namespace umberhoist::access
