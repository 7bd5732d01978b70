// The relay's turn with the module: what happened is handed to it, and what it decides is carried out.
#include <algorithm>
#include <boost/asio/post.hpp>

#include "firspool/attempt_end.h"
#include "known.h"
#include "log.h"
#include "relay.h"

namespace firspool::relay {
namespace {

std::chrono::steady_clock::time_point at_time(Time t) {
  return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

}  // namespace

void Relay::put(Handed handed, Clients::Answer answer) {
  if (share_.ids.contains(handed.id)) return answer("+OK");  // a predecessor holds it
  if (shut() && !custody_.number_of(handed.id)) return answer(fenced_line());
  const auto put = custody_.put(std::move(handed));
  if (const auto* line = std::get_if<std::string>(&put)) return answer(*line);
  const auto number = std::get<uint64_t>(put);
  if (const Custody::Held* held = budgets_ ? custody_.find(number) : nullptr; held && held->handed.verdict) {
    for (const auto& limit : held->handed.verdict->limits) budgets_->wanted(limit->budget, 1);
  }
  pending_.push_back({number, std::move(answer)});
}

Lane Relay::lane_of(const Member& member) const {
  const auto& kinds = config_.settings.kinds;
  const bool apart = member.kind < static_cast<int>(kinds.size()) && kinds[member.kind].independent_endpoints;
  return {member.destination, apart ? member.endpoint : Endpoint{}};
}

// The last look before a call's first byte. While its connection came up the host may have moved or been
// drained, its destination may have told another call to wait, or the message may be over.
bool Relay::may_start(const Call& call) {
  Custody::Held* held = custody_.find(call.id);
  const ListedHost* host = directory_.find(call.endpoint);
  const Time now = steady_now();
  if (held == nullptr || !directory_.active(call.endpoint)) return false;
  if (host->address != call.address || host->member.destination != held->handed.destination) return false;
  if (now > call.start_by || held->handed.budget.over(now)) return false;
  if (waits_.until(lane_of(host->member)) > now) return false;
  const auto& verdict = held->handed.verdict;
  if (verdict && !verdict->routes.rule_for(host->member.zone, host->member.kind).allowed) return false;
  return custody_.sends(*held, call.attempt, host->member.zone);
}

void Relay::ended(const AttemptEnded& end, bool began) {
  const ListedHost* host = directory_.find(end.endpoint);
  if (end.retry_after > 0 && host != nullptr)
    waits_.tell(lane_of(host->member), steady_now() + end.retry_after);
  if (Custody::Held* held = custody_.find(end.id)) {
    held->out = false;
    if (end.outcome == Outcome::kNotSent) --held->attempts;
    if (end.final) {
      custody_.finish(end.id, {}, Reason::kDeadline, end.outcome == Outcome::kOk);
    } else {
      returned_.push_back(end.id);
      if (began && execution_after(end.outcome) == Execution::kNever)
        custody_.journal().never_ran(held->handed.id, end.attempt);
    }
  }
  happened(end);
}

void Relay::happened(Event event) {
  events_.push_back(std::move(event));
  if (step_posted_) return;
  step_posted_ = true;
  boost::asio::post(io_, [this] { step(); });
}

void Relay::step() {
  if (budgets_) budgets_->hear(events_);  // what has lapsed is known before anything is sent
  step_posted_ = false;
  std::vector<Event> events;
  events.swap(events_);
  std::vector<Action> actions;
  policy_.step(steady_now(), events, actions);
  answer_pending(actions);
  for (const Action& action : actions) carry_out(action);
  // What was given up on just now ended in its attempt; the others wait for another.
  for (const uint64_t number : std::exchange(returned_, {})) {
    Custody::Held* held = custody_.find(number);
    if (held != nullptr && !held->out) custody_.enter(*held, Stage::kWait);
  }
  arm();
  if (handing_) pass_on();
}

void Relay::answer_pending(const std::vector<Action>& actions) {
  std::map<uint64_t, const Action*> turned_away;
  if (!pending_.empty()) {
    for (const Action& action : actions) {
      if (const auto* refuse = std::get_if<Refuse>(&action)) {
        turned_away[refuse->id] = &action;
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        turned_away[fail->id] = &action;
      }
    }
  }
  std::vector<Pending> pending;
  pending.swap(pending_);
  std::map<uint64_t, std::string> lines;  // one for each message, however often it came in this turn
  for (const Pending& item : pending) {
    auto line = lines.find(item.number);
    if (line == lines.end()) {
      if (custody_.find(item.number) == nullptr) continue;
      const auto away = turned_away.find(item.number);
      const Action* turned = away == turned_away.end() ? nullptr : away->second;
      const bool fenced = turned == nullptr && shut();
      line = lines.emplace(item.number, custody_.decided(item.number, turned, fenced)).first;
    }
    item.answer(line->second);
  }
}

void Relay::carry_out(const Action& action) {
  if (const auto* send = std::get_if<Send>(&action)) {
    Custody::Held* held = custody_.find(send->id);
    const ListedHost* host = directory_.find(send->endpoint);
    if (held == nullptr || host == nullptr) {  // given back in this very turn for want of room
      AttemptEnded unsent;
      unsent.id = send->id;
      unsent.attempt = held == nullptr ? 0 : held->attempts;
      unsent.endpoint = send->endpoint;
      unsent.outcome = Outcome::kNotSent;
      unsent.final = held == nullptr;  // one that is held still is owed its end
      return happened(std::move(unsent));
    }
    Call call;
    call.id = send->id;
    call.endpoint = send->endpoint;
    held->out = true;
    call.attempt = held->attempts++;
    call.address = host->address;
    call.call_id = held->handed.id;
    call.key = held->handed.key;
    call.body = held->handed.body;
    call.timeout = send->timeout;
    call.start_by = send->start_by;
    call.budget = held->handed.budget;
    custody_.enter(*held, Stage::kConnect);
    upstream_.call(std::move(call));
  } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
    if (const Custody::Held* held = custody_.find(refuse->id)) {
      custody_.finish(refuse->id, Notice{held->handed.id, true, refuse->retry_after}, refuse->reason);
    }
  } else if (const auto* fail = std::get_if<Fail>(&action)) {
    if (const Custody::Held* held = custody_.find(fail->id)) {
      custody_.finish(fail->id, Notice{held->handed.id, false, 0});
    }
  } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
    upstream_.cancel(cancel->id, cancel->attempt);
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    const ListedHost* host = directory_.find(probe->endpoint);
    if (host != nullptr) upstream_.probe(probe->endpoint, host->address);
  } else if (const auto* close = std::get_if<CloseIdle>(&action)) {
    upstream_.close_idle(close->endpoint);
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    wakes_.insert(timer->at);
  } else if (const auto* memory = std::get_if<SaveSnapshot>(&action)) {
    remember(custody_.journal(), memory->snapshot);
  } else if (const auto* avoided = std::get_if<EndpointsAvoided>(&action)) {
    avoided_ = avoided->count;
  } else if (const auto* log = std::get_if<Log>(&action)) {
    log_info("module", log->text);
  }
}

void Relay::arm() {
  if (wakes_.empty()) return;
  wake_timer_.expires_at(at_time(*wakes_.begin()));
  wake_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    while (!wakes_.empty() && *wakes_.begin() <= steady_now()) {
      happened(TimerFired{static_cast<uint64_t>(*wakes_.begin())});
      wakes_.erase(wakes_.begin());
    }
    arm();
  });
}

}  // namespace firspool::relay
