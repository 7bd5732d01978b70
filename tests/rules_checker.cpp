#include "rules_checker.h"

#include <algorithm>

namespace firspool::testing {

void RulesChecker::report(uint64_t id, const std::string& violation) {
  violations_.push_back("message " + std::to_string(id) + ": " + violation);
}

std::pair<int, Endpoint> RulesChecker::limit_group(const Member& member) const {
  const bool independent =
      member.kind < static_cast<int>(set_.kinds.size()) && set_.kinds[member.kind].independent_endpoints;
  return {member.destination, independent ? member.endpoint : Endpoint{}};
}

void RulesChecker::before_step(Time now, std::span<const Event> events) {
  for (const Event& event : events) {
    if (const auto* list = std::get_if<MembersChanged>(&event); list && list->members) {
      if (list->form == MembersChanged::Form::kFull) {
        for (const auto& [endpoint, member] : members_) draining_since_.try_emplace(endpoint, now);
      }
      for (const Member& member : *list->members) {
        members_[member.endpoint] = member;
        if (member.listing == Listing::kReady) {
          draining_since_.erase(member.endpoint);
        } else {
          draining_since_.try_emplace(member.endpoint, now);
        }
      }
    } else if (const auto* arrival = std::get_if<MessageReceived>(&event)) {
      Received& message = received_[arrival->id];
      message.in = *arrival;
      message.order = ++arrivals_;
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      const auto it = received_.find(ended->id);
      if (it == received_.end() || ended->attempt >= static_cast<int>(it->second.sent.size())) continue;
      Sent& sent = it->second.sent[ended->attempt];
      sent.in_flight = false;
      if (--calls_[sent.call] == 0) calls_.erase(sent.call);
      const Outcome outcome = ended->outcome;
      if (outcome == Outcome::kNotSent) {  // not counted as an attempt
        it->second.sent.pop_back();
        continue;
      }
      sent.maybe_executed = outcome != Outcome::kFull && outcome != Outcome::kConnectFailed &&
                            outcome != Outcome::kNotForwarded;
      if (ended->final) it->second.ended = true;
      if (outcome == Outcome::kFull && ended->retry_after > 0) {
        Time& wait = retry_after_until_[limit_group(members_[sent.endpoint])];
        wait = std::max(wait, now + ended->retry_after);
      }
      if (outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kCancelled) {
        key_pauses_[it->second.in.key] = {now + set_.order_pause, ended->id};
      }
    } else if (const auto* released = std::get_if<MessageReleased>(&event)) {
      const auto it = received_.find(released->id);
      if (it != received_.end()) it->second.ended = true;
    }
  }
}

void RulesChecker::after_step(Time now, std::span<const Action> actions) {
  open_calls_.clear();
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) check_send(now, *send);
    if (const auto* refuse = std::get_if<Refuse>(&action)) check_refuse(refuse->id);
    if (const auto* fail = std::get_if<Fail>(&action)) {
      Received& message = received_[fail->id];
      if (message.ended) report(fail->id, "answered twice");
      message.ended = true;
    }
    if (std::holds_alternative<Probe>(action) && !set_.may_probe)
      report(0, "probe though the settings allow none");
  }
  for (const auto& [id, message] : received_) {
    if (!message.ended && now > message.in.due + set_.answer_slack) report(id, "no final answer in time");
  }
}

void RulesChecker::check_send(Time now, const Send& send) {
  const auto it = received_.find(send.id);
  if (it == received_.end()) return report(send.id, "sent but never received");
  Received& message = it->second;
  const ClassSettings& c = set_.classes[message.in.message_class];
  if (message.ended) report(send.id, "sent after its final answer");
  const auto member = members_.find(send.endpoint);
  if (member == members_.end()) return report(send.id, "sent to an endpoint that was never listed");
  if (member->second.destination != message.in.destination) report(send.id, "sent to another destination");
  for (const Sent& earlier : message.sent) {
    if (earlier.in_flight) report(send.id, "two attempts at once");
    if (!earlier.maybe_executed) continue;
    if (c.effect == Effect::kUnsafe) report(send.id, "unsafe message repeated");
    if (c.effect != Effect::kKeyed) continue;
    if (now > earlier.sent_at + c.key_window) report(send.id, "repeated after its key window");
    const Member& first = members_[earlier.endpoint];
    if (c.key_scope == KeyScope::kZone && first.zone != member->second.zone)
      report(send.id, "repeated outside the zone that remembers its key");
  }
  if (static_cast<int>(message.sent.size()) >= set_.max_attempts) report(send.id, "too many attempts");
  const auto drained = draining_since_.find(send.endpoint);
  if (drained != draining_since_.end() && now > drained->second + set_.drain_grace)
    report(send.id, "sent to an endpoint that has drained for longer than drain_grace");
  const auto wait = retry_after_until_.find(limit_group(member->second));
  if (wait != retry_after_until_.end() && now < wait->second)
    report(send.id, "sent before the retry-after was over");
  if (c.in_order && message.in.key != 0) check_order(now, send.id, message);
  message.sent.push_back({send.endpoint, now, join_call(member->second)});
  if (static_cast<int>(calls_.size()) > set_.max_in_flight)
    report(send.id, "more calls in flight than max_in_flight");
}

// Messages sent to one endpoint in one step share a call, up to the batch size of its kind.
uint64_t RulesChecker::join_call(const Member& member) {
  const auto open = open_calls_.find(member.endpoint);
  if (open == open_calls_.end() || calls_[open->second] >= set_.kinds[member.kind].batch) {
    open_calls_[member.endpoint] = ++last_call_;
  }
  ++calls_[open_calls_[member.endpoint]];
  return open_calls_[member.endpoint];
}

void RulesChecker::check_order(Time now, uint64_t id, const Received& message) {
  for (const auto& [other_id, other] : received_) {
    const bool same_key = set_.classes[other.in.message_class].in_order && other.in.key == message.in.key;
    if (!same_key || other.order >= message.order) continue;
    const bool in_flight =
        std::any_of(other.sent.begin(), other.sent.end(), [](const Sent& s) { return s.in_flight; });
    if (!other.ended || in_flight) report(id, "sent before an earlier message of its key was over");
  }
  const auto pause = key_pauses_.find(message.in.key);
  if (pause != key_pauses_.end() && pause->second.second != id && now < pause->second.first) {
    report(id, "sent during the pause of its key");
  }
}

void RulesChecker::check_refuse(uint64_t id) {
  const auto it = received_.find(id);
  if (it == received_.end()) return report(id, "refused but never received");
  Received& message = it->second;
  if (message.ended) report(id, "answered twice");
  message.ended = true;
  const ClassSettings& c = set_.classes[message.in.message_class];
  for (const Sent& sent : message.sent) {
    if (!sent.in_flight && !sent.maybe_executed) continue;
    const bool harmless =
        c.effect == Effect::kSafe || (c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAll);
    if (harmless) continue;
    report(id, "refused though it may have been executed");
    return;
  }
}

size_t RulesChecker::unanswered() const {
  return std::count_if(received_.begin(), received_.end(),
                       [](const auto& item) { return !item.second.ended; });
}

}  // namespace firspool::testing
