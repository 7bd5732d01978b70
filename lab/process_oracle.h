// starts, clean_end, limits_kept, no_orphan, view_settles: what the kernel and the operators' listeners tell
// of the relays as processes.
#pragma once

#include "verdicts.h"

namespace umberhoist::lab {

class ProcessOracle {
 public:
  ProcessOracle(const Rules& rules, Verdicts& verdicts);

  void started(double now, int relay, double took);
  void ended(double now, int relay, bool asked, int status, double after);
  void measured(double now, int relay, double memory, int descriptors, double disk);
  // Relays' views of each other settled after so long, or (`wrong` says how) did not.
  void view(double now, double took, double most, const std::string& wrong);
  void left_behind(double now, int relay, const std::string& what);

 private:
  const Rules& rules_;
  Verdicts& verdicts_;
};

}  // namespace umberhoist::lab
