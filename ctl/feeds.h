// umberhoistctl feeds: what relays tell of customers' feeds.
#pragma once

#include <string>
#include <vector>

namespace umberhoist::ctl {

// Each relay's logs, and its subscriptions with what is remembered of them; 1 where one does not answer,
// recovers as a voter, or misses another.
int feeds_of(const std::vector<std::string>& relays);

}  // namespace umberhoist::ctl
