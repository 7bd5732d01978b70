// The network between relays: what one sends to another goes through the lab, each direction apart. A relay
// knows each peer by an address of the lab's; a datagram that comes to it goes on to the peer from the
// address by which the peer knows its sender, so that answers take the way back through the lab too. No
// special rights are needed.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include "world.h"

namespace umberhoist::lab {

using udp = boost::asio::ip::udp;

class PairNetwork {
 public:
  struct Way {  // one direction of one pair
    double loss = 0;
    double delay = 0;  // seconds, at least; as much again at random
    double duplicate = 0;
    double reorder = 0;  // this share waits for one delay more
    bool cut = false;
  };

  PairNetwork(World& world, int relays);
  ~PairNetwork();

  // The `fleet` section of a relay's configuration: its own address, and its peers as it may reach them.
  nlohmann::json section(int relay) const;
  tcp::endpoint bound(int relay) const { return bound_.at(static_cast<size_t>(relay)); }
  tcp::endpoint way_to(int from, int to) const;

  Way& way(int from, int to) { return ways_.at(index(from, to)); }
  // Between `side` and all others, until heal.
  void cut(const std::vector<int>& side, bool one_way);
  void disturb(const std::vector<int>& side, const Way& way);
  void heal();

  uint64_t carried() const { return carried_; }
  uint64_t lost() const { return lost_; }

 private:
  class Pipe;

  size_t index(int from, int to) const { return static_cast<size_t>(from * relays_ + to); }
  void receive(int from, int to);
  void carry(int from, int to, const std::string& bytes);
  void accept(int from, int to);
  // Both directions of each pair of which exactly one is in `side`; outward first.
  void each_between(const std::vector<int>& side, const std::function<void(Way& out, Way& in)>& apply);

  World& world_;
  int relays_;
  std::vector<tcp::endpoint> bound_;
  std::vector<Way> ways_;
  std::vector<std::unique_ptr<udp::socket>> sockets_;      // by pair: where `from` finds `to`
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;  // and over TCP, on the same port
  std::vector<std::vector<char>> buffers_;
  std::set<std::shared_ptr<Pipe>> pipes_;
  uint64_t carried_ = 0;
  uint64_t lost_ = 0;
};

}  // namespace umberhoist::lab
