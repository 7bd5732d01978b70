// What rides on the leases of fleet/agreement: bytes that a relay sends with each renewal, the leader's
// answer where it grants the lease, and what the relay does with that. Whatever the answer gives lasts as
// long as the lease that it came with.
//
// Contract: called by the agreement only, with its times. Nothing is thrown: bytes that do not read are used
// for nothing.
#pragma once

#include <string>
#include <string_view>

#include "state_machine.h"

namespace umberhoist::fleet {

class Rider {
 public:
  struct Renewal {
    std::string relay;
    uint64_t reign = 0;  // of this leader
    Time clear = 0;      // the leases of leaders before are surely over after
    Time over = 0;       // the lease granted now is surely over after
    Time heard = 0;      // what this leader said at this time has reached the relay; 0: nothing in this reign
  };

  virtual ~Rider() = default;
  virtual std::string ask(Time now) = 0;
  virtual std::string answer(Time now, const Renewal& renewal, std::string_view asked) = 0;
  // `until`: the end of the lease on this clock. Answers whether to renew soon.
  virtual bool took(Time now, uint64_t reign, std::string_view bytes, Time until) = 0;
};

}  // namespace umberhoist::fleet
