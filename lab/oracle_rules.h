// rules_kept: nothing goes where its customer's rules forbid it (A1, A2), judged by the lab's own reading of
// the rules (rule_reading.h) that it put into the policy.
//
// Promised by the relays, for each message by the generation of the policy under which it came:
// - no call of it reaches an endpoint by a way (zone, kind) that is forbidden;
// - one that is denied everywhere is answered -DENIED and not taken on;
// - -DENIED names a rule that denied a way of it, and is said only where all ways are denied.
// Where several generations may have been in force (versions.h) any of them may hold: only what all of them
// turn down is a break. Judged once the play is over.
#pragma once

#include "door.h"
#include "policy_book.h"
#include "verdict.h"
#include "versions.h"

namespace umberhoist::lab {

class RulesKept {
 public:
  RulesKept(const PolicyBook& book, const Versions& versions) : book_(book), versions_(versions) {}

  void judge(const std::string& id, const DoorRecord& record);

  const Verdict& verdict() const { return verdict_; }
  uint64_t in_doubt() const { return in_doubt_; }      // messages that several generations may have ruled
  uint64_t denied() const { return denied_; }          // messages answered so
  uint64_t restricted() const { return restricted_; }  // calls by messages some of whose ways are forbidden

 private:
  const PolicyBook& book_;
  const Versions& versions_;
  Verdict verdict_;
  uint64_t in_doubt_ = 0;
  uint64_t denied_ = 0;
  uint64_t restricted_ = 0;
};

}  // namespace umberhoist::lab
