// Observes the events into and the actions out of a Policy, and reports each violation of its guarantees.
// Independent of the module's code.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "firspool/policy.h"

namespace firspool::testing {

class RulesChecker {
 public:
  explicit RulesChecker(Settings settings) : set_(std::move(settings)) {}

  // Call before_step with the events and after_step with the actions of each step.
  void before_step(Time now, std::span<const Event> events);
  void after_step(Time now, std::span<const Action> actions);

  // Messages without a final answer so far.
  size_t unanswered() const;
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Sent {
    Endpoint endpoint;
    Time sent_at = 0;
    uint64_t call = 0;
    bool in_flight = true;
    bool maybe_executed = false;
  };
  struct Received {
    MessageReceived in;
    std::vector<Sent> sent;
    bool ended = false;
    uint64_t order = 0;  // of arrival
  };

  void report(uint64_t id, const std::string& violation);
  void check_send(Time now, const Send& send);
  uint64_t join_call(const Member& member);
  void check_order(Time now, uint64_t id, const Received& message);
  void check_refuse(uint64_t id);
  std::pair<int, Endpoint> limit_group(const Member& member) const;

  Settings set_;
  std::map<uint64_t, Received> received_;
  std::map<Endpoint, Member> members_;
  std::map<Endpoint, Time> draining_since_;
  std::map<std::pair<int, Endpoint>, Time> retry_after_until_;
  std::map<uint64_t, std::pair<Time, uint64_t>> key_pauses_;
  uint64_t arrivals_ = 0;
  std::map<uint64_t, int> calls_;            // calls in flight, with the number of their messages
  std::map<Endpoint, uint64_t> open_calls_;  // the last call of this step to each endpoint
  uint64_t last_call_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace firspool::testing
