// What all oracles share: the limits of the play, and the book of what was checked and what broke.
//
// Every oracle counts what it checked, so that one that never had anything to check shows as 0 and not as
// held.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>

#include "verdict.h"

namespace umberhoist::lab {

struct Rules {  // of the play; slack is added here and nowhere else
  double drain_grace = 2;
  double slack = 0.05;         // every limit is so much longer on sockets
  double final_slack = 0.3;    // after a message's time is up
  double restart_slack = 1.5;  // after the relay is ready again, for what came due meanwhile
  double wait_grace = 0.1;     // calls that arrive so soon after a told wait had been sent before
  double end_within = 3.7;     // of SIGTERM
  double ready_within = 10;    // of a start
  double policy_mix = 3.0 * (1 + 2 / 500.0);  // two policies are in force at once for so long at most
  double dropped_share = 0.005;               // of the requests may be closed with no answer
  double memory_bytes = 192e6;
  double disk_bytes = 3e6;
  int sockets = 1024;
};

class Verdicts {
 public:
  using State = Verdict;

  void add(std::initializer_list<const char*> oracles);  // they show from now on
  void checked(const std::string& oracle) { ++states_[oracle].checked; }
  // Keeps the earliest.
  void broke(const std::string& oracle, double now, int relay, const std::string& what);

  const std::map<std::string, State>& states() const { return states_; }
  bool held() const;

 private:
  std::map<std::string, State> states_;
};

std::string seconds(double t);  // for a person

}  // namespace umberhoist::lab
