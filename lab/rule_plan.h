// The rules that chance draws for a scenario's customers, for each generation of the fleet's policy.
#pragma once

#include <string>

#include "plan.h"
#include "policy_book.h"

namespace umberhoist::lab {

constexpr const char* kKinds[] = {"principal", "agent"};

// What the founding says. Each list holds a rule of each sort that the scenario has room for, each on
// partners of its own, so that none is shadowed; ids are their generation's own, as a text never changes
// under an id.
PolicyText founding_policy(const Scenario& scenario, uint64_t seed);
// A later generation: `what` is rules (some customers' are drawn anew), customer (one is removed), or empty.
PolicyText next_policy(const Scenario& scenario, uint64_t seed, int generation, const PolicyText& base,
                       const std::string& what);

}  // namespace umberhoist::lab
