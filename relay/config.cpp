#include "config.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config_policy.h"
#include "lasting_file.h"
#include "outcomes.h"

namespace firspool::relay {
namespace {

using nlohmann::json;

constexpr Time kWriteDelay = 150'000;  // a relay may be held up for so long between its clock and its write

std::string scalar(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

void flatten_into(const json& value, const std::string& path, std::string& out) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [key, child] : value.items()) flatten_into(child, prefix + key, out);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    out += prefix + "count=" + std::to_string(value.size()) + "\n";
    for (size_t i = 0; i < value.size(); ++i) flatten_into(value[i], prefix + std::to_string(i), out);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + scalar(item);
    out += path + "=" + joined + "\n";
  } else {
    out += path + "=" + scalar(value) + "\n";
  }
}

// What the module's own reading lets pass: text for a number, and a class that has no name.
void check_classes(const json& settings) {
  const auto above_zero = [](const json& value, const std::string& name) {
    if (!value.is_number() || value.get<double>() <= 0) throw std::invalid_argument(name + " is not above 0");
  };
  above_zero(settings.at("bounds").at("max_attempts"), "settings.bounds.max_attempts");
  for (const json& item : settings.at("categories")) {
    above_zero(item.at("give_up_s"), "settings.categories.give_up_s");
    if (item.at("name").get<std::string>().empty()) throw std::invalid_argument("a class has no name");
  }
}

}  // namespace

std::string flatten(const json& settings) {
  std::string out;
  flatten_into(settings, "", out);
  return out;
}

Config parse_config(const std::string& text, const std::string& state) {
  const json root = json::parse(text);
  Config out;
  out.text = text;
  out.state = state;
  out.name = root.at("name").get<std::string>();
  out.listen = parse_address(root.at("listen").get<std::string>());
  out.discovery = parse_address(root.at("discovery").get<std::string>());
  if (root.contains("operator")) out.operator_address = parse_address(root["operator"].get<std::string>());
  out.seed = std::stoull(root.at("seed").get<std::string>(), nullptr, 16);
  const json& limits = root.at("limits");
  out.sockets = limits.at("sockets").get<size_t>();
  const double disk_mb = limits.at("disk_mb").get<double>();
  const double memory_mb = limits.at("memory_mb").get<double>();
  if (!(memory_mb > 0 && memory_mb < 1e6)) throw std::invalid_argument("limits.memory_mb is out of range");
  out.memory_bytes = static_cast<size_t>(memory_mb * 1e6);
  if (out.sockets < 64) throw std::invalid_argument("limits.sockets is under 64");
  if (!(disk_mb > 0 && disk_mb < 1e6)) throw std::invalid_argument("limits.disk_mb is out of range");
  out.disk_bytes = static_cast<size_t>(disk_mb * 1e6);
  const json& settings = root.at("settings");
  check_classes(settings);
  out.settings = parse_settings(flatten(settings));
  out.settings.write_delay = kWriteDelay;
  out.names.zones = settings.at("azs").get<std::vector<std::string>>();
  out.names.kinds = settings.at("kinds").get<std::vector<std::string>>();
  out.access = umberhoist::access::parse_rules(settings);
  const json report = settings.value("telemetry", json::object());
  out.report_fields = report.value("fields", std::vector<std::string>{});
  out.known = parse_list(root.at("known"), out.names);
  if (root.contains("feeds")) {
    const size_t relays = root.contains("fleet") ? root["fleet"].value("peers", json::array()).size() : 0;
    out.feeds = parse_feeds(root["feeds"], settings, root.contains("fleet"), relays, out.names.zones);
  }
  if (root.contains("fleet")) {
    out.fleet = parse_fleet(root["fleet"], out.name, out.settings.may_message_peers);
    if (const size_t longest = policy_of(out).size(); longest > most_policy(out)) {
      throw std::invalid_argument("limits.disk_mb leaves the fleet's policy " +
                                  std::to_string(most_policy(out)) + " bytes, and it has " +
                                  std::to_string(longest));
    }
  }
  return out;
}

std::string missing_key(const json& old, const json& next, const std::string& path) {
  if (!old.is_object()) return "";
  if (!next.is_object()) return path;
  for (const auto& [key, value] : old.items()) {
    const std::string at = path.empty() ? key : path + "." + key;
    if (!next.contains(key)) return at;
    if (const std::string below = missing_key(value, next[key], at); !below.empty()) return below;
  }
  return "";
}

std::string missing_key(const Config& old, const Config& next) {
  return missing_key(json::parse(old.text), json::parse(next.text));
}

Config load_config(const std::string& path, const std::string& state) {
  const std::string text = read_file(path);
  if (text.empty()) throw std::invalid_argument(path + " is empty or not there");
  Config out = parse_config(text, state);
  out.path = path;
  // Two processes may share the file during an upgrade: what the environment says is this one's own.
  if (const char* own = std::getenv("PROXY_OPERATOR"); own != nullptr && *own != '\0') {
    out.operator_address = parse_address(own);
  }
  if (const char* held = std::getenv("PROXY_INHERITED_FD"); held != nullptr && *held != '\0') {
    size_t end = 0;
    out.inherited = std::stoi(held, &end);
    if (held[end] != '\0' || *out.inherited < 0)
      throw std::invalid_argument("PROXY_INHERITED_FD is no descriptor");
  }
  return out;
}

std::string describe(const Config& config) {
  const Settings& s = config.settings;
  const auto seconds = [](Time t) { return json(static_cast<double>(t) / 1e6).dump() + " s"; };
  std::string out = "relay " + config.name + ", " + std::to_string(s.relay_index) + " of " +
                    std::to_string(s.relays) + "\n";
  const auto at = [](const tcp::endpoint& a) {
    return a.address().to_string() + ":" + std::to_string(a.port());
  };
  out += "clients at " + at(config.listen) + ", discovery at " + at(config.discovery) + ", operators " +
         (config.operator_address ? "at " + at(*config.operator_address) : "nowhere") + "\n";
  out += "limits: " + std::to_string(config.memory_bytes / 1'000'000) + " MB of memory, " +
         std::to_string(config.sockets) + " descriptors, " +
         json(static_cast<double>(config.disk_bytes) / 1e6).dump() + " MB on disk\n";
  out += "holds " + std::to_string(s.max_open) + " messages, " + std::to_string(s.max_in_flight) +
         " calls out, " + std::to_string(s.max_attempts) + " attempts for a message\n";
  static constexpr const char* kEffects[] = {"safe to repeat", "repeats dropped by key", "never repeated"};
  for (const ClassSettings& c : s.classes) {
    out += "class " + c.name + ": " + kEffects[static_cast<size_t>(c.effect)] + ", wanted within " +
           seconds(c.target) + ", given up at " + seconds(c.time_to_live) + "\n";
  }
  for (const TenantSettings& t : s.tenants) out += "tenant " + t.name + "\n";
  out += umberhoist::access::describe(config.access);
  out += std::to_string(config.known.hosts.size()) + " endpoints known, revision " +
         std::to_string(config.known.revision) + "\n";
  out += std::string("relays may ") + (s.may_message_peers ? "" : "not ") + "talk to each other, and may " +
         (s.may_probe ? "" : "not ") + "probe\n";
  if (config.fleet) {
    const auto voters = std::count_if(config.fleet->peers.begin(), config.fleet->peers.end(),
                                      [](const auto& peer) { return peer.voter; });
    out += "fleet " + config.fleet->cluster + " at " + at(config.fleet->bind) + ": " +
           std::to_string(config.fleet->peers.size()) + " relays, " + std::to_string(voters) +
           " of them voters\n";
  }
  if (config.feeds) {
    out += "feeds: " + std::to_string(config.feeds->feeds.size()) + " subscriptions, " +
           std::to_string(feed_disk(config) / 1000) + " kB of outcomes\n";
  }
  return out;
}

}  // namespace firspool::relay
