// What was promised, watched from outside: clients, partners, discovery and the kernel tell what they saw,
// and no relay is ever asked. A state machine without sockets or clocks: times are seconds on the play's
// clock.
//
// Every oracle counts what it checked, so that one that never had anything to check shows as 0 and not as
// held.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace umberhoist::lab {

enum class Effect { kSafe, kKeyed, kUnsafe };

struct Rules {  // of the play; slack is added here and nowhere else
  double drain_grace = 2;
  double slack = 0.05;         // every limit is so much longer on sockets
  double final_slack = 0.3;    // after a message's time is up
  double restart_slack = 1.5;  // after the relay is ready again, for what came due meanwhile
  double wait_grace = 0.1;     // calls that arrive so soon after a told wait had been sent before
  double end_within = 3.7;     // of SIGTERM
  double ready_within = 10;    // of a start
  double policy_mix = 3.0 * (1 + 2 / 500.0);  // two policies are in force at once for so long at most
  double dropped_share = 0.005;               // of the requests may be closed with no answer
  double memory_bytes = 192e6;
  double disk_bytes = 3e6;
  int sockets = 1024;
};

struct HandIn {  // one try of a message, under an id of its own
  int relay = 0;
  Effect effect = Effect::kSafe;
  double key_ttl = 0;
  int destination = 0;
  double due = 0;
  uint64_t body = 0;  // hash
  std::string key;
};

enum class Answer { kTaken, kRefused, kFailed, kSilent, kClosed, kGone };  // kGone: the relay was down

class Oracles {
 public:
  struct State {
    uint64_t checked = 0;
    uint64_t broken = 0;
    std::string first;  // when, what, which relay; empty: held
    int relay = -1;
    double at = 0;
  };

  explicit Oracles(Rules rules, int relays);

  // Clients.
  void handed_in(const std::string& id, HandIn hand);
  void answered(double now, const std::string& id, Answer answer);

  // Partners. A call counts once its last byte has come; `first` is when its first did. Null where the id is
  // no client's.
  const HandIn* call(double now, double first, const std::string& id, const std::string& endpoint,
                     int destination, const std::string& key, uint64_t body);
  enum class Ran { kNever, kMaybe, kDelivered };
  void call_answered(double now, const std::string& id, Ran ran, double told_wait);
  void call_over(double now, const std::string& id);  // its connection ended, or its answer is written
  // A partner that came back cold was pushed over by calls in the last seconds, counted by relay.
  void outage_began(double now, int destination);
  void outage_ended(double now, int destination);
  void pushed_over(double now, int destination, const std::map<int, int>& calls_by_relay);
  void came_back(int destination) { back(destination); }  // cold, watched from now on

  // Discovery. Answers whether the notice ended anything.
  bool notice(double now, const std::string& id);
  void told_drain(double now, int relay, const std::string& endpoint);

  // Processes.
  void down(double now, int relay);   // signalled to end or stopped
  void ready(double now, int relay);  // serves, or was woken
  void emptied(int relay);            // its folder: what it held is others'
  void started(double now, int relay, double took);
  void ended(double now, int relay, bool asked, int status, double after);
  void measured(double now, int relay, double memory, int descriptors, double disk);
  // Relays' views of each other settled after so long, or (`wrong` says how) did not.
  void view(double now, double took, double most, const std::string& wrong);
  void left_behind(double now, int relay, const std::string& what);

  // The fleet's policy, by generations. A relay took a message on under one, asked at `asked`.
  void acted(double now, double asked, int relay, int generation);
  void proposed(double now, int generation) { policies_.proposed[generation] = now; }
  // A relay says how a change ended.
  void change_ended(double now, int relay, int generation, bool in_force);
  // A relay serves as the play ends: it must have acted under the newest, a moment ago.
  void acts_at_end(double now, int relay);
  struct Policies {
    std::map<int, double> proposed;
    std::map<int, double> first;                 // generation: when one was first seen to act under it
    std::map<int, std::pair<int, double>> last;  // relay: under which it acted last, and when
    std::map<int, std::map<int, double>> taken;  // generation: relays, and when each first acted under it
    double longest_mix = 0;                      // seconds that two were acted under
    double slowest = -1;                         // from a proposal until the last relay acted under it
  };
  const Policies& policies() const { return policies_; }

  // The play is over: what is still owed and due is lost.
  void finish(double now);

  const std::map<std::string, State>& states() const { return states_; }
  bool held() const;
  const Rules& rules() const { return rules_; }
  const HandIn* find(const std::string& id) const;
  bool delivered(const std::string& id) const;

 private:
  struct Call {
    double at = 0;
    bool out = true;
    Ran ran = Ran::kMaybe;
  };
  struct Held {
    HandIn hand;
    double taken = -1;
    bool excused = false;  // its machine was lost
    double ended = -1;
    bool delivered = false;
    double answered_200 = -1;
    std::vector<Call> calls;
  };
  struct Away {
    double from = 0;
    double until = -1;  // -1: still
  };
  struct Outage {
    double began = -1;
    double ended = -1;
  };

  State& of(const std::string& name) { return states_[name]; }
  void broke(const std::string& oracle, double now, int relay, const std::string& what);
  void back(int destination);
  double excused_until(int relay, double limit) const;
  bool seen_failing(const Outage& outage, int destination, int relay) const;
  void end(double now, Held& held, const std::string& id);

  Rules rules_;
  std::unordered_map<std::string, Held> held_;
  std::map<int, std::vector<std::string>> by_destination_;
  std::vector<std::vector<Away>> away_;
  std::vector<std::map<std::string, double>> drains_;            // of each relay: told when
  std::vector<std::map<int, std::pair<double, double>>> waits_;  // of each relay: told, until
  std::map<int, Outage> outages_;
  std::map<int, std::set<int>> failed_at_;  // destination: relays that saw a failure in its outage
  Policies policies_;
  uint64_t requests_ = 0;
  uint64_t dropped_ = 0;
  std::map<std::string, State> states_;
};

}  // namespace umberhoist::lab
