// The lab's own plain reading of customers' access rules, apart from the one that relays have (access/): what
// a list of rules says of one message, and which rules decided it. docs/access.md has the rules' meaning.
//
// A way is a zone and a kind of endpoint. For each way the first rule that matches decides; where none does,
// the customer's default. A rule's conditions are lists, and an empty one matches all; `to` of a prefer is no
// condition. All ways denied: the message is denied, by the first rule (in the list's order) that denied one,
// or by the default.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace umberhoist::lab {

constexpr const char* kDefaultRule = "default";  // decides, and is counted, where no rule matches

struct AccessRule {
  std::string id;
  std::string say;  // allow, deny, prefer, limit
  std::vector<std::string> classes;
  std::vector<int> partners;
  std::vector<std::string> kinds;
  std::vector<std::string> from;  // zones of relays
  std::vector<std::string> to;    // zones of endpoints
  double per_s = 0;               // limit: calls a second over the fleet
};

struct CustomerRules {
  std::string otherwise;  // allow, deny; empty: the customer has no rules
  std::vector<AccessRule> rules;
};

struct Asked {  // what the rules see of a message
  std::string customer;
  std::string message_class;
  int destination = 0;
  std::string from;  // zone of the relay
};

struct Ruling {
  struct Way {
    bool allowed = true;
    std::string rule;   // that decided
    std::string limit;  // the rule whose limit it pays; empty: none
  };
  std::map<std::pair<std::string, std::string>, Way> ways;  // by zone and kind
  std::vector<std::string> hits;                            // rules that decided a way, each once
  std::vector<std::string> denying;                         // rules that denied a way
  bool denied = false;                                      // all ways
};

Ruling rule(const CustomerRules& rules, const Asked& message, const std::vector<std::string>& zones,
            const std::vector<std::string>& kinds);

// As the policy has it: {"default":...,"rules":[...]}.
nlohmann::json access_section(const CustomerRules& rules);

}  // namespace umberhoist::lab
