#include "index.h"

namespace umberhoist::access {
namespace {

void enter(std::vector<Bits>& by_value, const Bits& values, size_t rule) {
  values.each([&](size_t v) { by_value[v].set(rule); });
}

}  // namespace

Index::Index(const Customer& customer)
    : every_(customer.rules.size(), true), any_partner_(customer.rules.size()) {
  const size_t n = customer.rules.size();
  const Rule& any = customer.rules.back();
  classes_.assign(any.classes.size(), Bits(n));
  kinds_.assign(any.kinds.size(), Bits(n));
  from_.assign(any.from.size(), Bits(n));
  to_.assign(any.to.size(), Bits(n));
  for (size_t i = 0; i < n; ++i) {
    const Rule& r = customer.rules[i];
    enter(classes_, r.classes, i);
    enter(kinds_, r.kinds, i);
    enter(from_, r.from, i);
    enter(to_, r.to, i);
    if (r.partners.empty()) any_partner_.set(i);
    for (const int partner : r.partners) partners_[partner].push_back(i);
  }
}

const std::vector<size_t>* Index::naming(int partner) const {
  const auto it = partners_.find(partner);
  return it == partners_.end() ? nullptr : &it->second;
}

Bits Index::of_partner(int partner) const {
  Bits out = any_partner_;
  if (const auto* rules = naming(partner)) {
    for (const size_t i : *rules) out.set(i);
  }
  return out;
}

Bits Index::covering(const Rule& rule) const {
  Bits out = every_;
  rule.classes.each([&](size_t v) { out &= classes_[v]; });
  rule.kinds.each([&](size_t v) { out &= kinds_[v]; });
  rule.from.each([&](size_t v) { out &= from_[v]; });
  rule.to.each([&](size_t v) { out &= to_[v]; });
  if (rule.partners.empty()) out &= any_partner_;
  for (const int partner : rule.partners) {
    if (!out.any()) break;
    out &= of_partner(partner);
  }
  return out;
}

Bits Index::meeting(const Rule& rule) const {
  Bits out = every_;
  const auto some = [&](const Bits& values, const std::vector<Bits>& by_value) {
    Bits held(every_.size());
    values.each([&](size_t v) { held |= by_value[v]; });
    out &= held;
  };
  some(rule.classes, classes_);
  some(rule.kinds, kinds_);
  some(rule.from, from_);
  some(rule.to, to_);
  if (rule.partners.empty()) return out;
  Bits held = any_partner_;
  for (const int partner : rule.partners) {
    if (const auto* rules = naming(partner)) {
      for (const size_t i : *rules) held.set(i);
    }
  }
  out &= held;
  return out;
}

}  // namespace umberhoist::access
