#include "compiled_rules.h"

#include <xxhash.h>

#include <array>
#include <set>

#include "decision_record.h"

namespace umberhoist::access {

size_t CompiledRules::CacheKeyHash::operator()(const CacheKey& key) const {
  const std::array<uint64_t, 2> words = {
      key.customer << 32 | static_cast<uint32_t>(key.message_class),
      static_cast<uint64_t>(static_cast<uint32_t>(key.partner)) << 32 | static_cast<uint32_t>(key.zone)};
  return XXH64(words.data(), sizeof words, 0);
}

CompiledRules::CompiledRules(const Rules& rules, LimitRegistry& limits) : names_(rules.names) {
  limits.begin_policy_version();
  for (const Customer& c : rules.customers) {
    customers_.emplace(c.name, lists_.size());
    RuleList list{c.name, c.rules, {}, RuleIndex(c)};
    for (const Rule& r : c.rules) {
      list.limits.push_back(
          r.action == Action::kLimit ? limits.acquire("rule/" + c.name + "/" + r.id, r.per_s) : nullptr);
    }
    lists_.push_back(std::move(list));
  }
  for (size_t i = 0; i < names_.classes.size(); ++i) classes_.emplace(names_.classes[i], static_cast<int>(i));
}

std::shared_ptr<const Decision> CompiledRules::decide(const std::string& customer,
                                                      const std::string& message_class, int destination,
                                                      int from_zone) const {
  const auto customer_entry = customers_.find(customer);
  if (customer_entry == customers_.end()) return nullptr;
  const RuleList& list = lists_[customer_entry->second];
  const auto class_entry = classes_.find(message_class);
  const CacheKey key{customer_entry->second, class_entry == classes_.end() ? -1 : class_entry->second,
                     list.index.naming_partner(destination) == nullptr ? -1 : destination, from_zone};
  if (const auto it = cache_.find(key); it != cache_.end()) return it->second;
  if (cache_.size() >= kMaxCachedDecisions) cache_.clear();
  return cache_[key] = evaluate(list, key);
}

std::shared_ptr<const Decision> CompiledRules::evaluate(const RuleList& list, const CacheKey& key) const {
  ++evaluations_;
  Bitset candidates = key.partner < 0 ? list.index.any_partner() : list.index.with_partner(key.partner);
  const auto match = [&](int value, size_t count, auto&& of) {
    if (value >= 0 && static_cast<size_t>(value) < count) candidates &= of(static_cast<size_t>(value));
  };
  match(key.message_class, names_.classes.size(),
        [&](size_t i) -> const Bitset& { return list.index.with_class(i); });
  match(key.zone, names_.zones.size(), [&](size_t i) -> const Bitset& { return list.index.with_source(i); });

  auto decision = std::make_shared<Decision>();
  decision->customer = list.name;
  decision->routes.kinds = static_cast<int>(names_.kinds.size());
  std::set<size_t> deciders;
  size_t first_denial = list.rules.size();
  bool any_allowed = false;
  for (size_t zone = 0; zone < names_.zones.size(); ++zone) {
    for (size_t kind = 0; kind < names_.kinds.size(); ++kind) {
      const size_t first =
          Bitset::first_common(candidates, list.index.with_kind(kind), list.index.with_target(zone));
      const Rule& rule = list.rules[first];
      deciders.insert(first);
      firspool::RouteRule route;
      route.allowed = rule.action != Action::kDeny;
      route.rank = rule.action == Action::kPrefer && !rule.preferred.test(zone) ? 1 : 0;
      if (rule.action == Action::kLimit) route.limit_id = list.limits[first]->id;
      if (!route.allowed) first_denial = std::min(first_denial, first);
      any_allowed = any_allowed || route.allowed;
      decision->routes.rules.push_back(route);
    }
  }
  for (const size_t i : deciders) {
    decision->rules.push_back({list.rules[i].id, list.rules[i].digest});
    if (list.limits[i]) decision->limits.push_back(list.limits[i]);
  }
  if (!any_allowed && first_denial < list.rules.size()) decision->denied_by = list.rules[first_denial].id;
  decision->record = encode(*decision, names_);
  return decision;
}

}  // namespace umberhoist::access
