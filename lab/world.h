// What the parts of a play share: the event loop, its clock, chance, the oracles and the figures.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "figures.h"
#include "oracle.h"
#include "part_oracles.h"
#include "plan.h"
#include "ports.h"

namespace umberhoist::lab {

using tcp = boost::asio::ip::tcp;

struct World {
  World(boost::asio::io_context& loop, const Scenario& given, const Plan& drawn);

  double now() const {  // seconds since the play began; below 0 before
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - origin).count();
  }
  void begin() { origin = std::chrono::steady_clock::now(); }
  // Calls once, after so many seconds, while the loop runs.
  void after(double seconds, std::function<void()> then);
  double unit() { return std::uniform_real_distribution<double>(0, 1)(chance); }

  boost::asio::io_context& io;
  const Scenario& scenario;
  const Plan& plan;
  std::chrono::steady_clock::time_point origin = std::chrono::steady_clock::now();
  Chance chance;
  Ports ports;
  Oracles oracles;
  PartOracles parts;
  Figures figures;
  // What partners and the platform tell the clients: a call was answered 200, a message was ended by a
  // notice.
  std::function<void(const std::string& id)> delivered;
  std::function<void(const std::string& id, bool returned, double after)> noticed;
};

inline tcp::endpoint loopback(uint16_t port = 0) { return {boost::asio::ip::address_v4::loopback(), port}; }
inline std::string text_of(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

}  // namespace umberhoist::lab
