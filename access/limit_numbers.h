// Numbers of rules' limits in this process, as ways and grants name them (firspool/ways.h): one for each
// budget, the same from version to version, and given to another only when no rule in force and no message
// names it any more.
//
// A limit's whole is what the newest rule of its name says; where none is in force, what the record of a
// message that came under it says, the lowest of these.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace umberhoist::access {

struct Limit {
  int number = 0;
  std::string budget;  // rule/CUSTOMER/ID
  double per_s = 0;    // of the whole fleet
};

class Limits {
 public:
  // One of a rule in force. It is the holder's for as long as it is kept.
  std::shared_ptr<const Limit> in_force(const std::string& budget, double per_s);
  // One that a record names.
  std::shared_ptr<const Limit> recorded(const std::string& budget, double per_s);
  // Before the rules of another version are told.
  void begin_version() { current_.clear(); }

  // All that are held, by number.
  std::vector<Limit> held() const;

 private:
  std::shared_ptr<Limit> find(const std::string& budget, double per_s);

  std::map<std::string, std::weak_ptr<Limit>> by_budget_;
  std::set<std::string> current_;  // told of this version
};

}  // namespace umberhoist::access
