// Compares the rate of the leader's clock with this one's, as far as two round trips allow. Where the rates
// differ by more than 1 in kInverseDriftBound, a lease may last longer here than the leader accounts for.
#pragma once

#include "state_machine.h"

namespace umberhoist::fleet {

class ClockRateCheck {
 public:
  // Adds a round trip: sent and received by this clock, with a timestamp between them by the clock of the
  // leader of `term`. Returns false where the rates differ by more than the bound.
  bool add_round_trip(Time sent, Time received, uint64_t term, uint64_t timestamp);
  // Whether the last conclusive comparison was out of bounds.
  bool out_of_bounds() const { return out_of_bounds_; }

 private:
  struct Reference {  // the earlier round trip that later ones are compared with
    uint64_t term = 0;
    uint64_t timestamp = 0;
    Time sent = 0;
    Time received = 0;
  } reference_;
  bool out_of_bounds_ = false;
};

}  // namespace umberhoist::fleet
