// A scenario as its file has it, and the plan that a seed draws from it.
//
// A figure in the file is a number or a range [LOW, HIGH]; a range is drawn once a play, each fault from a
// stream of its own, so that the same seed gives the same plan and a fault keeps its figures when another is
// taken out. Times are seconds from the moment that all relays serve. What is not understood is turned down:
// Unusable, one line that names the key.
#pragma once

#include <toml++/toml.h>

#include <pcg_random.hpp>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace umberhoist::lab {

struct Unusable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Chance = pcg64;

struct Range {
  double low = 0;
  double high = 0;
  double draw(Chance& chance) const {
    return high > low ? std::uniform_real_distribution<double>(low, high)(chance) : low;
  }
};

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

// What a fault does and to how many; which ones, the seed draws.
struct FaultSpec {
  std::string kind;
  std::string
      state;  // partner: down silent hung slow lossy errors shut; discovery: mute late; policy: aborted
  std::string folder = "kept";  // kill, term, roll: kept emptied torn
  Range at_s = {0, 0};
  Range for_s = {0, 0};
  Range share = {0, 0};  // of relays, partners or pairs; 0: `count` of them
  Range count = {1, 1};
  Range factor = {1, 1};   // slow, limit, surge, hot
  Range every_s = {1, 1};  // roll
  Range loss = {0, 0};     // net
  Range delay_ms = {0, 0};
  Range duplicate = {0, 0};
  Range reorder = {0, 0};
  std::string direction = "both";  // net: both, one
  int stream = 0;                  // of chance
};

struct SimSpec {                        // on the simulated clock
  std::string protocol = "membership";  // heartbeat, membership, agreement
  double period_ms = 500;
  bool plain = false;   // membership without suspicion's health and without comparing whole views
  int changes = 0;      // agreement: of policy, spread over the play
  int deaths = 0;       // and of processes, between two steps of what they do
  bool rivals = false;  // two changes at once, aborted ones, ones that no build can hold
};

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
  SimSpec sim;
  std::vector<ClassSpec> classes;
  std::vector<TenantSpec> tenants;
  std::vector<FaultSpec> faults;

  bool changes_policy() const;                                          // of the fleet
  int voters() const { return relays >= 5 ? 5 : relays >= 3 ? 3 : 1; }  // the first ones
};

// Reads a file with `set` (KEY=VALUE, a dotted path) laid over it. Throws Unusable.
toml::table load_table(const std::string& path, const std::vector<std::string>& set);
Scenario read_scenario(const toml::table& table);

// ---- The plan: all that chance decides before the play ----

struct Fault {
  std::string kind;
  std::string state;
  std::string folder;
  double at = 0;
  double lasts = 0;
  double factor = 1;
  double loss = 0;
  double delay = 0;  // seconds
  double duplicate = 0;
  double reorder = 0;
  bool one_way = false;
  std::vector<int> targets;  // relays, or destinations
  bool of_partners() const;  // else of relays
  std::string text() const;  // for a person, without the time
};

struct PlannedPartner {
  bool large = false;
  int endpoints = 1;
  double pace = 0.25;
  double limit = 10;  // calls a second
  double weight = 0;  // of the traffic
};

struct PlannedMessage {
  double at = 0;
  int message_class = 0;
  int tenant = 0;
  int destination = 0;
};

struct Plan {
  uint64_t seed = 0;
  std::vector<PlannedPartner> partners;
  std::vector<PlannedMessage> messages;
  std::vector<Fault> faults;        // by time
  std::vector<double> wall_offset;  // of each relay, seconds
  uint64_t digest() const;          // two plans with the same are the same
};

Plan draw(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::lab
