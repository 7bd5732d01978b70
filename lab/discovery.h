// Discovery as one relay's own agent gives it: the list, the watch that pushes changes late, and the place
// that takes notices. One agent a relay, as the protocol page has it.
#pragma once

#include <nlohmann/json.hpp>
#include <set>

#include "partner.h"

namespace umberhoist::lab {

class Discovery {
 public:
  Discovery(World& world, int relay, const std::vector<std::unique_ptr<Partner>>& partners);
  ~Discovery();

  std::string address() const { return text_of(acceptor_.local_endpoint()); }
  // The list as it is now, for the configuration.
  nlohmann::json known() const;

  // The list has changed: heard by this relay after so many seconds, unless the agent is mute then.
  void changed(double after);
  void mute(bool on);

 private:
  class Session;

  nlohmann::json list() const;
  void push();
  void accept();

  World& world_;
  int relay_;
  const std::vector<std::unique_ptr<Partner>>& partners_;
  tcp::acceptor acceptor_;
  bool mute_ = false;
  bool behind_ = false;  // something changed while mute
  nlohmann::json told_;  // what this agent has been sent
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace umberhoist::lab
