// Finds shadowed rules: rules that no message can reach, because earlier rules decide everything they match.
//
// A rule that a single earlier rule covers is always found. Whether several earlier rules cover it together
// is decided by exact set subtraction (boxes over class, partner, kind, from and to) within a StepBudget; a
// rule that is not fully checked within it counts as reachable. So there are no false positives, and the
// result depends only on the rules.
#pragma once

#include <optional>

#include "rules.h"

namespace umberhoist::access {

// A step is the visit of a box or of an entry in its list of partners.
struct StepBudget {
  int remaining = 400'000;    // for all customers of a policy
  int max_per_rule = 20'000;  // at most, out of `remaining`
};

struct Shadow {
  size_t rule = 0;
  int covered_by = -1;  // index of the earlier rule that covers it; -1: several do together
};

// The first shadowed rule of a customer. The default is not checked.
std::optional<Shadow> find_shadowed_rule(const Customer& customer, StepBudget& budget);

}  // namespace umberhoist::access
