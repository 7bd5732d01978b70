#include "descriptors.h"

#include <algorithm>

#include "fleet_wire.h"
#include "operator.h"

namespace firspool::relay {
namespace {

constexpr size_t kOwnDescriptors = 24;

size_t most_idle(const Config& config) { return config.sockets / 6; }

}  // namespace

// Where a successor may come, it has descriptors of its own beside this process's.
size_t most_clients(const Config& config) {
  const size_t own = kOwnDescriptors + (config.operator_address ? Operator::kDescriptors : 0) +
                     (config.fleet ? FleetWire::descriptors(*config.fleet) : 0);
  const size_t others = (config.inherited ? 2 * own : own) +
                        static_cast<size_t>(config.settings.max_in_flight) + most_idle(config);
  return std::max(config.sockets / 3, config.sockets - std::min(others, config.sockets));
}

Upstream::Limits upstream_limits(const Config& config) {
  Upstream::Limits out;
  out.connect_timeout = config.settings.connect_timeout;
  out.idle = config.settings.conn_idle;
  out.most_idle = most_idle(config);
  return out;
}

}  // namespace firspool::relay
