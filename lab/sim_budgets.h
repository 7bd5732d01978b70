// Budgets of the fleet on the simulated clock: whether they are ever over the whole, how fair, how soon
// again.
#pragma once

#include "budget_process.h"

namespace umberhoist::lab {

nlohmann::json simulate_budgets(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::lab
