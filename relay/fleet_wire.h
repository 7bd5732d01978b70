// Messages between relays that are too long for datagrams: frames over TCP, one connection a pair where one
// is enough. The side that dials says who it is first; the other checks the name against the peers'
// addresses.
//
// Promised: a message comes whole, in order with the others of its connection, or not at all; a peer that
// does not read or answer is let go after kSilence periods and dialled anew. Bounds: kMostQueued bytes wait
// for a peer (what comes after is dropped and counted), kMostUnnamed connections have not said who they are,
// two are held for each peer, and a frame has at most `most_frame` bytes.
//
// Channels: parts of their own share the connections. A frame whose first byte is a channel that is listened
// to goes there; all others go to the owner (theirs begin with CBOR's byte of a list, which is no letter).
// Frames of a channel that nobody listens to are dropped by their reader: an older build, or one with the
// part off.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fleet_settings.h"

namespace firspool::relay {

class FleetWire {
 public:
  using Heard = std::function<void(const std::string& from, std::string_view bytes)>;
  static constexpr size_t kMostQueued = 4'000'000;
  static constexpr size_t kMostUnnamed = 8;
  static constexpr int kSilence = 4;

  // Listens at once; throws boost::system::system_error.
  FleetWire(boost::asio::io_context& io, const FleetSettings& settings, std::string name, size_t most_frame,
            Heard heard);
  ~FleetWire();

  void send(const std::string& to, std::string bytes);
  // `channel`: a letter. Each message must be answered by some message, or the peer is taken for silent.
  void send(const std::string& to, char channel, std::string_view bytes) {
    send(to, channel + std::string(bytes));
  }
  void listen(char channel, Heard heard) { channels_[channel] = std::move(heard); }
  void hush(char channel) { channels_.erase(channel); }
  // Of other peers; connections of those that are gone end.
  void retune(const FleetSettings& settings);

  size_t connections() const { return links_.size(); }
  uint64_t sent() const { return sent_; }
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t dropped() const { return dropped_; }

  // Descriptors that it may hold at once, its listener with them.
  static size_t descriptors(const FleetSettings& settings) {
    return 2 * settings.peers.size() + kMostUnnamed + 2;
  }

 private:
  class Link;

  void accept();
  Link* link_to(const std::string& peer);
  const FleetSettings::Peer* find(const std::string& peer) const;  // null: not configured
  void named(Link& link);
  void heard(const std::string& from, std::string_view bytes);

  boost::asio::io_context& io_;
  FleetSettings settings_;
  std::string name_;
  size_t most_frame_;
  Heard heard_;
  std::map<char, Heard> channels_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::list<std::shared_ptr<Link>> links_;  // the oldest first
  std::map<std::string, Time> dialled_;
  uint64_t sent_ = 0;
  uint64_t sent_bytes_ = 0;
  uint64_t dropped_ = 0;
};

}  // namespace firspool::relay
