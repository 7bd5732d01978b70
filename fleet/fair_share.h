// Max-min fair division of a rate by progressive filling (Bertsekas and Gallager, Data Networks, 1987).
#pragma once

#include <cstddef>
#include <vector>

namespace umberhoist::fleet {

// Max-min fair shares of `pool` under the given needs: a share is below its need only if no other share is
// larger. What remains once all needs are met is spread evenly over all, because a need becomes known only
// some time after it has grown. The shares sum to `pool` unless `needs` is empty. `pool` and needs are at
// least 0.
std::vector<double> max_min_fair(double pool, const std::vector<double>& needs);

// How many of `claimants` can share `pool` calls a second if each gets at least `min_rate`; at least 1.
size_t max_sharers(double pool, double min_rate, size_t claimants);

}  // namespace umberhoist::fleet
