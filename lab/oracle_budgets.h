// budget_kept: what all relays together spend of a whole, counted where the calls arrive (B1, B5).
//
// Promised by the relays: calls of one budget in any window of w = 1, 2, 5 and 10 s are at most
// whole * (w + burst + connect timeout) + 1. Where the whole changed, the largest counts that was in force at
// any moment from (window's start - term - 6 s) to its end: a lowered one takes so long to be told and taken
// hold of. A whole that is 0 or below is unknown, and nothing is checked where none was known all along.
//
// Not judged, but shown: calls beyond a plain bucket of the whole with the burst; and how evenly the relays
// share where a whole is scarce and all of them serve, as Jain's index. It is of calls seen, so it means
// something only where demand is equal.
//
// Streaming: keeps 10 s of calls and the wholes that can still count. Times never go back. Budgets are
// by name: dest/7, rule/CUSTOMER/ID.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "verdict.h"

namespace umberhoist::lab {

class BudgetKept {
 public:
  struct Terms {          // seconds
    double burst = 1;     // of a whole may be saved up
    double connect = 1;   // a call may be on its way for so long before it arrives
    double term = 3;      // of a lease
    double told = 6;      // a change of a whole is known by then
    double slack = 0.05;  // on sockets: every window counts as so much longer
    double steady = 10;   // all relays serve so long before shares are held to be settled
  };

  BudgetKept(const Terms& terms, int relays) : terms_(terms), shares_(static_cast<size_t>(relays)) {}

  void whole(double now, const std::string& budget, double per_s);  // in force from now on
  void call(double now, const std::string& budget, int relay);      // its last byte came
  void serving(double now, bool all);                               // whether all relays serve, from now on

  const Verdict& verdict() const { return verdict_; }
  double largest_ratio() const { return largest_; }  // of what is allowed; 1: all of it, -1: no call
  uint64_t over_whole() const { return over_; }      // calls beyond a plain bucket
  const std::vector<double>& shares() const { return shares_; }  // calls by relay where the whole was scarce

 private:
  struct Budget {
    std::deque<std::pair<double, double>> wholes;  // since when, calls a second
    std::deque<double> calls;
    double tokens = -1;
    double filled = 0;
  };

  double largest_since(const Budget& budget, double from) const;

  Terms terms_;
  std::map<std::string, Budget> budgets_;
  Verdict verdict_;
  double largest_ = -1;
  uint64_t over_ = 0;
  double all_since_ = 0;  // below 0: not all serve
  std::vector<double> shares_;
};

}  // namespace umberhoist::lab
