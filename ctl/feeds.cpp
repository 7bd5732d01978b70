#include "feeds.h"

#include <cstdio>
#include <stdexcept>

#include "ask.h"

namespace umberhoist::ctl {

int feeds_of(const std::vector<std::string>& relays) {
  int out = 0;
  for (const std::string& relay : relays) {
    try {
      const Reply reply = ask(relay, "FEEDS");
      if (!reply.ok) throw std::runtime_error(reply.first);
      for (const std::string& line : reply.lines) {
        if (line == "voter recovers" || line.starts_with("missing ")) out = 1;
        std::printf("%s  %s\n", relay.c_str(), line.c_str());
      }
    } catch (const std::exception& fault) {
      std::printf("%s  %s\n", relay.c_str(), fault.what());
      out = 1;
    }
  }
  return out;
}

}  // namespace umberhoist::ctl
