// Index of a customer's rules: for each class, kind and region, and for each partner that a rule names, the
// set of rules that match it. Its size is proportional to the length of the rules' lists, not to the number
// of combinations that they match.
#pragma once

#include <unordered_map>
#include <vector>

#include "rules.h"

namespace umberhoist::access {

class RuleIndex {
 public:
  explicit RuleIndex(const Customer& customer);

  size_t size() const { return all_.size(); }  // number of rules
  const Bitset& with_class(size_t i) const { return classes_[i]; }
  const Bitset& with_kind(size_t i) const { return kinds_[i]; }
  const Bitset& with_source(size_t i) const { return from_[i]; }
  const Bitset& with_target(size_t i) const { return to_[i]; }
  const Bitset& any_partner() const { return any_partner_; }  // rules without a list of partners
  // Rules that name this partner; null if none does.
  const std::vector<size_t>* naming_partner(int partner) const;
  Bitset with_partner(int partner) const;  // rules that match this partner

  // Rules that match everything that `rule` matches, and rules that match some of it.
  Bitset covering(const Rule& rule) const;
  Bitset overlapping(const Rule& rule) const;

 private:
  Bitset all_;
  std::vector<Bitset> classes_, kinds_, from_, to_;
  Bitset any_partner_;
  std::unordered_map<int, std::vector<size_t>> partners_;
};

}  // namespace umberhoist::access
