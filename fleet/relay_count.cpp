#include "relay_count.h"

#include <algorithm>

namespace umberhoist::fleet {

bool RelayCount::update(Time now, int alive) {
  const int seen = std::clamp(alive, 1, configured_);
  if (seen >= value_ || 2 * seen <= configured_) {
    fewer_since_ = kNever;
    const int previous = value_;
    value_ = std::max(value_, seen);
    return value_ != previous;
  }
  if (fewer_since_ == kNever) fewer_since_ = now;
  if (now - fewer_since_ < decrease_interval_) return false;
  fewer_since_ = now;
  --value_;
  return true;
}

void RelayCount::set_configured(int configured) {
  configured_ = configured;
  value_ = configured;
  fewer_since_ = kNever;
}

}  // namespace umberhoist::fleet
