#include "request.h"

#include <xxhash.h>

#include "resp.h"
#include "rule_plan.h"

namespace umberhoist::lab {
namespace {

Effect effect_of(const std::string& name) {
  return name == "safe" ? Effect::kSafe : name == "keyed" ? Effect::kKeyed : Effect::kUnsafe;
}

std::string facts_of(const World& world, const Wanted& wanted, const std::string& key) {
  const Scenario& s = world.scenario;
  const double left_ms = (wanted.due - world.now()) * 1000;
  std::string out = "c=" + s.classes[static_cast<size_t>(wanted.message_class)].name;
  out += ",t=" + s.tenants[static_cast<size_t>(wanted.tenant)].name;
  out += ",d=" + std::to_string(static_cast<int64_t>(left_ms));
  if (!key.empty()) out += ",k=" + key;
  out += ",dest=" + std::to_string(wanted.destination);
  if (wanted.refused) out += ",r=1";
  if (wanted.silent) out += ",again=1";
  return out;
}

}  // namespace

Request make_request(World& world, const Wanted& wanted) {
  const Scenario& s = world.scenario;
  const ClassSpec& c = s.classes[static_cast<size_t>(wanted.message_class)];
  Request out;
  out.id = hex(world.chance());
  std::string body = "{\"session\":\"" + out.id + "\"}";
  body.resize(std::max(body.size(), static_cast<size_t>(s.load.body_bytes)), ' ');
  HandIn hand;
  hand.relay = wanted.relay;
  hand.effect = effect_of(c.effect);
  hand.key_ttl = c.key_ttl_s;
  hand.destination = wanted.destination;
  hand.due = wanted.due;
  hand.body = XXH64(body.data(), body.size(), 0);
  if (hand.effect == Effect::kKeyed) hand.key = wanted.key;
  out.bytes = resp({"MSG.PUT", "0000000000000000", out.id, facts_of(world, wanted, hand.key), body});
  world.oracles.handed_in(out.id, std::move(hand));
  world.parts.handed_in(world.now(), out.id, wanted.relay,
                        {s.tenants[static_cast<size_t>(wanted.tenant)].name, c.name, wanted.destination,
                         zone_name(s.zone_of(wanted.relay))});
  return out;
}

}  // namespace umberhoist::lab
