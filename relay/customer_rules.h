// The customers' rules that this relay decides by (access/), and those that its messages came under before.
#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "../access/compiled_rules.h"
#include "../access/hits.h"
#include "message.h"

namespace firspool::relay {

class CustomerRules {
 public:
  explicit CustomerRules(const umberhoist::access::Rules& rules) { retune(rules); }

  // New messages are decided on by these; those that are held keep their verdicts. Numbers of zones and kinds
  // keep their meaning (names_kept()).
  void retune(const umberhoist::access::Rules& rules);

  // Null: its customer has no rules.
  std::shared_ptr<const umberhoist::access::Decision> of(const Handed& message) const;
  // As it was written down. Null where it was not.
  std::shared_ptr<const umberhoist::access::Decision> recorded(std::string_view bytes);

  const umberhoist::access::RuleKeys& in_force() const { return in_force_; }
  uint64_t passes() const { return compiled_ ? compiled_->evaluations() : 0; }
  size_t remembered() const { return compiled_ ? compiled_->cached_decisions() : 0; }

  // Limits that rules in force or messages name, by number. Whoever divides them over the fleet tells the
  // module each part.
  std::vector<umberhoist::access::Limit> limits() const { return limits_.active(); }
  // Where nobody does: even parts for so many relays, as far as they are not what was answered last.
  std::vector<ShareGranted> even_parts(int relays);

 private:
  umberhoist::access::LimitRegistry limits_;
  umberhoist::access::Names names_;
  int zone_ = 0;
  std::unique_ptr<umberhoist::access::CompiledRules> compiled_;  // null: no customer has rules
  umberhoist::access::RuleKeys in_force_;
  std::map<int, double> told_;  // by number: the part that was answered last
};

}  // namespace firspool::relay
