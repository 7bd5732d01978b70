#include "filling.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace umberhoist::fleet {

std::vector<double> filled(double pool, const std::vector<double>& needs) {
  std::vector<size_t> order(needs.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, {}, [&](size_t i) { return needs[i]; });
  std::vector<double> out(needs.size());
  double left = pool;
  for (size_t k = 0; k < order.size(); ++k) {
    out[order[k]] = std::min(needs[order[k]], left / static_cast<double>(order.size() - k));
    left -= out[order[k]];
  }
  if (left > 0 && !out.empty()) {
    for (double& part : out) part += left / static_cast<double>(out.size());
  }
  return out;
}

size_t sharers(double pool, double least, size_t all) {
  const double most = std::floor(pool / least * (1 + 1e-9));
  return most >= static_cast<double>(all) ? all : std::max<size_t>(1, static_cast<size_t>(most));
}

}  // namespace umberhoist::fleet
