#include "feed_settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace firspool::relay {
namespace {

using nlohmann::json;

[[noreturn]] void bad(const std::string& key, const std::string& why) {
  throw umberhoist::OperatorError(kFeedSettingsFaults[0], key, why);
}

double number(const json& section, const char* key, double usual, double least, double most) {
  const json value = section.value(key, json(usual));
  if (!value.is_number() || !(value.get<double>() >= least && value.get<double>() <= most)) {
    bad(std::string("feeds.") + key,
        "is not a number from " + json(least).dump() + " to " + json(most).dump());
  }
  return value.get<double>();
}

std::vector<std::string> regions_of(const json& feed, const std::string& at,
                                    const std::vector<std::string>& zones) {
  std::vector<std::string> out;
  const json regions = feed.value("regions", json::array());
  if (!regions.is_array()) bad(at + ".regions", "is not a list");
  for (const json& region : regions) {
    if (!region.is_string() || std::ranges::find(zones, region.get<std::string>()) == zones.end()) {
      bad(at + ".regions", "names " + region.dump() + ", which settings.azs does not");
    }
    out.push_back(region.get<std::string>());
  }
  return out;
}

}  // namespace

FeedSettings parse_feeds(const json& section, const json& settings, bool fleet, size_t relays,
                         const std::vector<std::string>& zones) {
  if (!section.is_object()) bad("feeds", "is not an object");
  if (!fleet) bad("feeds", "is given without fleet, which it needs");
  // Each relay may have two logs in its folder, and a cursor names all of them.
  if (2 * relays > umberhoist::feeds::kMostOrigins) {
    bad("feeds", "is for " + std::to_string(umberhoist::feeds::kMostOrigins / 2) + " relays at most");
  }
  FeedSettings out;
  out.age = static_cast<Time>(number(section, "age_s", 3600, 1, 1e7) * 1e6);
  out.disk_share = number(section, "disk_share", 0.2, 0.01, 0.5);
  out.batch = static_cast<size_t>(number(section, "batch", 500, 1, 10'000));
  out.catch_up_per_s = number(section, "catch_up_per_s", 2000, 1, 1e9);
  const json realms = settings.value("realms", json::array());
  for (size_t i = 0; i < realms.size(); ++i) {
    const std::string in = "settings.realms." + std::to_string(i) + ".feeds";
    const json feeds = realms[i].value("feeds", json::array());
    if (!feeds.is_array()) bad(in, "is not a list");
    if (feeds.size() > kMostFeedsOfCustomer) {
      bad(in, "has more than " + std::to_string(kMostFeedsOfCustomer) + " subscriptions");
    }
    for (size_t k = 0; k < feeds.size(); ++k) {
      const std::string at = in + "." + std::to_string(k);
      const json name = feeds[k].is_object() ? feeds[k].value("name", json()) : json();
      if (!name.is_string() || name.get<std::string>().empty() || name.get<std::string>().size() > 64) {
        bad(at + ".name", "is not a text of 1 to 64 bytes");
      }
      const umberhoist::feeds::Feed feed{realms[i].value("name", ""), name.get<std::string>()};
      if (!out.feeds.emplace(feed, regions_of(feeds[k], at, zones)).second)
        bad(at + ".name", "is there twice");
    }
  }
  return out;
}

}  // namespace firspool::relay
