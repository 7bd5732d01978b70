// What was promised, watched from outside: clients, partners, discovery and the kernel tell what they saw,
// and no relay is ever asked. A state machine without sockets or clocks: times are seconds on the play's
// clock.
//
// One that needs nothing of the others is a class in files of its own over Rules and Verdicts, and a member
// here.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy_oracle.h"
#include "process_oracle.h"

namespace umberhoist::lab {

enum class Effect { kSafe, kKeyed, kUnsafe };

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
  Rules rules_;  // before those that look them up
  Verdicts verdicts_;

 public:
  explicit Oracles(Rules rules, int relays);
  Oracles(const Oracles&) = delete;

  PolicyOracle policy;
  ProcessOracle processes;

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
  void gone(int relay);               // the process has ended: what it was told to wait ends with it

  // The play is over: what is still owed and due is lost.
  void finish(double now);

  const std::map<std::string, Verdicts::State>& states() const { return verdicts_.states(); }
  bool held() const { return verdicts_.held(); }
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

  void back(int destination);
  double excused_until(int relay, double limit) const;
  bool seen_failing(const Outage& outage, int destination, int relay) const;
  void end(double now, Held& held, const std::string& id);

  std::unordered_map<std::string, Held> held_;
  std::map<int, std::vector<std::string>> by_destination_;
  std::vector<std::vector<Away>> away_;
  std::vector<std::map<std::string, double>> drains_;            // of each relay: told when
  std::vector<std::map<int, std::pair<double, double>>> waits_;  // of each relay: told, until
  std::map<int, Outage> outages_;
  std::map<int, std::set<int>> failed_at_;  // destination: relays that saw a failure in its outage
  uint64_t requests_ = 0;
  uint64_t dropped_ = 0;
};

}  // namespace umberhoist::lab
