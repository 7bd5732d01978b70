// Clients that stay with one relay and use their connection as long as it is open: the next request goes as
// soon as the last one is answered, up to the relay's end. While the relay serves they pause in between.
//
// Oracles hold the relay to all that they hand in; figures count them apart from the planned load.
#pragma once

#include <memory>
#include <vector>

#include "fleet.h"
#include "request.h"
#include "resp.h"

namespace umberhoist::lab {

class ClosedLoop {
 public:
  ClosedLoop(World& world, const Fleet& fleet);  // load.closed_loop connections to each relay

  void start();
  void stop();  // no further request
  void tell(Figures& figures) const;

 private:
  struct One {
    int relay = 0;
    std::shared_ptr<RespConnection> connection;
  };

  void connect(One& one);
  void connect_later(One& one);
  void ask(One& one);
  void answered(One& one, const std::string& id, const std::string& line, bool timed_out);

  World& world_;
  const Fleet& fleet_;
  std::vector<std::unique_ptr<One>> all_;
  bool over_ = false;
  uint64_t answered_ = 0;
  uint64_t while_ending_ = 0;  // of these, by relays that had been told to end
  uint64_t unanswered_ = 0;    // requests that crossed the end of their connection or their relay
};

}  // namespace umberhoist::lab
