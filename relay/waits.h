// The waits that destinations told: nothing goes there meanwhile.
#pragma once

#include <map>
#include <utility>

#include "budget.h"

namespace firspool::relay {

using Lane = std::pair<int, Endpoint>;  // a destination, with the endpoint where endpoints are routes apart

class ToldWaits {
 public:
  struct Wait {
    Time told = 0;
    Time until = 0;
  };

  // A wait never becomes shorter.
  void tell(const Lane& lane, Time until) {
    const Time now = steady_now();
    Wait& wait = waits_[lane];
    if (wait.until <= now) wait.told = now;
    wait.until = std::max(wait.until, until);
  }
  Time until(const Lane& lane) const {
    const auto it = waits_.find(lane);
    return it == waits_.end() ? 0 : it->second.until;
  }
  // How much of a span was such a wait.
  Time within(const Lane& lane, Time from, Time to) const {
    const auto it = waits_.find(lane);
    if (it == waits_.end()) return 0;
    return std::max<Time>(0, std::min(to, it->second.until) - std::max(from, it->second.told));
  }
  void sweep(Time now) {
    std::erase_if(waits_, [now](const auto& wait) { return wait.second.until <= now; });
  }
  const std::map<Lane, Wait>& all() const { return waits_; }

 private:
  std::map<Lane, Wait> waits_;
};

}  // namespace firspool::relay
