#include "fair_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace umberhoist::fleet {

std::vector<double> max_min_fair(double pool, const std::vector<double>& needs) {
  std::vector<size_t> order(needs.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, {}, [&](size_t i) { return needs[i]; });
  std::vector<double> out(needs.size());
  double remaining = pool;
  for (size_t k = 0; k < order.size(); ++k) {
    out[order[k]] = std::min(needs[order[k]], remaining / static_cast<double>(order.size() - k));
    remaining -= out[order[k]];
  }
  if (remaining > 0 && !out.empty()) {
    for (double& share : out) share += remaining / static_cast<double>(out.size());
  }
  return out;
}

size_t max_sharers(double pool, double min_rate, size_t claimants) {
  const double possible = std::floor(pool / min_rate * (1 + 1e-9));
  return possible >= static_cast<double>(claimants) ? claimants
                                                    : std::max<size_t>(1, static_cast<size_t>(possible));
}

}  // namespace umberhoist::fleet
