// What the lab put into each generation of the fleet's policy: which customers there are, and their rules.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rule_reading.h"

namespace umberhoist::lab {

struct PolicyText {
  std::map<std::string, CustomerRules> access;  // by customer; one that is not in it has no rules
  std::set<std::string> removed;                // customers
};

struct PolicyBook {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::map<int, PolicyText> generations;

  // The ruling under a generation.
  Ruling ruling(int generation, const Asked& asked) const {
    static const CustomerRules none;
    const PolicyText& text = generations.at(generation);
    const auto it = text.access.find(asked.customer);
    return rule(it == text.access.end() ? none : it->second, asked, zones, kinds);
  }
};

}  // namespace umberhoist::lab
