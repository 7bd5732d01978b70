// What a relay of a scenario is configured with: its classes, tenants, bounds and prices, and where it finds
// the others.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "fleet.h"
#include "policies.h"
#include "rule_plan.h"

namespace umberhoist::lab {

using nlohmann::json;

namespace {

// As a generation of the policy has them.
json customers(const Scenario& s, const PolicyText& policy) {
  json out = json::array();
  for (const TenantSpec& t : s.customers()) {
    if (policy.removed.contains(t.name)) continue;
    json one = {{"name", t.name}, {"quota_per_s", t.quota_per_s}};
    const auto access = policy.access.find(t.name);
    if (access != policy.access.end()) one["access"] = access_section(access->second);
    for (int i = 0; s.feeds.on && i < s.feeds.subscriptions; ++i) {
      json feed = {{"name", feed_name(i)}};
      if (!s.regions_of(i).empty()) feed["regions"] = s.regions_of(i);
      one["feeds"].push_back(feed);
    }
    out.push_back(one);
  }
  return out;
}

json relay_settings(const Scenario& s, const PolicyText& policy, int relay, int generation) {
  json classes = json::array(), zones = json::array();
  for (const ClassSpec& c : s.classes) {
    classes.push_back({{"name", c.name},
                       {"semantics", c.effect},
                       {"key_scope", "all"},
                       {"key_ttl_s", c.key_ttl_s},
                       {"target_s", c.target_s},
                       {"give_up_s", c.give_up_s},
                       {"worth", c.worth},
                       {"late_worth", c.late_worth}});
  }
  if (s.changes_policy()) classes.push_back(marker_class(generation));
  for (int z = 0; z < s.zones(); ++z) zones.push_back(zone_name(z));
  const double part = s.load.rate / s.relays;
  const double pace = (s.partners.pace_s.low + s.partners.pace_s.high) / 2;
  return {{"azs", zones},
          {"kinds", {"principal", "agent"}},
          {"categories", classes},
          {"realms", customers(s, policy)},
          {"me", relay},
          {"siblings", s.relays},
          {"zone", s.zone_of(relay)},
          {"family_info",
           {{"calls_out", std::max(4, static_cast<int>(std::ceil(s.relay.slots_factor * part * pace)))},
            {"kind_apart", {false, false}},
            {"kind_batch", {1, 1}},
            {"late", "halves"}}},
          {"bounds",
           {{"open_cap", std::max(8, static_cast<int>(s.relay.hold_s * part))},
            {"max_attempts", 8},
            {"streams_per_conn", 1},
            {"may_probe", false},
            {"peers", s.fleet},
            {"cancel", true},
            {"retry_after", true},
            {"max_retry_after_s", 3.0},
            {"conn_idle_s", 5.0},
            {"connect_timeout_s", 1.0}}},
          {"obligations",
           {{"stop_sending_within_s", s.partners.drain_grace_s},
            {"answer_slack_s", 0.25},
            {"cold_s", s.partners.cold_s},
            {"fall_s", s.partners.fall_s},
            {"fall_multiple", s.partners.fall_multiple},
            {"start_capacity", s.partners.start_capacity}}},
          {"telemetry", {{"fields", {"x0", "x1"}}}},
          {"prices", {{"waste", 0.16}, {"late_fail", 0.03}, {"handshake", 0.02}}},
          {"discovery", "push"},
          {"weights", "rough"},
          {"over_share_worth", 0.1},
          {"resolution_s", 0.005}};
}

}  // namespace

json Fleet::config_of(int relay, int generation) const {
  const Scenario& s = world_.scenario;
  char seed[17];
  std::snprintf(
      seed, sizeof seed, "%016llx",
      static_cast<unsigned long long>(pcg64(world_.plan.seed, 77 + static_cast<uint64_t>(relay))()));
  json out = {
      {"name", "n" + std::to_string(relay)},
      {"listen", text_of(address(relay))},
      {"discovery", agents_.at(static_cast<size_t>(relay))->address()},
      {"seed", seed},
      {"limits",
       {{"cores", 1.0},
        {"memory_mb", s.relay.memory_mb},
        {"sockets", s.relay.sockets},
        {"disk_mb", s.relay.disk_mb}}},
      {"known", agents_.at(static_cast<size_t>(relay))->known()},
      {"settings", relay_settings(s, world_.parts.book.generations.at(generation), relay, generation)}};
  if (network_ != nullptr) {
    out["fleet"] = network_->section(relay);
    if (s.budgets.on)
      out["fleet"]["budgets"] = {{"floor", s.budgets.floor}, {"burst_ms", s.budgets.burst_ms}};
    if (s.feeds.on) {
      out["feeds"] = {{"age_s", s.feeds.age_s},
                      {"disk_share", s.feeds.disk_share},
                      {"batch", s.feeds.batch},
                      {"catch_up_per_s", s.feeds.catch_up_per_s}};
    }
    out["operator"] = text_of(relays_.at(static_cast<size_t>(relay)).second);
  }
  return out;
}

}  // namespace umberhoist::lab
