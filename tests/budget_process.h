// A simulated relay process that takes messages through all stages that use up their time budget.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "budget_clocks.h"
#include "relay.h"

namespace firspool::relay {

// Drives the decision module and the journal as the relay does, on simulated clocks.
class Process {
 public:
  Process(SimulatedClocks& clocks, const TemporaryFolder& folder, const Settings& settings, uint64_t seed)
      : clocks_(clocks),
        journal_(folder.place(), 500'000, [&] { return clocks.now(); }),
        policy_(settings, seed),
        rules_(message_rules(settings)) {
    for (const Recovered& entry : journal_.recovered()) resume(entry);
    Member member;
    member.endpoint = {1, 80};
    member.destination = 1;
    MembersChanged list;
    list.members = std::make_shared<std::vector<Member>>(1, member);
    events_.push_back(list);
  }

  struct Call {
    Send send;
    std::string id;
    int attempt = 0;
    Time connected_at = 0;  // on the steady clock
    bool started = false;
    Time ends_at = 0;
    Outcome outcome = Outcome::kOk;
    Time retry_after = 0;
  };

  // Set by the test. `how`: d for done, r for refused, f for failed.
  std::function<void(const std::string& id, Time left)> on_remaining;  // for each held message, after a step
  std::function<void(const std::string& id, Time left)> on_recorded;   // when a journal record is written
  std::function<void(const std::string& id)> on_started;
  std::function<void(const std::string& id, char how)> on_ended;
  std::function<void(Call&)> plan_call;

  bool put(const std::string& id, int message_class, Time given) {
    Handed handed{id, rules_[message_class]->name, "k", 1, Budget::begin(clocks_.steady(), given), "b",
                  "", rules_[message_class]};
    MessageReceived arrival;
    arrival.id = ++last_number_;
    arrival.rules = handed.rules;
    arrival.due = handed.budget.due();
    arrival.destination = 1;
    held_[last_number_] = {handed, 0};
    unjournaled_.push_back(last_number_);
    events_.push_back(arrival);
    step();
    return held_.contains(arrival.id);
  }

  void step() {
    const Time now = clocks_.steady();
    for (auto it = in_flight_.begin(); it != in_flight_.end();) {
      Call& call = *it;
      if (!call.started && (call.connected_at <= now || call.send.start_by < now)) start_call(call);
      const bool ended = call.started ? call.ends_at <= now : call.outcome == Outcome::kNotSent;
      if (!ended) {
        ++it;
        continue;
      }
      const Call done = call;
      it = in_flight_.erase(it);
      finish(done);
    }
    std::vector<Event> events;
    events.swap(events_);
    std::vector<Action> actions;
    policy_.step(now, events, actions);
    for (const Action& action : actions) execute(action);
    for (const uint64_t number : std::exchange(unjournaled_, {})) {
      const auto held = held_.find(number);
      if (held == held_.end()) continue;
      ASSERT_TRUE(journal_.accepted(held->second.handed));
      report_recorded();
    }
    for (const Send& send : std::exchange(sends_, {})) {
      const auto held = held_.find(send.id);
      if (held == held_.end()) continue;
      Call call;
      call.send = send;
      call.id = held->second.handed.id;
      call.attempt = held->second.attempts++;
      plan_call(call);
      in_flight_.push_back(call);
    }
    for (const auto& [number, held] : held_) on_remaining(held.handed.id, held.handed.budget.left(now));
  }

  size_t held() const { return held_.size(); }

  void report_recorded() const {
    for (const auto& [number, held] : held_)
      on_recorded(held.handed.id, held.handed.budget.left(clocks_.steady()));
  }

 private:
  struct Held {
    Handed handed;
    int attempts = 0;
  };

  void resume(const Recovered& entry) {
    if (entry.owed) {  // it has ended before the restart; only the notice is repeated
      journal_.done(entry.message.id);
      return;
    }
    MessageReceived arrival;
    arrival.id = ++last_number_;
    arrival.rules = entry.message.rules;
    arrival.due = entry.message.budget.due();
    arrival.destination = 1;
    arrival.attempts = entry.attempts;
    if (!entry.unsettled.empty()) {
      arrival.maybe_executed = true;
      arrival.maybe_executed_sent_at = entry.unsettled.begin()->second.first;
    }
    held_[last_number_] = {entry.message, entry.attempts};
    events_.push_back(arrival);
  }

  // Same checks as Relay::may_start.
  void start_call(Call& call) {
    const Time now = clocks_.steady();
    const auto held = held_.find(call.send.id);
    if (held == held_.end() || now > call.send.start_by || held->second.handed.budget.over(now) ||
        !journal_.attempt(call.id, call.attempt, 0)) {
      call.outcome = Outcome::kNotSent;
      if (held != held_.end()) --held->second.attempts;
      return;
    }
    call.started = true;
    report_recorded();
    on_started(call.id);
  }

  void finish(const Call& call) {
    const auto held = held_.find(call.send.id);
    AttemptEnded end;
    end.id = call.send.id;
    end.attempt = call.attempt;
    end.endpoint = call.send.endpoint;
    end.outcome = call.outcome;
    end.final = call.outcome == Outcome::kOk;
    end.took = 50 * kMs;
    end.retry_after = call.retry_after;
    if (held != held_.end()) {
      if (call.started && call.outcome == Outcome::kFull) journal_.never_ran(call.id, call.attempt);
      if (end.final) end_message(held, 'd');
    }
    events_.push_back(end);
  }

  void execute(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) {
      sends_.push_back(*send);
      return;
    }
    const auto* refuse = std::get_if<Refuse>(&action);
    const auto* fail = std::get_if<Fail>(&action);
    if (refuse == nullptr && fail == nullptr) return;
    const auto held = held_.find(refuse != nullptr ? refuse->id : fail->id);
    if (held != held_.end()) end_message(held, refuse != nullptr ? 'r' : 'f');
  }

  void end_message(std::map<uint64_t, Held>::iterator held, char how) {
    const std::string id = held->second.handed.id;
    if (how != 'd') journal_.owed({id, how == 'r', 0});
    if (how == 'd') journal_.done(id);
    held_.erase(held);
    on_ended(id, how);
  }

  SimulatedClocks& clocks_;
  Journal journal_;
  Policy policy_;
  std::vector<std::shared_ptr<const MessageRules>> rules_;
  std::vector<Event> events_;
  std::vector<Send> sends_;
  std::vector<uint64_t> unjournaled_;
  std::deque<Call> in_flight_;
  std::map<uint64_t, Held> held_;
  uint64_t last_number_ = 0;
};

}  // namespace firspool::relay
