// Binds the fleet's agreement on its policy (fleet/agreement) to this process: connections to the other
// relays, the file in the folder that lasts, a clock that goes on while the machine sleeps, the log, METRICS
// and staff's POLICY calls. Thin: what is decided is decided in fleet/.
//
// The door: new messages may be taken on while open() says so. A process that is stopped between that
// question and the writing of a message's record takes that one message on late: that is the whole window.
//
// A write that fails ends the agreement's object, as a crash would; it is made anew from the file once a
// second. The file lasts as the journal does: over the process's death, not over the machine's.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "../fleet/agreement.h"
#include "config.h"
#include "fleet_wire.h"
#include "lasting_file.h"

namespace firspool::relay {

class PolicyLink {
 public:
  struct Host {
    std::function<std::string(const std::string& policy)> check;  // why it cannot be held here; empty: it can
    std::function<std::string(const std::string& policy)> fault;  // why it is no change to be proposed
    std::function<void(const std::string& policy)> adopt;         // these are the rules from now on
    umberhoist::fleet::LeasePiggyback* rider = nullptr;           // goes along with the leases; outlives this
  };

  // Listens and begins. Throws std::exception where the address is taken.
  PolicyLink(boost::asio::io_context& io, const Config& config, std::string program, Host host);

  bool open() const;
  void turned_away() { ++turned_away_; }  // a client, as it is not open
  std::string closed() const;             // why it is not open; empty: it is

  void retune(const Config& config);
  void leave();

  std::string call(const std::string& rest);  // POLICY's
  std::string figures() const;
  FleetWire& wire() { return wire_; }  // the relays' connections, for other parts' channels

  // The policy that the folder holds, where there is a fleet and it holds one.
  static std::optional<std::string> stored(const Config& config);

 private:
  void begin();
  void step();
  void arm();
  void end(const std::string& why);  // a write failed
  umberhoist::fleet::Agreement::Settings settings() const;
  std::string status() const;
  std::string history() const;
  std::string propose(const std::string& id, const std::string& path);

  boost::asio::io_context& io_;
  FleetSettings fleet_;
  std::string name_;
  std::string program_;
  std::string own_;  // the policy of this relay's configuration
  Host host_;
  LastingFile file_;
  FleetWire wire_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::optional<umberhoist::fleet::Agreement> agreement_;
  std::string ended_;  // why there is none
  bool leaving_ = false;
  bool stepping_ = false;
  Time until_ = 0;
  uint64_t turned_away_ = 0;
};

// The configuration under the policy that its folder holds, where it can be held.
Config under_stored_policy(Config config);

}  // namespace firspool::relay
