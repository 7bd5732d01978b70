#include "limit_registry.h"

#include <algorithm>

namespace umberhoist::access {

std::shared_ptr<Limit> LimitRegistry::find_or_add(const std::string& budget, double per_s) {
  if (const auto it = by_budget_.find(budget); it != by_budget_.end()) {
    if (auto held = it->second.lock()) return held;
  }
  std::erase_if(by_budget_, [](const auto& entry) { return entry.second.expired(); });
  std::set<int> taken;
  for (const auto& [name, limit] : by_budget_) taken.insert(limit.lock()->id);
  int id = 0;
  for (const int n : taken) id += n == id ? 1 : 0;
  auto out = std::make_shared<Limit>(Limit{id, budget, per_s});
  by_budget_[budget] = out;
  return out;
}

std::shared_ptr<const Limit> LimitRegistry::acquire(const std::string& budget, double per_s) {
  auto out = find_or_add(budget, per_s);
  out->per_s = per_s;
  current_.insert(budget);
  return out;
}

std::shared_ptr<const Limit> LimitRegistry::acquire_recorded(const std::string& budget, double per_s) {
  auto out = find_or_add(budget, per_s);
  if (!current_.contains(budget)) out->per_s = std::min(out->per_s, per_s);
  return out;
}

std::vector<Limit> LimitRegistry::active() const {
  std::vector<Limit> out;
  for (const auto& [name, limit] : by_budget_) {
    if (const auto held = limit.lock()) out.push_back(*held);
  }
  std::ranges::sort(out, {}, &Limit::id);
  return out;
}

}  // namespace umberhoist::access
