// Changes of policy on the simulated clock: whether they take hold everywhere or nowhere, and how soon.
#pragma once

#include "agreement_guest.h"

namespace umberhoist::lab {

nlohmann::json simulate_agreement(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::lab
