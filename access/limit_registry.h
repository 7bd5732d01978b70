// Ids of the rate limits that rules set, by which route tables and grants refer to a limit
// (firspool/route_table.h). Each budget has one id. It stays the same in each policy version, and is reused
// only when no rule in force and no message refers to it any more.
//
// The rate of a limit is the one of the rule in force. Without such a rule it is the lowest rate in the
// records of the messages that came under the limit.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace umberhoist::access {

struct Limit {
  int id = 0;
  std::string budget;  // rule/CUSTOMER/ID
  double per_s = 0;    // calls a second over the whole fleet
};

class LimitRegistry {
 public:
  // The limit of a rule in force. Its id is reserved as long as the pointer is held.
  std::shared_ptr<const Limit> acquire(const std::string& budget, double per_s);
  // The limit that the record of a message names.
  std::shared_ptr<const Limit> acquire_recorded(const std::string& budget, double per_s);
  // Call before acquiring the limits of another policy version.
  void begin_policy_version() { current_.clear(); }

  // All limits that are still held, ordered by id.
  std::vector<Limit> active() const;

 private:
  std::shared_ptr<Limit> find_or_add(const std::string& budget, double per_s);

  std::map<std::string, std::weak_ptr<Limit>> by_budget_;
  std::set<std::string> current_;  // budgets of the rules in force
};

}  // namespace umberhoist::access
