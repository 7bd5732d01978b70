#include "policy_audit.h"

#include <algorithm>
#include <cstdlib>

#include "../fleet/agreement.h"

namespace umberhoist::lab {

std::string cannot_hold(const std::string& policy, int build) {
  if (!policy.starts_with("need=")) return policy.empty() ? "" : "it does not read";
  const int need = std::atoi(policy.c_str() + 5);
  return build >= need ? "" : "build " + std::to_string(build) + " does not know it";
}

void PolicyAudit::broke(Time now, const std::string& what) {
  if (broken_.empty()) broken_ = "at " + std::to_string(static_cast<double>(now) / 1e6) + " s: " + what;
}

void PolicyAudit::adopted(Time now, int relay, uint64_t version, const std::string& id,
                          const std::string& text, int build) {
  ++checked_;
  const auto [known, fresh] = texts_.try_emplace(version, text);
  if (known->second != text) {
    broke(now, "P1: " + member_name(relay) + " holds another text as version " + std::to_string(version));
  }
  if (aborted_.contains(id)) broke(now, "P2: " + member_name(relay) + " holds " + id + ", which was aborted");
  if (!cannot_hold(text, build).empty()) {
    broke(now, "P6: " + member_name(relay) + " holds what its build cannot: " + text);
  }
  Relay& r = relays_[relay];
  r.version = version;
  r.text = text;
  r.until = 0;
}

void PolicyAudit::door(Time now, int relay, Time until, int build) {
  Relay& r = relays_[relay];
  r.until = until;
  r.build = build;
  if (until <= now) return;
  ++checked_;
  if (!cannot_hold(r.text, build).empty()) {
    broke(now, "P6: " + member_name(relay) + " acts under what its build cannot hold: " + r.text);
  }
  // Leases last by their relay's clock; twice the clocks' bound covers what it may be slow by.
  const Time most = term_ + 2 * term_ / fleet::kInverseDriftBound + 2 * fleet::kMs;
  const auto [first, fresh] = first_act_.try_emplace(r.version, now);
  const auto mixed = [&](int old, const Relay& o, uint64_t version, Time since) {
    const std::string next = texts_.contains(version) ? texts_.at(version) : "";
    longest_mix_ = std::max(longest_mix_, o.until - since);
    if (o.until > since + most) {
      broke(now, "P4: " + member_name(old) + " acts under version " + std::to_string(o.version) + " for " +
                     std::to_string((o.until - since) / fleet::kMs) + " ms after " + std::to_string(version) +
                     " was in force");
    }
    if (!cannot_hold(next, o.build).empty()) {
      broke(now, "P2: " + member_name(old) + " acts under version " + std::to_string(o.version) + " while " +
                     std::to_string(version) + ", which it cannot hold, is in force");
    }
  };
  if (fresh) {
    for (const auto& [other, o] : relays_) {
      if (other != relay && o.until > now && o.version < r.version) mixed(other, o, r.version, now);
    }
  }
  for (const auto& [version, since] : first_act_) {
    if (version > r.version) mixed(relay, r, version, since);
  }
}

}  // namespace umberhoist::lab
