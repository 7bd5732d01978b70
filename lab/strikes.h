// Carries out the faults of a plan: on partners, relays, the network between relays, discovery and policy.
#pragma once

#include "fleet.h"
#include "policies.h"
#include "subscribers.h"

namespace umberhoist::lab {

class Strikes {
 public:
  struct Parts {  // of the play, which they outlast
    const std::vector<std::unique_ptr<Partner>>& partners;
    const std::vector<std::unique_ptr<Discovery>>& agents;
    Fleet& fleet;
    PairNetwork* network = nullptr;      // null: relays do not talk
    Policies* policies = nullptr;        // null: no fault is one of policy
    Subscribers* subscribers = nullptr;  // null: there are none
  };
  Strikes(World& world, const Parts& parts) : world_(world), parts_(parts) {}

  void strike(const Fault& f);  // now; it is taken back once its time is over

 private:
  void strike_relay(const Fault& f, int relay);
  void strike_network(const Fault& f);
  void reload(const Fault& f, int r);
  void drain(int partner);
  void tell(double soonest, double latest);
  Partner& partner(int p) { return *parts_.partners[static_cast<size_t>(p)]; }

  World& world_;
  Parts parts_;
};

}  // namespace umberhoist::lab
