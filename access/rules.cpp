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
using Numbers = std::unordered_map<std::string, size_t>;

constexpr double kMostRate = 1e9;

Numbers numbered(const std::vector<std::string>& names) {
  Numbers out;
  for (size_t i = 0; i < names.size(); ++i) out.emplace(names[i], i);
  return out;
}

std::vector<std::string> names_in(const json& settings, const char* key) {
  return settings.value(key, json::array()).get<std::vector<std::string>>();
}

std::string name_of(const json& realm) {
  const bool named = realm.is_object() && realm.contains("name") && realm["name"].is_string();
  return named ? realm["name"].get<std::string>() : "";
}

void only_keys(const json& value, const std::string& where, std::initializer_list<const char*> known) {
  if (!value.is_object()) throw OperatorError(kMalformed, where, "is not an object");
  for (const auto& [key, child] : value.items()) {
    if (std::ranges::find(known, key) == known.end())
      throw OperatorError(kUnknownKey, where, "has the unknown key " + key);
  }
}

// A list of the text, or null where there is none. Sorted, each entry once, so that equal rules have equal
// texts.
const json* list_in(json& rule, const char* key, const std::string& where) {
  if (!rule.contains(key)) return nullptr;
  json& list = rule[key];
  if (!list.is_array() || list.empty()) {
    throw OperatorError(kMalformed, where,
                        std::string(key) + " is not a list of one or more; leave it out to match all");
  }
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
  return &list;
}

Bits names_of(const json* list, const Numbers& known, const char* what, const std::string& where) {
  if (list == nullptr) return Bits(known.size(), true);
  Bits out(known.size());
  for (const json& item : *list) {
    const auto it = item.is_string() ? known.find(item.get_ref<const std::string&>()) : known.end();
    if (it == known.end())
      throw OperatorError(kUnknownName, where, "names the unknown " + std::string(what) + " " + item.dump());
    out.set(it->second);
  }
  return out;
}

std::vector<int> partners_of(const json* list, const std::string& where) {
  std::vector<int> out;
  if (list == nullptr) return out;
  for (const json& item : *list) {
    if (!item.is_number_integer() || item.get<double>() < 0 ||
        item.get<double>() > std::numeric_limits<int>::max()) {
      throw OperatorError(kBadPartner, where, "names the partner " + item.dump());
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
  if (value.empty() || value.size() > kMostId || !plain || value == kDefault) {
    throw OperatorError(kBadId, where,
                        "has the id " + (text ? "'" + value.substr(0, 2 * kMostId) + "'" : id.dump()));
  }
}

uint64_t digest_of(const json& canonical) {
  const std::string text = canonical.dump(-1, ' ', true, json::error_handler_t::replace);
  return XXH64(text.data(), text.size(), 0);
}

struct Known {
  Numbers classes, kinds, zones;
};

Rule parse_rule(json text, const std::string& at, const Known& known) {
  only_keys(text, at, {"id", "say", "class", "partner", "kind", "from", "to", "per_s"});
  check_id(text, at);
  Rule out;
  out.id = text["id"];
  const std::string where = at + " (" + out.id + ")";
  const json say = text.value("say", json());
  const auto word = std::ranges::find_if(kSays, [&](const char* s) { return say == s; });
  if (word == std::end(kSays)) throw OperatorError(kUnknownSay, where, "says " + say.dump());
  out.say = static_cast<Say>(word - std::begin(kSays));
  out.classes = names_of(list_in(text, "class", where), known.classes, "class", where);
  out.partners = partners_of(list_in(text, "partner", where), where);
  out.kinds = names_of(list_in(text, "kind", where), known.kinds, "kind", where);
  out.from = names_of(list_in(text, "from", where), known.zones, "region", where);
  const json* to = list_in(text, "to", where);
  out.to = names_of(to, known.zones, "region", where);
  if (out.say == Say::kPrefer) {
    if (to == nullptr) throw OperatorError(kMalformed, where, "prefers no region: to is missing");
    out.near = std::exchange(out.to, Bits(known.zones.size(), true));
  }
  if ((out.say == Say::kLimit) != text.contains("per_s"))
    throw OperatorError(kBadRate, where, "and per_s do not go together");
  if (out.say == Say::kLimit) {
    const json& rate = text["per_s"];
    out.per_s = rate.is_number() ? rate.get<double>() : 0;
    if (!(out.per_s > 0 && out.per_s <= kMostRate))
      throw OperatorError(kBadRate, where, "has per_s " + rate.dump());
  }
  out.digest = digest_of(text);
  return out;
}

Rule default_rule(const json& access, const std::string& where, const Known& known) {
  const json say = access.value("default", json());
  if (say != "allow" && say != "deny")
    throw OperatorError(kMalformed, where, "has a default that is neither allow nor deny");
  Rule out;
  out.id = kDefault;
  out.say = say == "allow" ? Say::kAllow : Say::kDeny;
  out.classes = Bits(known.classes.size(), true);
  out.kinds = Bits(known.kinds.size(), true);
  out.from = out.to = Bits(known.zones.size(), true);
  out.digest = digest_of({{"default", say}});
  return out;
}

Customer parse_customer(const json& realm, const std::string& at, const Known& known, size_t& count) {
  Customer out;
  out.name = name_of(realm);
  const std::string where = at + ".access";
  const json& access = realm["access"];
  only_keys(access, where, {"default", "rules"});
  Rule last = default_rule(access, where, known);
  const json rules = access.value("rules", json::array());
  if (!rules.is_array()) throw OperatorError(kMalformed, where + ".rules", "is not a list");
  count += rules.size();
  if (count > kMostRules) {
    throw OperatorError(kTooMany, where + ".rules",
                        "is above " + std::to_string(kMostRules) + " rules of all customers");
  }
  std::unordered_set<std::string> ids;
  for (const json& rule : rules) {
    const std::string key = where + ".rules." + std::to_string(out.rules.size());
    out.rules.push_back(parse_rule(rule, key, known));
    if (!ids.insert(out.rules.back().id).second)
      throw OperatorError(kIdTwice, key, "has the id " + out.rules.back().id + " again");
  }
  out.rules.push_back(std::move(last));
  return out;
}

void check_reach(const Customer& customer, const std::string& where, Work& work) {
  if (const auto s = first_shadowed(customer, work)) {
    const std::string by = s->by < 0 ? "earlier rules together"
                                     : "the earlier rule " + customer.rules[static_cast<size_t>(s->by)].id;
    throw OperatorError(
        kShadowed,
        where + ".access.rules." + std::to_string(s->rule) + " (" + customer.rules[s->rule].id + ")",
        "is reached by no message: " + by + " of " + customer.name + " decides all that it matches");
  }
}

}  // namespace

Rules parse_rules(const json& settings) {
  Rules out;
  for (const json& c : settings.value("categories", json::array()))
    out.names.classes.push_back(c.value("name", ""));
  out.names.kinds = names_in(settings, "kinds");
  out.names.zones = names_in(settings, "azs");
  out.zone = settings.value("zone", 0);
  const json realms = settings.value("realms", json::array());
  if (!realms.is_array()) return out;
  std::unordered_map<std::string, int> named;
  for (const json& realm : realms) ++named[name_of(realm)];
  const Known known{numbered(out.names.classes), numbered(out.names.kinds), numbered(out.names.zones)};
  Work work;
  size_t at = 0;
  for (const json& realm : realms) {
    const std::string where = "settings.realms." + std::to_string(at++);
    if (!realm.is_object() || !realm.contains("access")) continue;
    const std::string name = name_of(realm);
    if (name.empty() || named[name] > 1) {
      throw OperatorError(kNoCustomer, where, "has rules, but no name of its own");
    }
    out.customers.push_back(parse_customer(realm, where, known, out.count));
    check_reach(out.customers.back(), where, work);
  }
  const bool placed = out.zone >= 0 && static_cast<size_t>(out.zone) < out.names.zones.size();
  if (!out.empty() && !placed)
    throw OperatorError(kNoRegion, "settings.zone", "is no region, and customers have rules");
  return out;
}

}  // namespace umberhoist::access
