// A relay of the simulated fleet with its agreement, its file and its build. The lab's plays and the model
// checker use the same.
#pragma once

#include <functional>
#include <string>

#include "../fleet/agreement.h"
#include "policy_audit.h"

namespace umberhoist::lab {

class AgreementGuest : public fleet::StateMachine {
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
  void on_datagram(Time now, const std::string& from, std::string_view bytes) override;
  void on_timer(Time now) override;
  Time next_wakeup() const override;

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

}  // namespace umberhoist::lab
