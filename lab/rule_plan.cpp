#include "rule_plan.h"

#include <algorithm>
#include <numeric>

namespace umberhoist::lab {
namespace {

// Partners in an order of chance, from which each rule takes its own.
class Slices {
 public:
  Slices(int partners, Chance& chance) : left_(static_cast<size_t>(partners)) {
    std::iota(left_.begin(), left_.end(), 0);
    std::shuffle(left_.begin(), left_.end(), chance);
    each_ = std::max<size_t>(1, left_.size() / 8);
  }
  // Empty where none is left.
  std::vector<int> next() {
    std::vector<int> out(left_.begin(), left_.begin() + static_cast<long>(std::min(each_, left_.size())));
    left_.erase(left_.begin(), left_.begin() + static_cast<long>(out.size()));
    std::ranges::sort(out);
    return out;
  }

 private:
  std::vector<int> left_;
  size_t each_;
};

CustomerRules draw_rules(const Scenario& s, int generation, Chance& chance) {
  std::uniform_real_distribution<double> unit(0, 1);
  const auto one_of = [&](size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(chance);
  };
  const auto zone = [&] { return zone_name(static_cast<int>(one_of(static_cast<size_t>(s.access.zones)))); };
  const auto some_class = [&] { return s.classes[one_of(s.classes.size())].name; };
  const std::string tail = "-" + std::to_string(generation);
  Slices slices(s.partners.count, chance);
  CustomerRules out;
  out.otherwise = "allow";
  const auto add = [&](AccessRule r) {
    r.id += tail;
    if (!r.partners.empty()) out.rules.push_back(std::move(r));
  };
  const bool zones = s.access.zones > 1, classes = s.classes.size() > 1;
  if (zones) add({"no-zone", "deny", {}, slices.next(), {}, {}, {zone()}, 0});
  if (classes) add({"no-class", "deny", {some_class()}, slices.next(), {}, {}, {}, 0});
  if (zones) add({"near", "prefer", {}, slices.next(), {}, {}, {zone()}, 0});
  if (s.budgets.on && s.access.limit > 0)
    add({"slow", "limit", {}, slices.next(), {}, {}, {}, s.access.limit});
  if (zones) add({"not-from", "deny", {}, slices.next(), {}, {zone()}, {}, 0});
  if (classes) {
    const std::vector<int> shared = slices.next();
    add({"but-class", "allow", {some_class()}, shared, {}, {}, {}, 0});
    add({"no-kind", "deny", {}, shared, {kKinds[one_of(2)]}, {}, {}, 0});
  }
  if (unit(chance) < s.access.deny_rest) {
    out.otherwise = "deny";
    out.rules.push_back({"rest" + tail, "allow", {s.classes.front().name}, {}, {}, {}, {}, 0});
  }
  return out;
}

}  // namespace

PolicyText founding_policy(const Scenario& s, uint64_t seed) {
  PolicyText out;
  if (!s.access.on) return out;
  for (const WrittenRule& written : s.access.rules) {
    CustomerRules& rules = out.access[written.customer];
    rules.otherwise = "allow";
    rules.rules.push_back(written.rule);
  }
  if (!s.access.rules.empty()) return out;
  Chance chance(seed, 5000);
  std::uniform_real_distribution<double> unit(0, 1);
  for (const TenantSpec& tenant : s.tenants) {
    if (unit(chance) < s.access.customers) out.access[tenant.name] = draw_rules(s, 0, chance);
  }
  return out;
}

PolicyText next_policy(const Scenario& s, uint64_t seed, int generation, const PolicyText& base,
                       const std::string& what) {
  PolicyText out = base;
  Chance chance(seed, 5000 + static_cast<uint64_t>(generation));
  if (what == "rules" && s.access.on && s.access.rules.empty()) {
    std::uniform_real_distribution<double> unit(0, 1);
    for (const TenantSpec& tenant : s.tenants) {
      if (out.removed.contains(tenant.name) || unit(chance) < 0.3) continue;
      out.access[tenant.name] = draw_rules(s, generation, chance);
    }
  } else if (what == "customer") {
    std::vector<std::string> there;  // the first always stays
    for (size_t i = 1; i < s.tenants.size(); ++i) {
      if (!out.removed.contains(s.tenants[i].name)) there.push_back(s.tenants[i].name);
    }
    if (there.empty()) return out;
    const std::string& gone = there[std::uniform_int_distribution<size_t>(0, there.size() - 1)(chance)];
    out.removed.insert(gone);
    out.access.erase(gone);
  }
  return out;
}

}  // namespace umberhoist::lab
