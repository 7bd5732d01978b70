// Watches all relays of a simulated fleet while their policy changes. The lab's plays and the model checker
// use the same.
//
// Policies here are texts "need=BUILD NAME": a build that is lower cannot hold them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "sim.h"

namespace umberhoist::lab {

// Why a build cannot hold a policy of this play; empty where it can.
std::string cannot_hold(const std::string& policy, int build);

// What must hold whatever happens, on the play's true time. Relays tell when they act and under what.
class PolicyAudit {
 public:
  explicit PolicyAudit(Time term) : term_(term) {}

  // Its door is open until `until` from now on; 0: shut. `build`: of its program.
  void door(Time now, int relay, Time until, int build);
  void adopted(Time now, int relay, uint64_t version, const std::string& id, const std::string& text,
               int build);
  void crashed(int relay) { relays_[relay].until = 0; }
  void aborted(const std::string& id) { aborted_.insert(id); }

  const std::string& broken() const { return broken_; }  // the first; empty: all held
  uint64_t checked() const { return checked_; }
  uint64_t newest() const { return first_act_.empty() ? 0 : first_act_.rbegin()->first; }
  Time first_act(uint64_t version) const {
    const auto it = first_act_.find(version);
    return it == first_act_.end() ? -1 : it->second;
  }
  uint64_t version(int relay) const {
    const auto it = relays_.find(relay);
    return it == relays_.end() ? 0 : it->second.version;
  }
  bool open(int relay, Time now) const {
    const auto it = relays_.find(relay);
    return it != relays_.end() && it->second.until > now;
  }
  Time longest_mix() const { return longest_mix_; }

 private:
  struct Relay {
    uint64_t version = 0;
    std::string text;
    Time until = 0;
    int build = 0;
  };
  void broke(Time now, const std::string& what);

  Time term_;
  std::map<int, Relay> relays_;
  std::map<uint64_t, std::string> texts_;
  std::map<uint64_t, Time> first_act_;
  std::set<std::string> aborted_;
  std::string broken_;
  uint64_t checked_ = 0;
  Time longest_mix_ = 0;
};

}  // namespace umberhoist::lab
