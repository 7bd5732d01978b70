// The fleet's policy, asked of any of its relays and changed through one.
#pragma once

#include <string>
#include <vector>

namespace umberhoist::ctl {

// Exit codes.
constexpr int kInForce = 0;
constexpr int kAborted = 1;  // or refused: it takes hold nowhere
constexpr int kUnusable = 2;
constexpr int kUndecided = 3;

struct Proposal {
  std::string file;
  std::string id;  // empty: one is made
  bool wait = false;
  double patience_s = 30;
};

// Hands a change in at the first relay that takes it; with `wait`, tells how it goes until it has ended.
int propose_policy(const std::vector<std::string>& relays, const Proposal& proposal);
// Of each relay; 0 where all of them hold one version with their doors open.
int policy_status(const std::vector<std::string>& relays);
int policy_history(const std::vector<std::string>& relays);
// What `to` changes of `from`, by the first relay that keeps both. 0: nothing, 1: something.
int policy_diff(const std::vector<std::string>& relays, const std::string& from, const std::string& to);
// ABORT, REPLACE: handed in at the first relay that takes it.
int policy_call(const std::vector<std::string>& relays, const std::string& call);

}  // namespace umberhoist::ctl
