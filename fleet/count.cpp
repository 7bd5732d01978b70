#include "count.h"

#include <algorithm>

namespace umberhoist::fleet {

bool Count::see(Time now, int live) {
  const int seen = std::clamp(live, 1, configured_);
  if (seen >= now_ || 2 * seen <= configured_) {
    less_since_ = kNever;
    const int was = now_;
    now_ = std::max(now_, seen);
    return now_ != was;
  }
  if (less_since_ == kNever) less_since_ = now;
  if (now - less_since_ < hold_) return false;
  less_since_ = now;
  --now_;
  return true;
}

void Count::configure(int configured) {
  configured_ = configured;
  now_ = configured;
  less_since_ = kNever;
}

}  // namespace umberhoist::fleet
