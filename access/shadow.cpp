#include "shadow.h"

#include <algorithm>
#include <iterator>

#include "rule_index.h"

namespace umberhoist::access {
namespace {

// A set of partners: those in `named`, or all others.
struct Partners {
  bool complement = false;
  std::vector<int> named;  // sorted

  explicit Partners(const std::vector<int>& list) : complement(list.empty()), named(list) {}

  bool any() const { return complement || !named.empty(); }
  Partners difference(const Partners& b) const { return combine(b, false); }
  Partners intersection(const Partners& b) const { return combine(b, true); }

 private:
  // The intersection with b, or the difference.
  Partners combine(const Partners& b, bool intersect) const {
    Partners out({});
    const bool keep_named = b.complement != intersect;  // keeps what b names, or what it does not
    const auto add = std::back_inserter(out.named);
    if (complement && keep_named) {  // what b names, without what this set excludes
      out.complement = false;
      std::ranges::set_difference(b.named, named, add);
    } else if (complement) {
      out.complement = true;
      std::ranges::set_union(named, b.named, add);
    } else {
      out.complement = false;
      if (keep_named) {
        std::ranges::set_intersection(named, b.named, add);
      } else {
        std::ranges::set_difference(named, b.named, add);
      }
    }
    return out;
  }
};

struct Box {
  Bitset classes, kinds, from, to;
  Partners partners;

  explicit Box(const Rule& r)
      : classes(r.classes), kinds(r.kinds), from(r.from), to(r.to), partners(r.partners) {}
};

// Appends `box` without `removed` to `out`: at most one box per dimension.
void subtract(Box box, const Box& removed, std::vector<Box>& out) {
  if (!box.classes.intersects(removed.classes) || !box.kinds.intersects(removed.kinds) ||
      !box.from.intersects(removed.from) || !box.to.intersects(removed.to) ||
      !box.partners.intersection(removed.partners).any()) {
    out.push_back(std::move(box));
    return;
  }
  for (Bitset Box::*side : {&Box::classes, &Box::kinds, &Box::from, &Box::to}) {
    Bitset rest = box.*side;
    rest -= removed.*side;
    if (rest.any()) {
      out.push_back(box);
      out.back().*side = std::move(rest);
      box.*side &= removed.*side;
    }
  }
  if (Partners rest = box.partners.difference(removed.partners); rest.any()) {
    box.partners = std::move(rest);
    out.push_back(std::move(box));
  }
}

// Looks for a message that reaches the rule at a few sample points. Finds one for most reachable rules, which
// then need no set subtraction.
bool reachable_by_sample(const RuleIndex& index, const Rule& rule, size_t position) {
  const auto pick = [](const Bitset& set, size_t sample) {
    std::vector<size_t> values;
    set.for_each([&](size_t v) { values.push_back(v); });
    return values[sample % values.size()];
  };
  for (size_t sample = 0; sample < 8; ++sample) {
    Bitset left = rule.partners.empty() ? index.any_partner()
                                        : index.with_partner(rule.partners[sample % rule.partners.size()]);
    left &= index.with_class(pick(rule.classes, sample));
    left &= index.with_source(pick(rule.from, sample));
    if (Bitset::first_common(left, index.with_kind(pick(rule.kinds, sample)),
                             index.with_target(pick(rule.to, sample))) == position) {
      return true;
    }
  }
  return false;
}

bool covered_by_union(const Customer& customer, const Bitset& earlier, const Rule& rule, StepBudget& budget) {
  int left = std::min(budget.max_per_rule, budget.remaining);
  const int before = left;
  std::vector<Box> rest{Box(rule)}, next;
  std::vector<size_t> order;
  earlier.for_each([&](size_t i) { order.push_back(i); });
  for (const size_t i : order) {
    const Box removed(customer.rules[i]);
    next.clear();
    for (Box& box : rest) {
      left -= 1 + static_cast<int>(box.partners.named.size() + removed.partners.named.size());
      if (left <= 0) break;
      subtract(std::move(box), removed, next);
    }
    if (left <= 0) break;
    rest.swap(next);
    if (rest.empty()) break;
  }
  budget.remaining -= before - std::max(left, 0);
  return left > 0 && rest.empty();
}

}  // namespace

std::optional<Shadow> find_shadowed_rule(const Customer& customer, StepBudget& budget) {
  const RuleIndex index(customer);
  const Rule& match_all = customer.rules.back();
  // Without any class, kind or region no message matches any rule.
  if (!match_all.classes.any() || !match_all.kinds.any() || !match_all.to.any()) return {};
  for (size_t i = 0; i + 1 < customer.rules.size(); ++i) {
    const Rule& rule = customer.rules[i];
    if (reachable_by_sample(index, rule, i)) continue;
    Bitset covering = index.covering(rule);
    covering.truncate(i);
    if (covering.any()) return Shadow{i, static_cast<int>(covering.first())};
    Bitset overlapping = index.overlapping(rule);
    overlapping.truncate(i);
    if (covered_by_union(customer, overlapping, rule, budget)) return Shadow{i, -1};
  }
  return {};
}

}  // namespace umberhoist::access
