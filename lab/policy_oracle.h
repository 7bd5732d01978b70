// one_policy: which generation of the fleet's policy relays act under, as their clients can tell. Two are in
// force at once for Rules::policy_mix at most, none comes back, and one that was aborted never is.
#pragma once

#include "verdicts.h"

namespace umberhoist::lab {

class PolicyOracle {
 public:
  PolicyOracle(const Rules& rules, Verdicts& verdicts);

  // A relay took a message on under a generation, asked at `asked`.
  void acted(double now, double asked, int relay, int generation);
  void proposed(double now, int generation) { seen_.proposed[generation] = now; }
  // A relay says how a change ended.
  void change_ended(double now, int relay, int generation, bool in_force);
  // A relay serves as the play ends: it must have acted under the newest, a moment ago.
  void acts_at_end(double now, int relay);
  struct Seen {
    std::map<int, double> proposed;
    std::map<int, double> first;                 // generation: when one was first seen to act under it
    std::map<int, std::pair<int, double>> last;  // relay: under which it acted last, and when
    std::map<int, std::map<int, double>> taken;  // generation: relays, and when each first acted under it
    double longest_mix = 0;                      // seconds that two were acted under
    double slowest = -1;                         // from a proposal until the last relay acted under it
  };
  const Seen& seen() const { return seen_; }

 private:
  const Rules& rules_;
  Verdicts& verdicts_;
  Seen seen_;
};

}  // namespace umberhoist::lab
