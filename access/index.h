// Which of a customer's rules match a value: a set of rules for each class, kind and region, and for each
// partner that a rule names. Its size follows the rules' texts, not the product of what they name.
#pragma once

#include <unordered_map>
#include <vector>

#include "rules.h"

namespace umberhoist::access {

class Index {
 public:
  explicit Index(const Customer& customer);

  size_t size() const { return every_.size(); }  // rules
  const Bits& of_class(size_t i) const { return classes_[i]; }
  const Bits& of_kind(size_t i) const { return kinds_[i]; }
  const Bits& from(size_t i) const { return from_[i]; }
  const Bits& to(size_t i) const { return to_[i]; }
  const Bits& any_partner() const { return any_partner_; }  // rules that name none
  // Rules that name this one; null: none does.
  const std::vector<size_t>* naming(int partner) const;
  Bits of_partner(int partner) const;

  // Rules that hold all of `rule`, and rules that hold some of it.
  Bits covering(const Rule& rule) const;
  Bits meeting(const Rule& rule) const;

 private:
  Bits every_;
  std::vector<Bits> classes_, kinds_, from_, to_;
  Bits any_partner_;
  std::unordered_map<int, std::vector<size_t>> partners_;
};

}  // namespace umberhoist::access
