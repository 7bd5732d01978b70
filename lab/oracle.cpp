#include "oracle.h"

#include <algorithm>

namespace umberhoist::lab {

Oracles::Oracles(Rules rules, int relays)
    : rules_(rules),
      policy(rules_, verdicts_),
      processes(rules_, verdicts_),
      away_(static_cast<size_t>(relays)),
      drains_(static_cast<size_t>(relays)),
      waits_(static_cast<size_t>(relays)) {
  verdicts_.add({"final_answer", "client_answered", "one_attempt_out", "no_second_run", "drains_kept",
                 "waits_kept", "cold_not_pushed", "call_intact"});
}

const HandIn* Oracles::find(const std::string& id) const {
  const auto it = held_.find(id);
  return it == held_.end() ? nullptr : &it->second.hand;
}

bool Oracles::delivered(const std::string& id) const {
  const auto it = held_.find(id);
  return it != held_.end() && it->second.delivered;
}

void Oracles::handed_in(const std::string& id, HandIn hand) {
  by_destination_[hand.destination].push_back(id);
  held_[id].hand = std::move(hand);
  ++requests_;
}

void Oracles::answered(double now, const std::string& id, Answer answer) {
  Held& held = held_.at(id);
  verdicts_.checked("client_answered");
  if (answer == Answer::kTaken) {
    held.taken = now;
    if (held.answered_200 >= 0) end(now, held, id);
  }
  if (answer != Answer::kClosed) return;
  // Alone it is priced as a refusal; many are losses.
  ++dropped_;
  if (static_cast<double>(dropped_) > 3 + rules_.dropped_share * static_cast<double>(requests_)) {
    verdicts_.broke(
        "client_answered", now, held.hand.relay,
        "request " + id + " was closed with no answer, like " + std::to_string(dropped_ - 1) + " before it");
  }
}

void Oracles::end(double now, Held& held, const std::string&) {
  if (held.ended < 0) held.ended = now;
  held.delivered = held.answered_200 >= 0;
}

const HandIn* Oracles::call(double now, double first, const std::string& id, const std::string& endpoint,
                            int destination, const std::string& key, uint64_t body) {
  verdicts_.checked("call_intact");
  const auto it = held_.find(id);
  if (it == held_.end()) {
    verdicts_.broke("call_intact", now, -1, "a call with id \"" + id + "\", which no client handed in");
    return nullptr;
  }
  Held& held = it->second;
  const int relay = held.hand.relay;
  const size_t r = static_cast<size_t>(relay);
  if (held.hand.destination != destination) {
    verdicts_.broke("call_intact", now, relay,
                    "message " + id + " for destination " + std::to_string(held.hand.destination) +
                        " came to " + std::to_string(destination));
  } else if (held.hand.body != body || (!held.hand.key.empty() && held.hand.key != key)) {
    verdicts_.broke("call_intact", now, relay, "message " + id + " came with another body or key");
  }
  verdicts_.checked("one_attempt_out");
  if (std::ranges::any_of(held.calls, [](const Call& c) { return c.out; })) {
    verdicts_.broke("one_attempt_out", now, relay,
                    "message " + id + " came while an earlier call of it was out");
  }
  verdicts_.checked("no_second_run");
  const auto ran = std::ranges::find_if(held.calls, [](const Call& c) { return c.ran != Ran::kNever; });
  if (ran != held.calls.end()) {
    if (held.hand.effect == Effect::kUnsafe) {
      verdicts_.broke("no_second_run", now, relay,
                      "unsafe message " + id + " came again after a call that may have run");
    } else if (held.hand.effect == Effect::kKeyed && first > ran->at + held.hand.key_ttl + rules_.slack) {
      verdicts_.broke(
          "no_second_run", now, relay,
          "keyed message " + id + " came again " + seconds(now - ran->at) + " after one that may have run");
    }
  }
  verdicts_.checked("drains_kept");
  const auto drain = drains_[r].find(endpoint);
  if (drain != drains_[r].end() && first > drain->second + rules_.drain_grace + rules_.slack) {
    verdicts_.broke("drains_kept", now, relay,
                    "message " + id + " went to " + endpoint + " " + seconds(first - drain->second) +
                        " after the relay was told");
  }
  verdicts_.checked("waits_kept");
  const auto wait = waits_[r].find(destination);
  if (wait != waits_[r].end() && first > wait->second.first + rules_.wait_grace &&
      first < wait->second.second - rules_.slack) {
    verdicts_.broke("waits_kept", now, relay,
                    "message " + id + " came to destination " + std::to_string(destination) + " " +
                        seconds(wait->second.second - first) + " before its told wait was over");
  }
  held.calls.push_back({first, true, Ran::kMaybe});
  return &held.hand;
}

void Oracles::call_answered(double now, const std::string& id, Ran ran, double told_wait) {
  const auto it = held_.find(id);
  if (it == held_.end() || it->second.calls.empty()) return;
  Held& held = it->second;
  held.calls.back().ran = ran;
  held.calls.back().out = false;
  const size_t r = static_cast<size_t>(held.hand.relay);
  if (told_wait > 0) {
    auto& wait = waits_[r][held.hand.destination];
    if (now > wait.second) wait.first = now;  // the one before is over
    wait.second = std::max(wait.second, now + told_wait);
  }
  if (ran == Ran::kDelivered) {
    held.answered_200 = now;
    if (held.taken >= 0) end(now, held, id);
  } else {
    const auto outage = outages_.find(held.hand.destination);
    if (outage != outages_.end() && outage->second.ended < 0) {
      failed_at_[held.hand.destination].insert(held.hand.relay);
    }
  }
}

void Oracles::call_over(double, const std::string& id) {
  const auto it = held_.find(id);
  if (it == held_.end() || it->second.calls.empty()) return;
  if (!it->second.calls.back().out) return;
  it->second.calls.back().out = false;
  const auto outage = outages_.find(it->second.hand.destination);
  if (outage != outages_.end() && outage->second.ended < 0) {
    failed_at_[it->second.hand.destination].insert(it->second.hand.relay);
  }
}

bool Oracles::notice(double now, const std::string& id) {
  const auto it = held_.find(id);
  if (it == held_.end()) {
    verdicts_.broke("final_answer", now, -1, "a notice for \"" + id + "\", which no client handed in");
    return false;
  }
  if (it->second.ended >= 0 || it->second.taken < 0) return false;
  end(now, it->second, id);
  return true;
}

void Oracles::told_drain(double now, int relay, const std::string& endpoint) {
  drains_[static_cast<size_t>(relay)].try_emplace(endpoint, now);
}

void Oracles::down(double now, int relay) {
  auto& away = away_[static_cast<size_t>(relay)];
  if (away.empty() || away.back().until >= 0) away.push_back({now, -1});
}

void Oracles::ready(double now, int relay) {
  auto& away = away_[static_cast<size_t>(relay)];
  if (!away.empty() && away.back().until < 0) away.back().until = now;
}

void Oracles::emptied(int relay) {
  drains_[static_cast<size_t>(relay)].clear();
  for (auto& [id, held] : held_) {
    if (held.hand.relay == relay && held.taken >= 0 && held.ended < 0) held.excused = true;
  }
}

void Oracles::gone(int relay) { waits_[static_cast<size_t>(relay)].clear(); }

// When what came due while the relay was away is overdue; nothing where it never came back.
double Oracles::excused_until(int relay, double limit) const {
  for (const Away& away : away_[static_cast<size_t>(relay)]) {
    if (limit < away.from) break;
    if (away.until < 0) return 1e18;
    limit = std::max(limit, away.until + rules_.restart_slack);
  }
  return limit;
}

void Oracles::finish(double now) {
  for (const auto& [id, held] : held_) {
    if (held.taken < 0 || held.excused) continue;
    const double limit = excused_until(held.hand.relay, held.hand.due + rules_.final_slack + rules_.slack);
    if (held.ended < 0 && limit > now) continue;  // not due yet
    verdicts_.checked("final_answer");
    if (held.ended >= 0 && held.ended <= limit) continue;
    verdicts_.broke("final_answer", limit, held.hand.relay,
                    "message " + id + ", taken on at " + seconds(held.taken) + ", due at " +
                        seconds(held.hand.due) + ", " + std::to_string(held.calls.size()) + " attempts, " +
                        (held.ended < 0 ? "has no final answer" : "ended only at " + seconds(held.ended)));
  }
}

}  // namespace umberhoist::lab
