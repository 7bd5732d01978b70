// One MSG.PUT of a client: its bytes, and what the oracles hold the relay to for it.
#pragma once

#include "world.h"

namespace umberhoist::lab {

// What a client wants delivered, and how its request says so.
struct Wanted {
  int relay = 0;
  int message_class = 0;
  int tenant = 0;
  int destination = 0;
  double due = 0;        // on the play's clock
  std::string key;       // for a keyed class
  bool refused = false;  // it was refused before
  bool silent = false;   // its relay died or did not answer
};

struct Request {
  std::string id;
  std::string bytes;
};

// Under a new id, which the oracles know from now on.
Request make_request(World& world, const Wanted& wanted);

}  // namespace umberhoist::lab
