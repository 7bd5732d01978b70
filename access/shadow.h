// Rules that no message can reach, since earlier ones decide all that they match.
//
// A rule that one earlier rule covers is always found. Whether several cover it together is exact set
// subtraction (boxes over class, partner, kind, from, to), as far as `Work` lasts; what is not looked through
// by then counts as reachable. So a rule that is named can be reached by no message, ever; the answer depends
// on the rules alone.
#pragma once

#include <optional>

#include "rules.h"

namespace umberhoist::access {

struct Work {             // steps: boxes looked at, each with the length of its list of partners
  int left = 400'000;     // for all customers of a policy
  int for_rule = 20'000;  // of these, at most, for each rule
};

struct Shadow {
  size_t rule = 0;
  int by = -1;  // the earlier rule that covers it; -1: several together
};

// Of the customer's rules, its default left out, the first such one.
std::optional<Shadow> first_shadowed(const Customer& customer, Work& work);

}  // namespace umberhoist::access
