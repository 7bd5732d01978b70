// Minimal failure detector, used to test the simulated network and as a baseline for other protocols. The
// members form a ring in the order of their names' list, and each sends a heartbeat to its next
// `watcher_count` neighbors once per period. A watcher that receives none for `timeout_periods` periods takes
// the member for failed, until the next heartbeat arrives. Nothing is forwarded to other members.
//
// Guarantee: each watcher detects a crash within `timeout_periods` + 1 periods. Not guaranteed: that members
// other than the watchers learn of it, and anything under packet loss.
#pragma once

#include <map>
#include <set>

#include "state_machine.h"

namespace umberhoist::fleet {

class Heartbeat : public StateMachine {
 public:
  struct Settings {
    std::string name;
    std::vector<std::string> members;  // all members including this one, in the same order on every member
    Time period = 500 * kMs;
    int watcher_count = 3;
    int timeout_periods = 4;
  };

  explicit Heartbeat(Settings settings);

  void start(Time now) override;
  void on_datagram(Time now, const std::string& from, std::string_view bytes) override;
  void on_timer(Time now) override;
  Time next_wakeup() const override { return next_wakeup_; }

  // Members watched by this one that are taken for failed.
  const std::set<std::string>& failed() const { return failed_; }
  bool watches(const std::string& name) const { return last_received_.contains(name); }

 private:
  Settings settings_;
  Time next_wakeup_ = kNever;
  std::vector<std::string> watchers_;
  std::map<std::string, Time> last_received_;
  std::set<std::string> failed_;
};

}  // namespace umberhoist::fleet
