// Binds the fleet's state machines to this process: a UDP socket, the steady clock, the folder that lasts,
// the log and METRICS. Thin: what is decided is decided in fleet/.
//
// Without the configuration's `fleet` section no such object is made, and not a socket, timer or file of it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>

#include "../fleet/membership.h"
#include "../fleet/relay_count.h"
#include "budget.h"
#include "config.h"
#include "incarnation.h"
#include "policy_link.h"

namespace firspool::relay {

class FleetLink {
 public:
  using Counted = std::function<void(int relays)>;  // for so many this relay counts from now on

  // Binds and joins. Throws std::exception where the address is taken: another process has this name.
  FleetLink(boost::asio::io_context& io, const Config& config, std::string program, Counted counted,
            PolicyLink::Host host);
  ~FleetLink();

  // Peers of another configuration; its own address stays.
  void retune(const Config& config);
  // Says that this relay leaves; it answers until it is gone.
  void leave();

  PolicyLink& policy() { return *policy_; }
  const PolicyLink& policy() const { return *policy_; }

  FleetWire& wire() { return policy_->wire(); }
  // Of the other relays: those that the view shows alive; and since when one is not (0: it is, or never was
  // seen).
  std::vector<std::string> live_peers() const;
  Time gone_since(const std::string& name) const;

  // The reply to FLEET: a line each member, then END.
  std::string members() const;
  // Lines of METRICS.
  std::string figures() const;

 private:
  using udp = boost::asio::ip::udp;

  static umberhoist::fleet::Membership::Settings membership_settings(const Config& config,
                                                                     std::string version);
  void learn_addresses();
  void receive();
  void step();  // after each call on the machine: sends, writes down, tells
  void arm();
  void tell(const umberhoist::fleet::Membership::Event& event);

  boost::asio::io_context& io_;
  FleetSettings settings_;
  Counted counted_;
  udp::socket socket_;
  boost::asio::steady_timer timer_;
  IncarnationFile incarnation_;
  umberhoist::fleet::Membership view_;
  umberhoist::fleet::RelayCount count_;
  std::optional<PolicyLink> policy_;  // once the address is this process's
  std::map<std::string, udp::endpoint> addresses_;
  std::map<udp::endpoint, std::string> names_;
  udp::endpoint sender_;
  std::array<char, 2048> buffer_;  // longer ones are cut short, and malformed
  uint64_t sent_ = 0;
  uint64_t sent_bytes_ = 0;
  uint64_t unsent_ = 0;  // the socket's buffer was full, or the network unreachable
  uint64_t unknown_address_ = 0;
  Time lines_since_ = 0;  // log lines are bounded
  int lines_ = 0;
  int lines_left_out_ = 0;
};

}  // namespace firspool::relay
