// What a relay is told at its start: arguments, environment and JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "../access/rules.h"
#include "directory.h"
#include "feed_settings.h"
#include "fleet_settings.h"

namespace firspool::relay {

struct Config {
  std::string path;  // of the file
  std::string text;  // as it was read
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  std::optional<tcp::endpoint> operator_address;  // none: nobody asks
  std::optional<int> inherited;                   // the clients' listening socket, if the platform holds it
  std::string state;                              // the folder that lasts
  uint64_t seed = 0;
  size_t sockets = 1024;
  size_t disk_bytes = 0;
  size_t memory_bytes = 0;
  Settings settings;
  ListNames names;
  std::vector<std::string> report_fields;
  umberhoist::access::Rules access;    // of customers; empty: none has any
  std::optional<FleetSettings> fleet;  // none: relays do not talk
  std::optional<FeedSettings> feeds;   // none: customers have no feeds
  HostList known;
};

// The settings as the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// A key that the old configuration has and the new one lacks; empty if there is none. Lists of objects, such
// as the classes, may change their entries.
std::string missing_key(const Config& old, const Config& next);
// The same of parts of them; `path` leads to these parts and begins the answer.
std::string missing_key(const nlohmann::json& old, const nlohmann::json& next, const std::string& path = "");

// Throws std::exception with one line that says what is missing or unreadable.
Config parse_config(const std::string& text, const std::string& state);
// Of the file; what the environment says of this process alone is laid over it.
Config load_config(const std::string& path, const std::string& state);

// A few lines for a person: what a configuration means.
std::string describe(const Config& config);

}  // namespace firspool::relay
