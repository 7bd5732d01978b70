// The stages that a message's time runs through, in one process.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "budget_machine.h"
#include "relay.h"

namespace firspool::relay {

// What the relay does with module and journal, on the machine's clocks.
class Process {
 public:
  Process(Machine& machine, const Folder& folder, const Settings& settings, uint64_t seed)
      : machine_(machine),
        journal_(folder.place(), 500'000, [&] { return machine.now(); }),
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

  struct Out {
    Send send;
    std::string id;
    int attempt = 0;
    Time up = 0;  // on the steady clock: when its connection is up
    bool begun = false;
    Time ends = 0;
    Outcome outcome = Outcome::kOk;
    Time wait = 0;
  };

  // Told by the test.
  std::function<void(const std::string& id, Time left)> seen;
  std::function<void(const std::string& id, Time left)> recorded;  // what is left as a record is written
  std::function<void(const std::string& id)> started;
  std::function<void(const std::string& id, char how)> ended;
  std::function<void(Out&)> draw;

  bool put(const std::string& id, int message_class, Time given) {
    Handed handed{id, rules_[message_class]->name, "k", 1, Budget::begin(machine_.steady(), given), "b",
                  "", rules_[message_class]};
    MessageReceived in;
    in.id = ++last_;
    in.rules = handed.rules;
    in.due = handed.budget.due();
    in.destination = 1;
    held_[last_] = {handed, 0};
    fresh_.push_back(last_);
    events_.push_back(in);
    step();
    return held_.contains(in.id);
  }

  void step() {
    const Time now = machine_.steady();
    for (auto it = out_.begin(); it != out_.end();) {
      Out& out = *it;
      if (!out.begun && (out.up <= now || out.send.start_by < now)) begin(out);
      const bool over = out.begun ? out.ends <= now : out.outcome == Outcome::kNotSent;
      if (!over) {
        ++it;
        continue;
      }
      const Out done = out;
      it = out_.erase(it);
      finish(done);
    }
    std::vector<Event> events;
    events.swap(events_);
    std::vector<Action> actions;
    policy_.step(now, events, actions);
    for (const Action& action : actions) carry_out(action);
    for (const uint64_t number : std::exchange(fresh_, {})) {
      const auto held = held_.find(number);
      if (held == held_.end()) continue;
      ASSERT_TRUE(journal_.accepted(held->second.handed));
      wrote();
    }
    for (const Send& send : std::exchange(sends_, {})) {
      const auto held = held_.find(send.id);
      if (held == held_.end()) continue;
      Out out;
      out.send = send;
      out.id = held->second.handed.id;
      out.attempt = held->second.attempts++;
      draw(out);
      out_.push_back(out);
    }
    for (const auto& [number, held] : held_) seen(held.handed.id, held.handed.budget.left(now));
  }

  size_t held() const { return held_.size(); }

  void wrote() const {
    for (const auto& [number, held] : held_)
      recorded(held.handed.id, held.handed.budget.left(machine_.steady()));
  }

 private:
  struct Held {
    Handed handed;
    int attempts = 0;
  };

  void resume(const Recovered& entry) {
    if (entry.owed) {  // its end was told before; it is only told again
      journal_.done(entry.message.id);
      return;
    }
    MessageReceived in;
    in.id = ++last_;
    in.rules = entry.message.rules;
    in.due = entry.message.budget.due();
    in.destination = 1;
    in.attempts = entry.attempts;
    if (!entry.unsettled.empty()) {
      in.maybe_executed = true;
      in.maybe_executed_sent_at = entry.unsettled.begin()->second.first;
    }
    held_[last_] = {entry.message, entry.attempts};
    events_.push_back(in);
  }

  // As Relay::may_start.
  void begin(Out& out) {
    const Time now = machine_.steady();
    const auto held = held_.find(out.send.id);
    if (held == held_.end() || now > out.send.start_by || held->second.handed.budget.over(now) ||
        !journal_.attempt(out.id, out.attempt, 0)) {
      out.outcome = Outcome::kNotSent;
      if (held != held_.end()) --held->second.attempts;
      return;
    }
    out.begun = true;
    wrote();
    started(out.id);
  }

  void finish(const Out& out) {
    const auto held = held_.find(out.send.id);
    AttemptEnded end;
    end.id = out.send.id;
    end.attempt = out.attempt;
    end.endpoint = out.send.endpoint;
    end.outcome = out.outcome;
    end.final = out.outcome == Outcome::kOk;
    end.took = 50 * kMs;
    end.retry_after = out.wait;
    if (held != held_.end()) {
      if (out.begun && out.outcome == Outcome::kFull) journal_.never_ran(out.id, out.attempt);
      if (end.final) over(held, 'd');
    }
    events_.push_back(end);
  }

  void carry_out(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) {
      sends_.push_back(*send);
      return;
    }
    const auto* refuse = std::get_if<Refuse>(&action);
    const auto* fail = std::get_if<Fail>(&action);
    if (refuse == nullptr && fail == nullptr) return;
    const auto held = held_.find(refuse != nullptr ? refuse->id : fail->id);
    if (held != held_.end()) over(held, refuse != nullptr ? 'r' : 'f');
  }

  void over(std::map<uint64_t, Held>::iterator held, char how) {
    const std::string id = held->second.handed.id;
    if (how != 'd') journal_.owed({id, how == 'r', 0});
    if (how == 'd') journal_.done(id);
    held_.erase(held);
    ended(id, how);
  }

  Machine& machine_;
  Journal journal_;
  Policy policy_;
  std::vector<std::shared_ptr<const MessageRules>> rules_;
  std::vector<Event> events_;
  std::vector<Send> sends_;
  std::vector<uint64_t> fresh_;
  std::deque<Out> out_;
  std::map<uint64_t, Held> held_;
  uint64_t last_ = 0;
};

}  // namespace firspool::relay
