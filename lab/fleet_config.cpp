// What a relay of a scenario is configured with: its classes, tenants, bounds and prices, and where it finds
// the others.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "fleet.h"
#include "policies.h"

namespace umberhoist::lab {

using nlohmann::json;

namespace {

json relay_settings(const Scenario& s, int relay, int generation) {
  json classes = json::array(), tenants = json::array();
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
  for (const TenantSpec& t : s.tenants) tenants.push_back({{"name", t.name}, {"quota_per_s", 0.0}});
  const double part = s.load.rate / s.relays;
  const double pace = (s.partners.pace_s.low + s.partners.pace_s.high) / 2;
  return {{"azs", {"lj-dc1"}},
          {"kinds", {"principal", "agent"}},
          {"categories", classes},
          {"realms", tenants},
          {"me", relay},
          {"siblings", s.relays},
          {"zone", 0},
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
  json out = {{"name", "n" + std::to_string(relay)},
              {"listen", text_of(address(relay))},
              {"discovery", agents_.at(static_cast<size_t>(relay))->address()},
              {"seed", seed},
              {"limits",
               {{"cores", 1.0},
                {"memory_mb", s.relay.memory_mb},
                {"sockets", s.relay.sockets},
                {"disk_mb", s.relay.disk_mb}}},
              {"known", agents_.at(static_cast<size_t>(relay))->known()},
              {"settings", relay_settings(s, relay, generation)}};
  if (network_ != nullptr) {
    out["fleet"] = network_->section(relay);
    out["operator"] = text_of(relays_.at(static_cast<size_t>(relay)).second);
  }
  return out;
}

}  // namespace umberhoist::lab
