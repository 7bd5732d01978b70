// Changes of the fleet's policy in a play, and which policy each relay acts under as clients can tell: each
// generation of the policy has a message class of its own, which relays that act under another do not know.
// Clients hand one message of each generation that may be in force to each relay again and again.
#pragma once

#include "fleet.h"
#include "resp.h"

namespace umberhoist::lab {

// The class by which a generation is known.
nlohmann::json marker_class(int generation);

class Policies {
 public:
  Policies(World& world, Fleet& fleet, std::string folder)
      : world_(world), fleet_(fleet), folder_(std::move(folder)) {}

  void start();
  // Each of `relays` (or the next that serves) is handed a generation of its own at this moment.
  // `state`: aborted, and what is changed beside the marker (rule_plan.h).
  void propose(const std::vector<int>& relays, const std::string& state);
  // The play is over: what relays say of each change is held against what was seen.
  void finish();

 private:
  void mark(int relay);
  std::vector<int> candidates() const;
  void hand_in(int relay, int generation);
  int serving_from(int relay) const;
  void turned_down(int generation, const std::string& why);

  World& world_;
  Fleet& fleet_;
  std::string folder_;
  int last_ = 0;  // generation proposed
  bool over_ = false;
};

}  // namespace umberhoist::lab
