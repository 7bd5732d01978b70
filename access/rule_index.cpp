#include "rule_index.h"

namespace umberhoist::access {
namespace {

void add_rule(std::vector<Bitset>& by_value, const Bitset& values, size_t rule) {
  values.for_each([&](size_t v) { by_value[v].set(rule); });
}

}  // namespace

RuleIndex::RuleIndex(const Customer& customer)
    : all_(customer.rules.size(), true), any_partner_(customer.rules.size()) {
  const size_t n = customer.rules.size();
  const Rule& match_all = customer.rules.back();
  classes_.assign(match_all.classes.size(), Bitset(n));
  kinds_.assign(match_all.kinds.size(), Bitset(n));
  from_.assign(match_all.from.size(), Bitset(n));
  to_.assign(match_all.to.size(), Bitset(n));
  for (size_t i = 0; i < n; ++i) {
    const Rule& r = customer.rules[i];
    add_rule(classes_, r.classes, i);
    add_rule(kinds_, r.kinds, i);
    add_rule(from_, r.from, i);
    add_rule(to_, r.to, i);
    if (r.partners.empty()) any_partner_.set(i);
    for (const int partner : r.partners) partners_[partner].push_back(i);
  }
}

const std::vector<size_t>* RuleIndex::naming_partner(int partner) const {
  const auto it = partners_.find(partner);
  return it == partners_.end() ? nullptr : &it->second;
}

Bitset RuleIndex::with_partner(int partner) const {
  Bitset out = any_partner_;
  if (const auto* rules = naming_partner(partner)) {
    for (const size_t i : *rules) out.set(i);
  }
  return out;
}

Bitset RuleIndex::covering(const Rule& rule) const {
  Bitset out = all_;
  rule.classes.for_each([&](size_t v) { out &= classes_[v]; });
  rule.kinds.for_each([&](size_t v) { out &= kinds_[v]; });
  rule.from.for_each([&](size_t v) { out &= from_[v]; });
  rule.to.for_each([&](size_t v) { out &= to_[v]; });
  if (rule.partners.empty()) out &= any_partner_;
  for (const int partner : rule.partners) {
    if (!out.any()) break;
    out &= with_partner(partner);
  }
  return out;
}

Bitset RuleIndex::overlapping(const Rule& rule) const {
  Bitset out = all_;
  const auto keep_overlapping = [&](const Bitset& values, const std::vector<Bitset>& by_value) {
    Bitset matching(all_.size());
    values.for_each([&](size_t v) { matching |= by_value[v]; });
    out &= matching;
  };
  keep_overlapping(rule.classes, classes_);
  keep_overlapping(rule.kinds, kinds_);
  keep_overlapping(rule.from, from_);
  keep_overlapping(rule.to, to_);
  if (rule.partners.empty()) return out;
  Bitset matching = any_partner_;
  for (const int partner : rule.partners) {
    if (const auto* rules = naming_partner(partner)) {
      for (const size_t i : *rules) matching.set(i);
    }
  }
  out &= matching;
  return out;
}

}  // namespace umberhoist::access
