// What a relay is told at its start: arguments, environment and JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "directory.h"

namespace firspool::relay {

// Relays that talk to each other: the configuration's `fleet` section. docs/fleet-view.md.
struct FleetSettings {
  struct Peer {
    std::string name;
    tcp::endpoint address;
    bool voter = false;
  };
  std::string cluster;
  tcp::endpoint bind;       // UDP, and TCP where relays agree
  std::vector<Peer> peers;  // all relays, this one too
  Time period = 0;
  Time term = 0;                 // that a right granted by others lasts
  bool isolated_serves = false;  // a relay that hears nobody goes on taking messages on
  bool count_view = false;       // relays are counted as the view shows them, not as the settings say
};

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
  std::optional<FleetSettings> fleet;  // none: relays do not talk
  HostList known;
};

// The settings as the path=value lines that parse_settings reads.
std::string flatten(const nlohmann::json& settings);

// A key that the old configuration has and the new one lacks; empty if there is none. Lists of objects, such
// as the classes, may change their entries.
std::string missing_key(const Config& old, const Config& next);

// Throws std::exception with one line that says what is missing or unreadable.
Config parse_config(const std::string& text, const std::string& state);
// Of the file; what the environment says of this process alone is laid over it.
Config load_config(const std::string& path, const std::string& state);

// The fleet's policy: the part of `settings` that all relays share. Its text is canonical: equal policies
// have equal texts.
std::string policy_of(const Config& config);
// Of a file that staff names: a configuration, or the policy alone. Throws std::exception.
std::string policy_in(const std::string& file);
// This configuration under another policy. Throws std::exception where it does not hold together.
Config with_policy(const Config& config, const std::string& policy);
// Of the disk, what a fleet's records of its policy may take (two files while one is replaced), and how long
// a policy may be for that; 0 without a fleet.
size_t policy_disk(const Config& config);
size_t most_policy(const Config& config);
// Why `policy` is no change that may be made to that of `config`; empty: it is one.
std::string policy_fault(const Config& config, const std::string& policy);

// A few lines for a person: what a configuration means.
std::string describe(const Config& config);

}  // namespace firspool::relay
