// The faults of a scenario: as its file has them, and as a seed draws them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "range.h"

namespace umberhoist::lab {

class TableReader;

// What a fault does and to how many; which ones, the seed draws.
struct FaultSpec {
  std::string kind;
  std::string state;  // partner: down silent hung slow lossy errors shut; discovery: mute late; policy:
                      // aborted rules (some customers' are drawn anew) customer (one is removed)
  std::string folder = "kept";  // kill, term, roll: kept emptied torn
  Range at_s = {0, 0};
  Range for_s = {0, 0};
  Range share = {0, 0};  // of relays, partners or pairs; 0: `count` of them
  Range count = {1, 1};
  Range factor = {1, 1};   // slow, limit, surge, hot
  Range every_s = {1, 1};  // roll, reload
  int signals = 1;         // term, roll: SIGTERM comes so many times
  Range loss = {0, 0};     // net
  Range delay_ms = {0, 0};
  Range duplicate = {0, 0};
  Range reorder = {0, 0};
  std::string direction = "both";  // net: both, one
  int stream = 0;                  // of chance
};

// Throws Unusable. Its stream is the caller's to set where the file does not.
void read(TableReader& in, FaultSpec& out);

struct Fault {
  std::string kind;
  std::string state;
  std::string folder;
  double at = 0;
  double lasts = 0;
  double factor = 1;
  double loss = 0;
  double delay = 0;  // seconds
  double duplicate = 0;
  double reorder = 0;
  double every = 1;  // reload
  int signals = 1;
  bool one_way = false;
  std::vector<int> targets;  // relays, or destinations
  bool of_partners() const;  // else of relays
  std::string text() const;  // for a person, without the time
};

// Draws each and adds what comes of it, not yet by time: a roll is one fault a relay.
void draw_faults(const std::vector<FaultSpec>& specs, int partners, int relays, uint64_t seed,
                 std::vector<Fault>& out);

}  // namespace umberhoist::lab
