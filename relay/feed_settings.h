// Outcome feeds as they are configured: the section `feeds` beside `fleet`, and the subscriptions of the
// customers in the policy (settings.realms[].feeds). docs/feeds.md.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "../feeds/cursor.h"
#include "budget.h"

namespace firspool::relay {

inline constexpr umberhoist::ErrorKind kFeedSettingsFaults[] = {
    {"feeds_config", "mend the key that is named; nothing of the file or policy was taken"},
};

constexpr size_t kMostFeedsOfCustomer = 16;

struct FeedSettings {
  Time age = 0;               // an outcome is kept for that at least, where the disk allows
  double disk_share = 0;      // of disk_mb, for the logs
  size_t batch = 0;           // outcomes in one answer at most
  double catch_up_per_s = 0;  // outcomes read, over the fleet
  std::map<umberhoist::feeds::Feed, std::vector<std::string>> feeds;  // with their regions; none: all
};

// Throws Fault of kFeedSettingsFaults.
FeedSettings parse_feeds(const nlohmann::json& section, const nlohmann::json& settings, bool fleet,
                         size_t relays, const std::vector<std::string>& zones);

}  // namespace firspool::relay
