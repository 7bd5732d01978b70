#include "fleet_settings.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

#include "budget_faults.h"
#include "directory.h"

namespace firspool::relay {
namespace {

using nlohmann::json;

[[noreturn]] void bad_fleet(const std::string& key, const std::string& why) {
  throw std::invalid_argument("fleet." + key + " " + why);
}

Time fleet_time(const json& from, const char* key) {
  const json value = from.value(key, json());
  if (!value.is_number() || !(value.get<double>() > 0 && value.get<double>() <= 600'000)) {
    bad_fleet(key, "is not a time above 0 in milliseconds");
  }
  return static_cast<Time>(value.get<double>() * 1000);
}

std::string fleet_text(const json& from, const char* key, size_t most = 64) {
  const json value = from.value(key, json());
  if (!value.is_string() || value.get<std::string>().empty() || value.get<std::string>().size() > most) {
    bad_fleet(key, "is not a text of 1 to " + std::to_string(most) + " bytes");
  }
  return value.get<std::string>();
}

tcp::endpoint fleet_address(const json& from, const char* key, const std::string& at) {
  try {
    return parse_address(fleet_text(from, key));
  } catch (const std::exception&) {
    bad_fleet(at, "is no address");
  }
}

double budget_number(const json& from, const std::string& key, double most) {
  const json value = from.value(key, json());
  if (!value.is_number() || !(value.get<double>() > 0 && value.get<double>() <= most)) {
    throw umberhoist::OperatorError(kBudgetSettings, "fleet.budgets." + key,
                                    "is not a number above 0 and at most " + json(most).dump());
  }
  return value.get<double>();
}

FleetSettings::Budgets parse_budgets(const json& from) {
  if (!from.is_object())
    throw umberhoist::OperatorError(kBudgetSettings, "fleet.budgets", "is not an object");
  for (const auto& [key, value] : from.items()) {
    if (key == "floor" || key == "burst_ms") continue;
    throw umberhoist::OperatorError(kBudgetSettings, "fleet.budgets." + key, "is not known");
  }
  return {budget_number(from, "floor", 1), static_cast<Time>(budget_number(from, "burst_ms", 10'000) * 1000)};
}

}  // namespace

FleetSettings parse_fleet(const json& from, const std::string& name, bool allowed) {
  if (!from.is_object()) throw std::invalid_argument("fleet is not an object");
  if (!allowed) throw std::invalid_argument("fleet is given, but settings.bounds.peers does not allow it");
  FleetSettings out;
  out.cluster = fleet_text(from, "cluster");
  out.bind = fleet_address(from, "bind", "bind");
  out.period = fleet_time(from, "period_ms");
  out.term = fleet_time(from, "term_ms");
  if (out.term < 4 * out.period) bad_fleet("term_ms", "is under four periods");
  const std::string isolated = from.value("isolated", "refuse");
  if (isolated != "refuse" && isolated != "serve") bad_fleet("isolated", "is neither refuse nor serve");
  out.isolated_serves = isolated == "serve";
  const std::string count = from.value("count", "settings");
  if (count != "settings" && count != "view") bad_fleet("count", "is neither settings nor view");
  out.count_view = count == "view";
  if (from.contains("budgets")) out.budgets = parse_budgets(from["budgets"]);
  if (!from.contains("peers") || !from["peers"].is_array()) bad_fleet("peers", "is not a list");
  size_t own = 0, voters = 0;
  std::set<std::string> names;
  std::set<tcp::endpoint> addresses;
  for (const json& item : from["peers"]) {
    const std::string at = "peers." + std::to_string(out.peers.size());
    if (!item.is_object()) bad_fleet(at, "is not an object");
    FleetSettings::Peer peer;
    peer.name = item.value("name", "");
    if (peer.name.empty() || peer.name.size() > 64) bad_fleet(at + ".name", "is not a text of 1 to 64 bytes");
    peer.address = fleet_address(item, "address", at + ".address");
    peer.voter = item.value("voter", false);
    if (!names.insert(peer.name).second) bad_fleet(at + ".name", "is there twice");
    if (!addresses.insert(peer.address).second) bad_fleet(at + ".address", "is there twice");
    own += peer.name == name ? 1 : 0;
    voters += peer.voter ? 1 : 0;
    out.peers.push_back(std::move(peer));
  }
  if (own != 1) bad_fleet("peers", "does not name " + name);
  if (voters % 2 == 0) bad_fleet("peers", "has no odd number of voters");
  return out;
}

}  // namespace firspool::relay
