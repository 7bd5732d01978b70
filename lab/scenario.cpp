#include "scenario.h"

#include <algorithm>

namespace umberhoist::lab {
namespace {

const std::vector<ClassSpec> kClasses = {
    {"session-record", "keyed", 0.59, 4, 28, 1, 0.5, 15, false},
    {"session-status", "safe", 0.41, 1, 5, 3, 0.1, 0, true},
};
const std::vector<TenantSpec> kTenants = {
    {"drava-polni", 0.45}, {"kras-energija", 0.33}, {"savinja-tok", 0.22}};

void check(const Scenario& out) {
  if (out.name.empty()) throw Unusable("name is missing");
  if (out.relays < 1 || out.relays > 3000) throw Unusable("relays is not between 1 and 3000");
  if (out.partners.count < 1 || out.partners.count > 200)
    throw Unusable("partners.count is not between 1 and 200");
  if (out.length_s < 1 || out.length_s > 3600) throw Unusable("length_s is not between 1 and 3600");
  if (out.load.rate <= 0 || out.load.rate > 5000) throw Unusable("load.rate is not above 0 and up to 5000");
  if (out.partners.endpoints.low < 1) throw Unusable("partners.endpoints is below 1");
  if (out.partners.pace_s.low <= 0) throw Unusable("partners.pace_s is not above 0");
  if (out.partners.headroom <= 0) throw Unusable("partners.headroom is not above 0");
  if (out.sim.period_ms < 1) throw Unusable("sim.period_ms is below 1");
  if (out.relay.others > 0 && out.relay.other.empty()) {
    throw Unusable("relay.other names no program (--set relay.other=PROGRAM)");
  }
  if (!out.fleet && (out.budgets.on || out.access.on || out.feeds.on)) {
    throw Unusable("budgets, access and feeds need fleet = true");
  }
  if (out.voting > 0 && (out.voting % 2 == 0 || out.voting > out.relays)) {
    throw Unusable("voters is not an odd number of the relays");
  }
  for (const WrittenRule& written : out.access.rules) {
    if (std::ranges::none_of(out.tenants, [&](const TenantSpec& t) { return t.name == written.customer; })) {
      throw Unusable("access.rule " + written.rule.id + " is of no tenant: \"" + written.customer + "\"");
    }
  }
  for (const ClassSpec& c : out.classes) {
    if (c.name.empty() || c.effect.empty()) throw Unusable("a class has no name or no effect");
    if (c.give_up_s <= 0) throw Unusable("class " + c.name + " has no give_up_s");
  }
}

}  // namespace

void read(TableReader& in, Load& out) {
  in.number("rate", out.rate);
  in.number("clump_share", out.clump_share);
  in.number("clump_s", out.clump_s);
  in.number("impatient", out.impatient);
  in.number("retries", out.retries);
  in.number("backoff_s", out.backoff_s);
  in.number("honour", out.honour);
  in.range("notice_s", out.notice_s);
  in.number("body_bytes", out.body_bytes);
  in.number("closed_loop", out.closed_loop);
  in.range("crowd", out.crowd);
}

void read(TableReader& in, PartnerSpec& out) {
  in.number("count", out.count);
  in.number("large_share", out.large_share);
  in.range("endpoints", out.endpoints);
  in.range("pace_s", out.pace_s);
  in.number("pace_sigma", out.pace_sigma);
  in.number("headroom", out.headroom);
  in.number("least_limit", out.least_limit);
  in.number("queue", out.queue);
  in.number("connections", out.connections);
  in.number("told_share", out.told_share);
  in.range("wait_s", out.wait_s);
  in.number("report_s", out.report_s);
  in.number("start_capacity", out.start_capacity);
  in.number("cold_s", out.cold_s);
  in.number("fall_s", out.fall_s);
  in.number("fall_multiple", out.fall_multiple);
  in.number("drain_grace_s", out.drain_grace_s);
}

void read(TableReader& in, RelaySpec& out) {
  in.number("slots_factor", out.slots_factor);
  in.number("hold_s", out.hold_s);
  in.number("memory_mb", out.memory_mb);
  in.number("sockets", out.sockets);
  in.number("disk_mb", out.disk_mb);
  in.number("ready_s", out.ready_s);
  in.range("wall_offset_s", out.wall_offset_s, true);
  in.text("isolated", out.isolated, {"refuse", "serve"});
  in.text("other", out.other);
  in.number("others", out.others);
}

void read(TableReader& in, SimSpec& out) {
  in.text("protocol", out.protocol, {"heartbeat", "membership", "agreement", "budgets"});
  in.number("period_ms", out.period_ms);
  in.flag("plain", out.plain);
  in.number("changes", out.changes);
  in.number("deaths", out.deaths);
  in.flag("rivals", out.rivals);
}

void read(TableReader& in, ClassSpec& out) {
  in.text("name", out.name);
  in.text("effect", out.effect, {"safe", "keyed", "unsafe"});
  in.number("share", out.share);
  in.number("target_s", out.target_s);
  in.number("give_up_s", out.give_up_s);
  in.number("worth", out.worth);
  in.number("late_worth", out.late_worth);
  in.number("key_ttl_s", out.key_ttl_s);
  in.flag("large_only", out.large_only);
}

void read(TableReader& in, TenantSpec& out) {
  in.text("name", out.name);
  in.number("share", out.share);
  in.number("quota_per_s", out.quota_per_s);
}

Scenario read_scenario(const toml::table& table) {
  Scenario out;
  TableReader in(table, "");
  in.text("name", out.name);
  in.text("what", out.what);
  in.number("length_s", out.length_s);
  in.number("settle_s", out.settle_s);
  in.number("relays", out.relays);
  in.flag("fleet", out.fleet);
  in.number("voters", out.voting);
  in.section("budgets", out.budgets);
  in.section("access", out.access);
  in.section("feeds", out.feeds);
  in.section("load", out.load);
  in.section("partners", out.partners);
  in.section("relay", out.relay);
  in.section("sim", out.sim);
  in.sections("class", out.classes);
  in.sections("tenant", out.tenants);
  in.sections("fault", out.faults, [&](FaultSpec& f) { f.stream = static_cast<int>(out.faults.size()); });
  in.finish();
  if (out.classes.empty()) out.classes = kClasses;
  if (out.tenants.empty()) out.tenants = kTenants;
  check(out);
  return out;
}

std::vector<TenantSpec> Scenario::customers() const {
  std::vector<TenantSpec> out = tenants;
  if ((access.on || feeds.on) && changes_policy()) out.push_back({kMarkers, 0, 0});
  return out;
}

bool Scenario::changes_policy() const {
  return std::ranges::any_of(faults, [](const FaultSpec& f) { return f.kind == "policy"; });
}

}  // namespace umberhoist::lab
