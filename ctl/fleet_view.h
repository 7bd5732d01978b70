// The views of several relays side by side.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace umberhoist::ctl {

struct Seen {  // one member, as one relay has it
  std::string state;
  std::map<std::string, std::string> facts;  // since_ms, incarnation, version, ...
};
using View = std::map<std::string, Seen>;  // by name

// Lines of a reply to FLEET. Throws std::runtime_error on what is not one.
View read_view(const std::vector<std::string>& lines);

// Rows of a table, and whether all views agree on who is alive, at which incarnation. A suspect is alive.
struct Table {
  std::string text;
  bool agree = true;
};
Table side_by_side(const std::vector<std::pair<std::string, View>>& views);

}  // namespace umberhoist::ctl
