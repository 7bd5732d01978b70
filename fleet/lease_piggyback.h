// Interface for data that is piggybacked on the lease renewals of fleet/agreement: the relay adds a payload
// to each renewal, the leader answers it in the grant, and the relay applies the answer. Whatever the answer
// gives is valid for as long as the lease that it came with.
//
// Contract: called by the agreement only, with its times. Nothing is thrown; a malformed payload is ignored.
#pragma once

#include <string>
#include <string_view>

#include "state_machine.h"

namespace umberhoist::fleet {

class LeasePiggyback {
 public:
  struct Renewal {
    std::string relay;
    uint64_t leader_term = 0;   // of this leader
    Time prior_leases_end = 0;  // when all leases of earlier leaders have certainly expired
    Time expires_at = 0;        // when the lease granted now has certainly expired
    Time acked_send_time = 0;   // the relay has received what this leader sent then; 0: nothing in this term
  };

  virtual ~LeasePiggyback() = default;
  virtual std::string renewal_payload(Time now) = 0;
  virtual std::string grant_payload(Time now, const Renewal& renewal, std::string_view request) = 0;
  // `lease_end`: the end of the lease on this relay's clock. Returns whether to renew soon.
  virtual bool on_grant(Time now, uint64_t leader_term, std::string_view payload, Time lease_end) = 0;
};

}  // namespace umberhoist::fleet
