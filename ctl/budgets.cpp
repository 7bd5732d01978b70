#include "budgets.h"

#include <cstdio>
#include <stdexcept>

#include "ask.h"

namespace umberhoist::ctl {
namespace {

// Who a relay says leads the voters.
std::string leader(const std::string& relay) {
  for (const std::string& line : ask(relay, "POLICY STATUS").lines) {
    if (line.starts_with("leader ")) return line.substr(7, line.find(' ', 7) - 7);
  }
  return "-";
}

}  // namespace

int budgets_of(const std::vector<std::string>& relays) {
  int out = 0;
  for (const std::string& relay : relays) {
    try {
      const Reply reply = ask(relay, "BUDGETS");
      if (!reply.ok || reply.lines.empty()) throw std::runtime_error(reply.first);
      if (!reply.lines.front().starts_with("lease granted")) out = 1;
      std::printf("%s  %s leader=%s\n", relay.c_str(), reply.lines.front().c_str(), leader(relay).c_str());
      for (size_t i = 1; i < reply.lines.size(); ++i) {
        std::printf("%s  %s\n", relay.c_str(), reply.lines[i].c_str());
      }
    } catch (const std::exception& fault) {
      std::printf("%s  %s\n", relay.c_str(), fault.what());
      out = 1;
    }
  }
  return out;
}

}  // namespace umberhoist::ctl
