// One call on a relay's second address: a line goes out, the reply's lines come back.
#pragma once

#include <string>
#include <vector>

namespace umberhoist::ctl {

struct Reply {
  bool ok = false;                 // its first line said OK
  std::string first;               // that line
  std::vector<std::string> lines;  // the others, without END
};

// Throws std::runtime_error with one line where the relay at `address` (HOST:PORT) gives no whole reply
// within 3 s.
Reply ask(const std::string& address, const std::string& call);

}  // namespace umberhoist::ctl
