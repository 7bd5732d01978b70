// Relays that talk to each other: the configuration's `fleet` section. docs/fleet-view.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::relay {

using tcp = boost::asio::ip::tcp;

struct FleetSettings {
  struct Peer {
    std::string name;
    tcp::endpoint address;
    bool voter = false;
  };
  struct Budgets {       // wholes that all relays share. docs/budgets.md.
    double floor = 0.2;  // share of each that is divided evenly and needs no talk
    Time burst = 0;      // so much of its part a relay may save up
  };
  std::string cluster;
  tcp::endpoint bind;       // UDP, and TCP where relays agree
  std::vector<Peer> peers;  // all relays, this one too
  Time period = 0;
  Time term = 0;                   // that a right granted by others lasts
  bool isolated_serves = false;    // a relay that hears nobody goes on taking messages on
  bool count_view = false;         // relays are counted as the view shows them, not as the settings say
  std::optional<Budgets> budgets;  // none: each relay takes an even part as its own
};

// `name` is this relay's, `allowed` whether the settings let relays talk at all. Throws std::invalid_argument
// with one line that says which key is missing or unreadable, and umberhoist::Fault where that is one of the
// budgets'.
FleetSettings parse_fleet(const nlohmann::json& from, const std::string& name, bool allowed);

}  // namespace firspool::relay
