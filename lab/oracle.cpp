#include "oracle.h"

#include <algorithm>
#include <cstdio>

namespace umberhoist::lab {
namespace {

const char* const kNames[] = {"final_answer", "client_answered", "one_attempt_out", "no_second_run",
                              "drains_kept",  "waits_kept",      "cold_not_pushed", "call_intact",
                              "limits_kept",  "clean_end",       "starts",          "no_orphan",
                              "view_settles", "one_policy"};

std::string seconds(double t) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f s", t);
  return out;
}

}  // namespace

Oracles::Oracles(Rules rules, int relays)
    : rules_(rules),
      away_(static_cast<size_t>(relays)),
      drains_(static_cast<size_t>(relays)),
      waits_(static_cast<size_t>(relays)) {
  for (const char* name : kNames) states_[name];
}

void Oracles::broke(const std::string& oracle, double now, int relay, const std::string& what) {
  State& state = of(oracle);
  if (++state.broken > 1 && now >= state.at) return;
  state.at = now;
  state.relay = relay;
  state.first = "at " + seconds(now) + ", relay " + std::to_string(relay) + ": " + what;
}

void Oracles::acted(double now, double asked, int relay, int generation) {
  ++of("one_policy").checked;
  Policies& p = policies_;
  const auto since = p.first.try_emplace(generation, now).first->second;
  p.taken[generation].try_emplace(relay, now);
  if (const auto proposed = p.proposed.find(generation); proposed != p.proposed.end()) {
    p.slowest = std::max(p.slowest, p.taken[generation][relay] - proposed->second);
  }
  const std::string name = std::to_string(generation);
  for (const auto& [other, first] : p.first) {
    if (first <= since) continue;
    // It was asked after the other was in force.
    p.longest_mix = std::max(p.longest_mix, asked - first);
    if (asked > first + rules_.policy_mix + rules_.slack) {
      broke("one_policy", now, relay,
            "took a message on under policy " + name + " " + seconds(asked - first) + " after " +
                std::to_string(other) + " was in force");
    }
  }
  auto& [last, when] = p.last[relay];
  if (when > 0 && last != generation && asked > when && p.first[last] > since) {
    broke("one_policy", now, relay, "acts under policy " + name + " again after " + std::to_string(last));
  }
  if (now >= when) {
    last = generation;
    when = now;
  }
}

void Oracles::change_ended(double now, int relay, int generation, bool in_force) {
  ++of("one_policy").checked;
  const auto seen = policies_.first.find(generation);
  if (!in_force && seen != policies_.first.end()) {
    broke("one_policy", now, relay,
          "says that policy " + std::to_string(generation) + " never took hold, and one acted under it at " +
              seconds(seen->second));
  }
}

void Oracles::acts_at_end(double now, int relay) {
  ++of("one_policy").checked;
  int newest = 0;
  double since = -1;
  for (const auto& [generation, first] : policies_.first) {
    if (first > since) {
      since = first;
      newest = generation;
    }
  }
  const auto last = policies_.last.find(relay);
  if (last == policies_.last.end() || last->second.first != newest ||
      now - last->second.second > rules_.policy_mix) {
    broke("one_policy", now, relay,
          "does not act under policy " + std::to_string(newest) + " as the play ends" +
              (last == policies_.last.end() ? std::string()
                                            : ", but last under " + std::to_string(last->second.first) + " " +
                                                  seconds(now - last->second.second) + " ago"));
  }
}

bool Oracles::held() const {
  return std::ranges::none_of(states_, [](const auto& entry) { return entry.second.broken > 0; });
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
  ++of("client_answered").checked;
  if (answer == Answer::kTaken) {
    held.taken = now;
    if (held.answered_200 >= 0) end(now, held, id);
  }
  if (answer != Answer::kClosed) return;
  // Alone it is priced as a refusal; many are losses.
  ++dropped_;
  if (static_cast<double>(dropped_) > 3 + rules_.dropped_share * static_cast<double>(requests_)) {
    broke(
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
  ++of("call_intact").checked;
  const auto it = held_.find(id);
  if (it == held_.end()) {
    broke("call_intact", now, -1, "a call with id \"" + id + "\", which no client handed in");
    return nullptr;
  }
  Held& held = it->second;
  const int relay = held.hand.relay;
  const size_t r = static_cast<size_t>(relay);
  if (held.hand.destination != destination) {
    broke("call_intact", now, relay,
          "message " + id + " for destination " + std::to_string(held.hand.destination) + " came to " +
              std::to_string(destination));
  } else if (held.hand.body != body || (!held.hand.key.empty() && held.hand.key != key)) {
    broke("call_intact", now, relay, "message " + id + " came with another body or key");
  }
  ++of("one_attempt_out").checked;
  if (std::ranges::any_of(held.calls, [](const Call& c) { return c.out; })) {
    broke("one_attempt_out", now, relay, "message " + id + " came while an earlier call of it was out");
  }
  ++of("no_second_run").checked;
  const auto ran = std::ranges::find_if(held.calls, [](const Call& c) { return c.ran != Ran::kNever; });
  if (ran != held.calls.end()) {
    if (held.hand.effect == Effect::kUnsafe) {
      broke("no_second_run", now, relay,
            "unsafe message " + id + " came again after a call that may have run");
    } else if (held.hand.effect == Effect::kKeyed && first > ran->at + held.hand.key_ttl + rules_.slack) {
      broke("no_second_run", now, relay,
            "keyed message " + id + " came again " + seconds(now - ran->at) + " after one that may have run");
    }
  }
  ++of("drains_kept").checked;
  const auto drain = drains_[r].find(endpoint);
  if (drain != drains_[r].end() && first > drain->second + rules_.drain_grace + rules_.slack) {
    broke("drains_kept", now, relay,
          "message " + id + " went to " + endpoint + " " + seconds(first - drain->second) +
              " after the relay was told");
  }
  ++of("waits_kept").checked;
  const auto wait = waits_[r].find(destination);
  if (wait != waits_[r].end() && first > wait->second.first + rules_.wait_grace &&
      first < wait->second.second - rules_.slack) {
    broke("waits_kept", now, relay,
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

void Oracles::outage_began(double now, int destination) {
  outages_[destination] = {now, -1};
  failed_at_.erase(destination);
}

void Oracles::outage_ended(double now, int destination) { outages_[destination].ended = now; }

void Oracles::back(int) { ++of("cold_not_pushed").checked; }

// What a relay tried while a machine was down shows nowhere: one that held a message for it through the
// outage has tried.
bool Oracles::seen_failing(const Outage& outage, int destination, int relay) const {
  const auto seen = failed_at_.find(destination);
  if (seen != failed_at_.end() && seen->second.contains(relay)) return true;
  const auto ids = by_destination_.find(destination);
  if (ids == by_destination_.end()) return false;
  return std::ranges::any_of(ids->second, [&](const std::string& id) {
    const Held& held = held_.at(id);
    return held.hand.relay == relay && held.taken >= 0 && held.taken < outage.ended - 0.2 &&
           (held.ended < 0 || held.ended > std::max(held.taken, outage.began) + 0.2);
  });
}

void Oracles::pushed_over(double now, int destination, const std::map<int, int>& calls) {
  int all = 0, knew = 0, most = -1, most_calls = 0;
  for (const auto& [relay, count] : calls) {
    all += count;
    if (!seen_failing(outages_[destination], destination, relay)) continue;
    knew += count;
    if (count > most_calls) most = relay, most_calls = count;
  }
  if (3 * knew < 2 * all) return;
  broke("cold_not_pushed", now, most,
        "cold destination " + std::to_string(destination) + " was pushed over, " + std::to_string(knew) +
            " of " + std::to_string(all) + " calls by relays that had seen it fail");
}

bool Oracles::notice(double now, const std::string& id) {
  const auto it = held_.find(id);
  if (it == held_.end()) {
    broke("final_answer", now, -1, "a notice for \"" + id + "\", which no client handed in");
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

void Oracles::started(double now, int relay, double took) {
  ++of("starts").checked;
  waits_[static_cast<size_t>(relay)].clear();  // a restart ends them
  if (took > rules_.ready_within) broke("starts", now, relay, "served only after " + seconds(took));
}

void Oracles::ended(double now, int relay, bool asked, int status, double after) {
  ++of("clean_end").checked;
  if (!asked) {
    broke("clean_end", now, relay,
          "ended by itself (" + std::string(status < 0 ? "signal " : "exit ") +
              std::to_string(status < 0 ? -status : status) + ")");
  } else if (status != 0) {
    broke("clean_end", now, relay, "ended with " + std::to_string(status) + " after SIGTERM");
  } else if (after > rules_.end_within + rules_.slack) {
    broke("clean_end", now, relay, "took " + seconds(after) + " to end after SIGTERM");
  }
}

void Oracles::measured(double now, int relay, double memory, int descriptors, double disk) {
  ++of("limits_kept").checked;
  char what[160] = "";
  if (memory > rules_.memory_bytes) {
    std::snprintf(what, sizeof what, "holds %.1f MB of memory, over %.1f", memory / 1e6,
                  rules_.memory_bytes / 1e6);
  } else if (descriptors > rules_.sockets) {
    std::snprintf(what, sizeof what, "holds %d descriptors, over %d", descriptors, rules_.sockets);
  } else if (disk > rules_.disk_bytes) {
    std::snprintf(what, sizeof what, "has %.2f MB on disk, over %.2f", disk / 1e6, rules_.disk_bytes / 1e6);
  }
  if (*what != '\0') broke("limits_kept", now, relay, what);
}

void Oracles::view(double now, double took, double most, const std::string& wrong) {
  ++of("view_settles").checked;
  if (!wrong.empty()) {
    broke("view_settles", now, -1, "not settled " + seconds(took) + " after the last fault: " + wrong);
  } else if (took > most + 1) {
    broke("view_settles", now, -1, "settled only after " + seconds(took));
  }
}

void Oracles::left_behind(double now, int relay, const std::string& what) {
  ++of("no_orphan").checked;
  if (!what.empty()) broke("no_orphan", now, relay, what);
}

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
    ++of("final_answer").checked;
    if (held.ended >= 0 && held.ended <= limit) continue;
    broke("final_answer", limit, held.hand.relay,
          "message " + id + ", taken on at " + seconds(held.taken) + ", due at " + seconds(held.hand.due) +
              ", " + std::to_string(held.calls.size()) + " attempts, " +
              (held.ended < 0 ? "has no final answer" : "ended only at " + seconds(held.ended)));
  }
}

}  // namespace umberhoist::lab
