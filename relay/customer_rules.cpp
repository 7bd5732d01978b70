#include "customer_rules.h"

#include <algorithm>

#include "../access/decision_record.h"

namespace firspool::relay {

namespace access = umberhoist::access;

// The old list is let go after the new one is made, so that limits keep their numbers.
void CustomerRules::retune(const access::Rules& rules) {
  names_ = rules.names;
  zone_ = rules.zone;
  in_force_ = access::rule_keys(rules);
  if (rules.empty()) limits_.begin_policy_version();
  compiled_ = rules.empty() ? nullptr : std::make_unique<access::CompiledRules>(rules, limits_);
}

std::shared_ptr<const access::Decision> CustomerRules::of(const Handed& message) const {
  if (!compiled_) return nullptr;
  return compiled_->decide(message.tenant, message.message_class, message.destination, zone_);
}

std::shared_ptr<const access::Decision> CustomerRules::recorded(std::string_view bytes) {
  return bytes.empty() ? nullptr : access::decode_decision(bytes, names_, limits_);
}

std::vector<ShareGranted> CustomerRules::even_parts(int relays) {
  std::vector<ShareGranted> out;
  std::map<int, double> now;
  for (const access::Limit& limit : limits()) {
    const double part = limit.per_s / std::max(1, relays);
    now[limit.id] = part;
    const auto told = told_.find(limit.id);
    if (told != told_.end() && told->second == part) continue;
    out.push_back({ShareGranted::Scope::kLimit, limit.id, part});
  }
  told_ = std::move(now);
  return out;
}

}  // namespace firspool::relay
