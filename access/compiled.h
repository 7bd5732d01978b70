// The rules of one policy version, made ready once.
//
// Promised: the first rule in a customer's order that matches a way (a zone and kind of endpoint) decides
// it; the answer follows from message, region and rules alone. A customer without rules has no verdict. In
// the common case a verdict costs four hash lookups, whatever the number of rules: verdicts are remembered
// by customer, class, region and partner, where all partners that none of the customer's rules names are
// one. At most kMostRemembered are; then all are forgotten. One that is not remembered costs a pass over the
// customer's rules as bits. Not safe for use by several threads.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "index.h"
#include "verdict.h"

namespace umberhoist::access {

class Compiled {
 public:
  static constexpr size_t kMostRemembered = 16'384;

  // Numbers of limits are taken from `limits`, which outlasts this.
  Compiled(const Rules& rules, Limits& limits);

  // Null: the customer has no rules. A class that is not in the settings matches only rules for each class.
  std::shared_ptr<const Verdict> verdict(const std::string& customer, const std::string& message_class,
                                         int destination, int from_zone) const;

  size_t remembered() const { return memo_.size(); }
  uint64_t passes() const { return passes_; }  // verdicts that were not remembered

 private:
  struct List {
    std::string name;
    std::vector<Rule> rules;
    std::vector<std::shared_ptr<const Limit>> limits;  // by rule; null: it has none
    Index index;
  };
  struct Key {
    size_t customer;
    int message_class;
    int partner;  // -1: none that a rule names
    int zone;
    bool operator==(const Key&) const = default;
  };
  struct Hash {
    size_t operator()(const Key& key) const;
  };

  std::shared_ptr<const Verdict> decide(const List& list, const Key& key) const;

  Names names_;
  std::vector<List> lists_;
  std::unordered_map<std::string, size_t> customers_;
  std::unordered_map<std::string, int> classes_;
  mutable std::unordered_map<Key, std::shared_ptr<const Verdict>, Hash> memo_;
  mutable uint64_t passes_ = 0;
};

}  // namespace umberhoist::access
