// Descriptors are shared out so that no side starves another: the relay's own, the calls that may be out,
// idle connections to hosts; clients and peers that only keep a place have the rest.
#pragma once

#include <cstddef>

#include "config.h"
#include "upstream.h"

namespace firspool::relay {

// Connections of clients at once.
size_t most_clients(const Config& config);
// Of the calls' side; with its times.
Upstream::Limits upstream_limits(const Config& config);

}  // namespace firspool::relay
