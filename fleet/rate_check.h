// Whether another's clock goes at the rate of this one, as far as two round trips can tell. A clock that is
// past the bound (1 in kDriftOne) would make a lease last longer here than the leader counts.
#pragma once

#include "state_machine.h"

namespace umberhoist::fleet {

class RateCheck {
 public:
  // A round trip: sent and heard by this clock, and the stamp between by the clock of the leader of `term`.
  // Answers whether the rates agree.
  bool agree(Time sent, Time heard, uint64_t term, uint64_t stamp);
  bool off() const { return off_; }  // at the last round trip that told

 private:
  struct Anchor {  // the earlier round trip
    uint64_t term = 0;
    uint64_t stamp = 0;
    Time sent = 0;
    Time heard = 0;
  } anchor_;
  bool off_ = false;
};

}  // namespace umberhoist::fleet
