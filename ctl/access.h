// The customers' rules of a relay, and how many messages each decided.
#pragma once

#include <string>
#include <vector>

namespace umberhoist::ctl {

// For each relay asked a table of its own and the fleet's counts, and how old its part of each other relay
// is. `customer` empty: of all. Exit code: 0, or 2 where a relay gave no answer.
int access_hits(const std::vector<std::string>& relays, const std::string& customer);
int access_rules(const std::vector<std::string>& relays);

}  // namespace umberhoist::ctl
