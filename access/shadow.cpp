#include "shadow.h"

#include <algorithm>
#include <iterator>

#include "index.h"

namespace umberhoist::access {
namespace {

// Named partners, or all but these.
struct Partners {
  bool others = false;
  std::vector<int> named;  // sorted

  explicit Partners(const std::vector<int>& list) : others(list.empty()), named(list) {}

  bool any() const { return others || !named.empty(); }
  Partners without(const Partners& b) const { return cut(b, false); }
  Partners with(const Partners& b) const { return cut(b, true); }

 private:
  // What lies within b, or what does not.
  Partners cut(const Partners& b, bool within) const {
    Partners out({});
    const bool keep_named = b.others != within;  // of ours, those that b names; else those that it does not
    const auto add = std::back_inserter(out.named);
    if (others && keep_named) {  // all that b names but what we leave out
      out.others = false;
      std::ranges::set_difference(b.named, named, add);
    } else if (others) {
      out.others = true;
      std::ranges::set_union(named, b.named, add);
    } else {
      out.others = false;
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
  Bits classes, kinds, from, to;
  Partners partners;

  explicit Box(const Rule& r)
      : classes(r.classes), kinds(r.kinds), from(r.from), to(r.to), partners(r.partners) {}
};

// What is left of `whole` beside `gone`: at most a box for each dimension.
void subtract(Box whole, const Box& gone, std::vector<Box>& out) {
  if (!whole.classes.meets(gone.classes) || !whole.kinds.meets(gone.kinds) || !whole.from.meets(gone.from) ||
      !whole.to.meets(gone.to) || !whole.partners.with(gone.partners).any()) {
    out.push_back(std::move(whole));
    return;
  }
  for (Bits Box::*side : {&Box::classes, &Box::kinds, &Box::from, &Box::to}) {
    Bits rest = whole.*side;
    rest -= gone.*side;
    if (rest.any()) {
      out.push_back(whole);
      out.back().*side = std::move(rest);
      whole.*side &= gone.*side;
    }
  }
  if (Partners rest = whole.partners.without(gone.partners); rest.any()) {
    whole.partners = std::move(rest);
    out.push_back(std::move(whole));
  }
}

// A message that reaches the rule, sought at a few places: most rules that can be reached are seen here.
bool reached_somewhere(const Index& index, const Rule& rule, size_t at) {
  const auto pick = [](const Bits& set, size_t turn) {
    std::vector<size_t> values;
    set.each([&](size_t v) { values.push_back(v); });
    return values[turn % values.size()];
  };
  for (size_t turn = 0; turn < 8; ++turn) {
    Bits left = rule.partners.empty() ? index.any_partner()
                                      : index.of_partner(rule.partners[turn % rule.partners.size()]);
    left &= index.of_class(pick(rule.classes, turn));
    left &= index.from(pick(rule.from, turn));
    if (Bits::first_of(left, index.of_kind(pick(rule.kinds, turn)), index.to(pick(rule.to, turn))) == at) {
      return true;
    }
  }
  return false;
}

bool covered_together(const Customer& customer, const Bits& earlier, const Rule& rule, Work& work) {
  int left = std::min(work.for_rule, work.left);
  const int before = left;
  std::vector<Box> rest{Box(rule)}, next;
  std::vector<size_t> order;
  earlier.each([&](size_t i) { order.push_back(i); });
  for (const size_t i : order) {
    const Box gone(customer.rules[i]);
    next.clear();
    for (Box& box : rest) {
      left -= 1 + static_cast<int>(box.partners.named.size() + gone.partners.named.size());
      if (left <= 0) break;
      subtract(std::move(box), gone, next);
    }
    if (left <= 0) break;
    rest.swap(next);
    if (rest.empty()) break;
  }
  work.left -= before - std::max(left, 0);
  return left > 0 && rest.empty();
}

}  // namespace

std::optional<Shadow> first_shadowed(const Customer& customer, Work& work) {
  const Index index(customer);
  const Rule& any = customer.rules.back();
  // With no class, kind or region at all there is nothing to be reached.
  if (!any.classes.any() || !any.kinds.any() || !any.to.any()) return {};
  for (size_t i = 0; i + 1 < customer.rules.size(); ++i) {
    const Rule& rule = customer.rules[i];
    if (reached_somewhere(index, rule, i)) continue;
    Bits covering = index.covering(rule);
    covering.cut(i);
    if (covering.any()) return Shadow{i, static_cast<int>(covering.first())};
    Bits meeting = index.meeting(rule);
    meeting.cut(i);
    if (covered_together(customer, meeting, rule, work)) return Shadow{i, -1};
  }
  return {};
}

}  // namespace umberhoist::access
