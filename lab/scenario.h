// A scenario as its file has it.
//
// A figure in the file is a number or a range [LOW, HIGH]; a range is drawn once a play (plan.h). Times are
// seconds from the moment that all relays serve. What is not understood is turned down: Unusable, one line
// that names the key. Each section is a Spec with a read(TableReader&, Spec&); one of a part of its own
// stands in a file of its own, as fault.h does, and is one line of read_scenario.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <vector>

#include "fault.h"
#include "parts_spec.h"
#include "table_reader.h"

namespace umberhoist::lab {

struct ClassSpec {
  std::string name;
  std::string effect;  // safe, keyed, unsafe
  double share = 1;    // of all messages
  double target_s = 1;
  double give_up_s = 5;
  double worth = 1;
  double late_worth = 0.1;
  double key_ttl_s = 15;
  bool large_only = false;  // goes to large partners only
};

struct TenantSpec {
  std::string name;
  double share = 1;
  double quota_per_s = 0;  // messages a second over the fleet; 0: none
};

struct Load {
  double rate = 60;        // messages a second over all relays
  double clump_share = 0;  // of the messages come in clumps for one partner
  double clump_s = 2;      // as many as it takes in this time
  double impatient = 0;    // clients that leave before the answer
  int retries = 3;
  double backoff_s = 0.6;
  double honour = 0.7;        // clients that heed a told wait
  Range notice_s = {2, 3.8};  // the front hears of a death
  int body_bytes = 200;
  int closed_loop = 0;   // connections to each relay that send the next request at the last one's answer
  Range crowd = {0, 0};  // connections to each relay that ask for nothing
};

struct PartnerSpec {
  int count = 14;
  double large_share = 0.2;  // these get 60% of the traffic
  Range endpoints = {1, 3};
  Range pace_s = {0.2, 0.35};  // median time of a call; log-normal
  double pace_sigma = 0.3;
  double headroom = 1.3;    // limit over the calls that are due to it at the scenario's rate
  double least_limit = 4;   // calls a second
  double queue = 2;         // places behind the cores, for each core
  int connections = 64;     // that an endpoint holds
  double told_share = 0.5;  // of refusals that tell a wait
  Range wait_s = {0.27, 0.9};
  double report_s = 0.3;  // x0, x1 are refreshed so often
  double start_capacity = 0.23;
  double cold_s = 13;
  double fall_s = 1.5;
  double fall_multiple = 1.5;
  double drain_grace_s = 2;
};

struct RelaySpec {
  double slots_factor = 2.3;  // calls out at once over what its part of the load keeps busy
  double hold_s = 9;          // of its part of the load may be held
  double memory_mb = 192;
  int sockets = 1024;
  double disk_mb = 3;
  double ready_s = 10;              // it serves so soon after its start
  Range wall_offset_s = {0, 0};     // its wall clock is off by so much
  std::string isolated = "refuse";  // or serve: what one does that does not hear the fleet
  std::string other;                // another build of the program
  int others = 0;                   // so many relays run it
};

struct SimSpec {                        // on the simulated clock
  std::string protocol = "membership";  // heartbeat, membership, agreement, budgets
  double period_ms = 500;
  bool plain = false;   // membership without suspicion's health and without comparing whole views
  int changes = 0;      // agreement: of policy, spread over the play
  int deaths = 0;       // and of processes, between two steps of what they do
  bool rivals = false;  // two changes at once, aborted ones, ones that no build can hold
};

constexpr const char* kMarkers = "lab-markers";
inline std::string zone_name(int zone) { return "lj-dc" + std::to_string(zone + 1); }
inline std::string feed_name(int subscription) { return "s" + std::to_string(subscription); }

struct Scenario {
  std::string name;
  std::string what;
  double length_s = 10;
  double settle_s = 3;  // at the end no new message comes; those that are owed may end
  int relays = 3;
  Load load;
  PartnerSpec partners;
  RelaySpec relay;
  bool fleet = false;  // relays may talk, through the lab
  int voting = 0;      // so many are voters; 0: by their number
  BudgetSpec budgets;
  AccessSpec access;
  FeedSpec feeds;
  SimSpec sim;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<FaultSpec> faults;

  bool changes_policy() const;  // of the fleet
  int voters() const {          // the first ones
    return voting > 0 ? voting : relays >= 5 ? 5 : relays >= 3 ? 3 : 1;
  }
  int zones() const { return access.on ? access.zones : 1; }
  int zone_of(int number) const { return number % zones(); }  // of a relay
  // Zones that a customer's subscription is bound to: the second one to the first zone; empty: to none.
  std::vector<std::string> regions_of(int subscription) const {
    return subscription == 1 && zones() > 1 ? std::vector<std::string>{zone_name(0)}
                                            : std::vector<std::string>();
  }
  // Tenants, and where policies change one more, without rules, whose messages tell which is in force.
  std::vector<TenantSpec> customers() const;
};

void read(TableReader& in, ClassSpec& out);
void read(TableReader& in, TenantSpec& out);
void read(TableReader& in, Load& out);
void read(TableReader& in, PartnerSpec& out);
void read(TableReader& in, RelaySpec& out);
void read(TableReader& in, SimSpec& out);

// Throws Unusable.
Scenario read_scenario(const toml::table& table);

}  // namespace umberhoist::lab
