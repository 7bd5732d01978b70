// Binds outcome feeds (feeds/service.h) to this process: channel 'f' of the fleet's wire, the clients' FEED
// commands, the voter's file "feeds.records" in the folder, a timer, METRICS and staff's FEEDS call. Thin:
// what is decided is decided in feeds/.
//
// A write of the voter's file that fails ends the service's object, as a crash would: sessions here end, and
// it is made anew from the file once a second.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "../feeds/service.h"
#include "clients.h"
#include "custody.h"
#include "fleet_wire.h"
#include "lasting_file.h"

namespace firspool::relay {

class FeedLink {
 public:
  static constexpr const char* kCommands[] = {"FEED.OPEN", "FEED.READ", "FEED.ACK"};

  // How many outcomes a second may be read here, as so many are wanted now; the fleet's budget says.
  using Budget = std::function<double(double wanted)>;

  // Without a budget the configured whole is divided evenly over the configured relays.
  FeedLink(boost::asio::io_context& io, const Config& config, FleetWire& wire, Custody& custody,
           Outcomes& outcomes, Budget budget);
  // Each command under way is answered.
  ~FeedLink();
  FeedLink(const FeedLink&) = delete;
  FeedLink& operator=(const FeedLink&) = delete;

  // One of kCommands. Throws std::invalid_argument where its words are not what it takes.
  void command(const Clients::Words& words, Clients::Answer answer);
  void retune(const Config& config);

  std::string call() const;     // the reply to FEEDS
  std::string figures() const;  // lines of METRICS

 private:
  void begin();
  void end();
  void step();
  void arm();
  void tick();
  umberhoist::feeds::Service::Settings settings() const;

  Config config_;
  FleetWire& wire_;
  Custody& custody_;
  Outcomes& outcomes_;
  Budget budget_;
  LastingFile file_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer tick_;
  std::optional<umberhoist::feeds::Service> service_;  // none: its file could not be written
  uint64_t given_ = 0;                                 // outcomes, at the last tick
  bool stepping_ = false;
};

// A command's answer on the wire: JSON as one bulk string, "+OK", or "-FEED CODE what".
std::string feed_line(const umberhoist::feeds::Service::Reply& reply);

}  // namespace firspool::relay
