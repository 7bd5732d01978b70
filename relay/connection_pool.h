// Idle connections to hosts, kept to be used again until shortly before the host closes them.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <vector>

#include "budget.h"
#include "directory.h"

namespace firspool::relay {

// How long an idle connection may be used again whose host closes it after `idle`: a second less, of a
// time under two seconds half.
constexpr Time reuse_for(Time idle) { return idle - std::min(Time{1'000'000}, idle / 2); }

class ConnectionPool {
 public:
  struct Limits {
    Time idle = 0;  // a host closes a connection that has been idle for so long
    size_t most = 256;
  };
  struct Idle {
    tcp::socket socket;
    Time since = 0;
  };

  ConnectionPool(boost::asio::io_context& io, Limits limits);

  // The one that was used last of those that can be used; none: a new connection has to be made.
  std::optional<Idle> acquire(const Endpoint& endpoint, const tcp::endpoint& address);
  void release(const Endpoint& endpoint, tcp::socket socket);  // closes it where there is no room
  void close(const Endpoint& endpoint);
  void close_all();
  void retune(Limits limits) { limits_ = limits; }
  size_t size() const { return size_; }

 private:
  void evict_stale();

  Limits limits_;
  boost::asio::steady_timer evict_timer_;
  size_t size_ = 0;
  std::map<Endpoint, std::vector<Idle>> idle_;  // the most recently used last
};

}  // namespace firspool::relay
