// A relay of the simulated fleet with its agreement, its file and its build, and the audit that watches all
// of them. The lab's plays and the model checker use the same.
//
// Policies here are texts "need=BUILD NAME": a build that is lower cannot hold them.
#pragma once

#include <array>

#include "../fleet/agreement.h"
#include "sim.h"

namespace umberhoist::lab {

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

// Why a build cannot hold a policy of this play; empty where it can.
std::string cannot_hold(const std::string& policy, int build);

class AgreementGuest : public fleet::Machine {
 public:
  struct Folder {  // what outlasts a crash
    std::string file;
    int build = 1;
    size_t writes = 0;
  };
  struct Clock {  // of one machine: local = origin + true time * rate
    Time origin = 0;
    double rate = 1;
    Time local(Time t) const { return origin + static_cast<Time>(static_cast<double>(t) * rate); }
    Time real(Time t) const { return static_cast<Time>(static_cast<double>(t - origin) / rate); }
  };

  AgreementGuest(int relay, fleet::Agreement::Settings settings, Folder& folder, PolicyAudit& audit,
                 Clock clock, uint64_t seed);
  ~AgreementGuest() override { audit_.crashed(relay_); }

  void start(Time now) override;
  void received(Time now, const std::string& from, std::string_view bytes) override;
  void woke(Time now) override;
  Time next() const override;

  // The process dies after so many more outputs; a write that it dies in is torn. -1: it does not.
  int dies_after = -1;
  bool dead() const { return dead_; }
  std::function<void()> on_death;

  fleet::Agreement& agreement() { return agreement_; }
  Time local(Time now) const { return clock_.local(now); }
  void carry_out(Time now);  // after a call of its own on agreement()

 private:
  int relay_;
  Folder& folder_;
  PolicyAudit& audit_;
  Clock clock_;
  fleet::Agreement agreement_;
  bool dead_ = false;
};

// Of a fleet n0, n1, ...; the first `voters` of them vote.
fleet::Agreement::Settings agreement_settings(int relay, int relays, int voters, Time period, Time term,
                                              int build);

nlohmann::json simulate_agreement(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::lab
