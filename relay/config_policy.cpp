#include "config_policy.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "../fleet/agreement.h"

namespace firspool::relay {
namespace {

using nlohmann::json;

constexpr const char* kPolicyKeys[] = {"bounds",           "categories", "obligations",
                                       "over_share_worth", "prices",     "realms"};

json policy_part(const json& settings) {
  json out = json::object();
  for (const char* key : kPolicyKeys) {
    if (settings.contains(key)) out[key] = settings[key];
  }
  return out;
}

}  // namespace

std::string policy_of(const Config& config) {
  return policy_part(json::parse(config.text).at("settings")).dump();
}

std::string policy_in(const std::string& file) {
  const json root = json::parse(file);
  if (!root.is_object()) throw std::invalid_argument("the policy is not an object");
  if (root.contains("settings")) return policy_part(root["settings"]).dump();
  for (const auto& [key, value] : root.items()) {
    if (std::ranges::find(kPolicyKeys, key) == std::end(kPolicyKeys)) {
      throw std::invalid_argument(key + " is no part of the fleet's policy");
    }
  }
  return root.dump();
}

size_t policy_disk(const Config& config) { return config.fleet ? config.disk_bytes / 4 : 0; }

size_t most_policy(const Config& config) {
  using umberhoist::fleet::kMaxFileOverheadBytes, umberhoist::fleet::kMaxFilePolicies;
  const size_t file = policy_disk(config) / 2;
  return std::min(umberhoist::fleet::kMaxPolicyBytes,
                  (file - std::min(file, kMaxFileOverheadBytes)) / kMaxFilePolicies);
}

Config with_policy(const Config& config, const std::string& policy) {
  const json wanted = json::parse(policy);
  json root = json::parse(config.text);
  json& settings = root.at("settings");
  for (const char* key : kPolicyKeys) {
    settings.erase(key);
    if (wanted.contains(key)) settings[key] = wanted[key];
  }
  Config out = parse_config(root.dump(), config.state);
  out.path = config.path;
  out.listen = config.listen;
  out.operator_address = config.operator_address;
  out.inherited = config.inherited;
  return out;
}

std::string policy_fault(const Config& config, const std::string& policy) {
  const json old = json::parse(policy_of(config)), next = json::parse(policy);
  if (const std::string key = missing_key(old, next); !key.empty()) return key + " is missing";
  // A class that goes while one like it comes was renamed: clients that name the old one would be turned
  // away.
  const json none = json::array();
  const auto named = [](const json& classes, const std::string& name) {
    return std::ranges::any_of(classes, [&](const json& c) { return c.value("name", "") == name; });
  };
  const json& before = old.contains("categories") ? old["categories"] : none;
  const json& after = next.contains("categories") ? next["categories"] : none;
  for (const json& gone : before) {
    if (named(after, gone.value("name", ""))) continue;
    for (json come : after) {
      const std::string name = come.value("name", "");
      if (named(before, name)) continue;
      come["name"] = gone["name"];
      if (come == gone) {
        return "class " + gone.value("name", "") + " is renamed " + name +
               ": add the new one first, and remove the old one later";
      }
    }
  }
  return "";
}

}  // namespace firspool::relay
