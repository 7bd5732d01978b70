// The plainest protocol there is, to try the simulated network with and to compare others against: a member
// tells its next few neighbours on the ring of names each period that it lives. One of them that hears
// nothing for `patience` periods takes it for gone, and for back once it hears it again. Nothing is passed
// on.
//
// Promised: a member that dies is missed by each of its watchers within `patience` + 1 periods. Not promised:
// anything beyond the watchers, and anything about loss.
#pragma once

#include <map>
#include <set>

#include "machine.h"

namespace umberhoist::fleet {

class Heartbeat : public Machine {
 public:
  struct Settings {
    std::string name;
    std::vector<std::string> members;  // all names, this one's too, in one order everywhere
    Time period = 500 * kMs;
    int watchers = 3;
    int patience = 4;
  };

  explicit Heartbeat(Settings settings);

  void start(Time now) override;
  void received(Time now, const std::string& from, std::string_view bytes) override;
  void woke(Time now) override;
  Time next() const override { return next_; }

  // Of those that it watches.
  const std::set<std::string>& gone() const { return gone_; }
  bool watches(const std::string& name) const { return heard_.contains(name); }

 private:
  Settings settings_;
  Time next_ = kNever;
  std::vector<std::string> watchers_;
  std::map<std::string, Time> heard_;
  std::set<std::string> gone_;
};

}  // namespace umberhoist::fleet
