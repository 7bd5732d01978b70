// The fleet's budgets, as its relays tell them.
#pragma once

#include <string>
#include <vector>

namespace umberhoist::ctl {

// A line each budget and relay. 0 where all of them answered and have a lease, 1 where not.
int budgets_of(const std::vector<std::string>& relays);

}  // namespace umberhoist::ctl
