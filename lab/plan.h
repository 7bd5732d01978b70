// The plan that a seed draws from a scenario: all that chance decides before the play. Each fault is drawn
// from a stream of its own, so that the same seed gives the same plan and a fault keeps its figures when
// another is taken out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fault.h"
#include "scenario.h"

namespace umberhoist::lab {

struct PlannedPartner {
  bool large = false;
  int endpoints = 1;
  double pace = 0.25;
  double limit = 10;  // calls a second
  double weight = 0;  // of the traffic
};

struct PlannedMessage {
  double at = 0;
  int message_class = 0;
  int tenant = 0;
  int destination = 0;
};

struct Plan {
  uint64_t seed = 0;
  std::vector<PlannedPartner> partners;
  std::vector<PlannedMessage> messages;
  std::vector<Fault> faults;        // by time
  std::vector<double> wall_offset;  // of each relay, seconds
  uint64_t digest() const;          // two plans with the same are the same
};

Plan draw(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::lab
