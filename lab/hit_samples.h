// Asks relays for the fleet's hit counts (ACCESS HITS on the operators' address): one relay after the other
// during the play, and all that serve at its end, until what they tell is what the lab counted.
#pragma once

#include "fleet.h"

namespace umberhoist::lab {

// A reply's lines; what is no rule's line is left out.
HitsExact::Counts read_hits(const std::vector<std::string>& lines);

class HitSamples {
 public:
  HitSamples(World& world, const Fleet& fleet) : world_(world), fleet_(fleet) {}

  void start();
  void stop() { over_ = true; }
  // Whether each relay that serves tells what was counted outside.
  bool exact();
  // The verdict on what they told last.
  void finish();

 private:
  void sample();
  std::optional<HitsExact::Counts> ask(int relay);

  World& world_;
  const Fleet& fleet_;
  int next_ = 0;
  bool over_ = false;
  std::map<int, HitsExact::Counts> last_;
};

}  // namespace umberhoist::lab
