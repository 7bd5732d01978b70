#include "world.h"

namespace umberhoist::lab {
namespace {

Rules rules_of(const Scenario& s) {
  Rules out;
  out.drain_grace = s.partners.drain_grace_s;
  out.memory_bytes = s.relay.memory_mb * 1e6;
  out.disk_bytes = s.relay.disk_mb * 1e6;
  out.sockets = s.relay.sockets;
  out.ready_within = s.relay.ready_s;
  return out;
}

}  // namespace

World::World(boost::asio::io_context& loop, const Scenario& given, const Plan& drawn)
    : io(loop),
      scenario(given),
      plan(drawn),
      chance(drawn.seed, 3),
      ports(loop),
      oracles(rules_of(given), given.relays),
      parts(given, drawn),
      figures(given, drawn) {}

void World::after(double seconds, std::function<void()> then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      io, std::chrono::duration_cast<std::chrono::nanoseconds>(
              std::chrono::duration<double>(std::max(0.0, seconds))));
  timer->async_wait([timer, then = std::move(then)](const boost::system::error_code& error) {
    if (!error) then();
  });
}

}  // namespace umberhoist::lab
