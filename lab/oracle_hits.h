// hits_exact: each rule's hits over the fleet are the messages that it decided (A4), counted from outside.
//
// A hit is a message that was taken on or denied and for which the rule decided a way, by the lab's own
// reading. What is in doubt is known: messages whose answer was lost, ones that came while two generations of
// the policy may have been in force, and ones taken on by a relay shortly before its folder was emptied. The
// fleet's count lies between the certain ones and these with the doubtful ones; and in the samples that are
// taken at one relay it never goes back.
//
// The exception to "no relay is ever asked": the counts are the relays' own, and only ACCESS HITS on the
// operators' address tells them, as POLICY HISTORY tells the policy's oracle how changes ended.
#pragma once

#include <functional>
#include <map>

#include "door.h"
#include "policy_book.h"
#include "verdict.h"
#include "versions.h"

namespace umberhoist::lab {

class HitsExact {
 public:
  using Rule = std::pair<std::string, std::string>;  // customer, id
  using Counts = std::map<Rule, uint64_t>;

  HitsExact(const PolicyBook& book, const Versions& versions) : book_(book), versions_(versions) {}

  // The fleet's counts as a relay tells them. A folder that is emptied may forget what it had heard.
  void told(double now, int relay, const Counts& counts);
  void emptied(double now, int relay);

  struct Bounds {
    std::map<Rule, uint64_t> certain;
    std::map<Rule, uint64_t> doubt;
    uint64_t messages_in_doubt = 0;
  };
  Bounds expected(const Door& door) const;
  // Empty where a relay's counts lie within; else which rule does not.
  static std::string wrong(const Bounds& bounds, const Counts& counts);
  // At the end, when all have had time to hear of it: what a relay tells.
  void final_counts(double now, int relay, const Bounds& bounds, const Counts& counts);

  const Verdict& verdict() const { return verdict_; }

 private:
  const PolicyBook& book_;
  const Versions& versions_;
  Verdict verdict_;
  std::map<int, Counts> last_;               // by relay
  std::map<int, std::vector<double>> lost_;  // by relay: when its folder was emptied
};

}  // namespace umberhoist::lab
