// The rules of one policy version, compiled for fast decisions.
//
// For each route (a zone and kind of endpoint), the first of the customer's rules that matches decides. A
// decision depends only on the message, this relay's region and the rules. Customers without rules have no
// decision.
//
// Decisions are cached by customer, class, region and partner; all partners that none of the customer's rules
// names share one entry. A cached decision costs four hash lookups, whatever the number of rules. One that is
// not cached costs a pass over bitsets of the customer's rules. A full cache (kMaxCachedDecisions) is
// cleared. Not thread-safe.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision.h"
#include "rule_index.h"

namespace umberhoist::access {

class CompiledRules {
 public:
  static constexpr size_t kMaxCachedDecisions = 16'384;

  // Takes the ids of limits from `limits`, which must outlive this object.
  CompiledRules(const Rules& rules, LimitRegistry& limits);

  // Null if the customer has no rules. A class that is missing in the settings matches only rules without a
  // list of classes.
  std::shared_ptr<const Decision> decide(const std::string& customer, const std::string& message_class,
                                         int destination, int from_zone) const;

  size_t cached_decisions() const { return cache_.size(); }
  uint64_t evaluations() const { return evaluations_; }  // decisions that were not cached

 private:
  struct RuleList {
    std::string name;
    std::vector<Rule> rules;
    std::vector<std::shared_ptr<const Limit>> limits;  // by rule; null: not a limit
    RuleIndex index;
  };
  struct CacheKey {
    size_t customer;
    int message_class;  // -1: not in the settings
    int partner;        // -1: a partner that no rule names
    int zone;
    bool operator==(const CacheKey&) const = default;
  };
  struct CacheKeyHash {
    size_t operator()(const CacheKey& key) const;
  };

  std::shared_ptr<const Decision> evaluate(const RuleList& list, const CacheKey& key) const;

  Names names_;
  std::vector<RuleList> lists_;
  std::unordered_map<std::string, size_t> customers_;
  std::unordered_map<std::string, int> classes_;
  mutable std::unordered_map<CacheKey, std::shared_ptr<const Decision>, CacheKeyHash> cache_;
  mutable uint64_t evaluations_ = 0;
};

}  // namespace umberhoist::access
