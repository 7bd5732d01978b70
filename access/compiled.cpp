#include "compiled.h"

#include <xxhash.h>

#include <array>
#include <set>

#include "verdict_record.h"

namespace umberhoist::access {

size_t Compiled::Hash::operator()(const Key& key) const {
  const std::array<uint64_t, 2> words = {
      key.customer << 32 | static_cast<uint32_t>(key.message_class),
      static_cast<uint64_t>(static_cast<uint32_t>(key.partner)) << 32 | static_cast<uint32_t>(key.zone)};
  return XXH64(words.data(), sizeof words, 0);
}

Compiled::Compiled(const Rules& rules, Limits& limits) : names_(rules.names) {
  limits.begin_version();
  for (const Customer& c : rules.customers) {
    customers_.emplace(c.name, lists_.size());
    List list{c.name, c.rules, {}, Index(c)};
    for (const Rule& r : c.rules) {
      list.limits.push_back(r.say == Say::kLimit ? limits.in_force("rule/" + c.name + "/" + r.id, r.per_s)
                                                 : nullptr);
    }
    lists_.push_back(std::move(list));
  }
  for (size_t i = 0; i < names_.classes.size(); ++i) classes_.emplace(names_.classes[i], static_cast<int>(i));
}

std::shared_ptr<const Verdict> Compiled::verdict(const std::string& customer,
                                                 const std::string& message_class, int destination,
                                                 int from_zone) const {
  const auto known = customers_.find(customer);
  if (known == customers_.end()) return nullptr;
  const List& list = lists_[known->second];
  const auto number = classes_.find(message_class);
  const Key key{known->second, number == classes_.end() ? -1 : number->second,
                list.index.naming(destination) == nullptr ? -1 : destination, from_zone};
  if (const auto it = memo_.find(key); it != memo_.end()) return it->second;
  if (memo_.size() >= kMostRemembered) memo_.clear();
  return memo_[key] = decide(list, key);
}

std::shared_ptr<const Verdict> Compiled::decide(const List& list, const Key& key) const {
  ++passes_;
  Bits left = key.partner < 0 ? list.index.any_partner() : list.index.of_partner(key.partner);
  const auto held = [&](int value, size_t count, auto&& of) {
    if (value >= 0 && static_cast<size_t>(value) < count) left &= of(static_cast<size_t>(value));
  };
  held(key.message_class, names_.classes.size(),
       [&](size_t i) -> const Bits& { return list.index.of_class(i); });
  held(key.zone, names_.zones.size(), [&](size_t i) -> const Bits& { return list.index.from(i); });

  auto out = std::make_shared<Verdict>();
  out->customer = list.name;
  out->ways.kinds = static_cast<int>(names_.kinds.size());
  std::set<size_t> deciders;
  size_t denier = list.rules.size();
  bool open = false;
  for (size_t zone = 0; zone < names_.zones.size(); ++zone) {
    for (size_t kind = 0; kind < names_.kinds.size(); ++kind) {
      const size_t first = Bits::first_of(left, list.index.of_kind(kind), list.index.to(zone));
      const Rule& rule = list.rules[first];
      deciders.insert(first);
      firspool::RouteRule way;
      way.allowed = rule.say != Say::kDeny;
      way.rank = rule.say == Say::kPrefer && !rule.near.test(zone) ? 1 : 0;
      if (rule.say == Say::kLimit) way.limit_id = list.limits[first]->number;
      if (!way.allowed) denier = std::min(denier, first);
      open = open || way.allowed;
      out->ways.rules.push_back(way);
    }
  }
  for (const size_t i : deciders) {
    out->rules.push_back({list.rules[i].id, list.rules[i].digest});
    if (list.limits[i]) out->limits.push_back(list.limits[i]);
  }
  if (!open && denier < list.rules.size()) out->denied_by = list.rules[denier].id;
  out->record = packed(*out, names_);
  return out;
}

}  // namespace umberhoist::access
