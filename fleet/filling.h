// How much each gets of what is to be divided: max-min fairness by progressive filling (Bertsekas, Gallager,
// Data Networks, 1987).
#pragma once

#include <cstddef>
#include <vector>

namespace umberhoist::fleet {

// What each gets of `pool`: at most its need, and none gets less than another that gets more than its own
// need allows. What is left over once all needs are met is spread evenly over all, as a need is known only
// some time after it has grown. Sums to `pool` where `needs` is not empty. `pool` and needs at least 0.
std::vector<double> filled(double pool, const std::vector<double>& needs);

// How many may share `pool` calls a second where each must have at least `least`: at least 1, at most `all`.
size_t sharers(double pool, double least, size_t all);

}  // namespace umberhoist::fleet
