#include "oracle_feeds.h"

#include <algorithm>

namespace umberhoist::lab {
namespace {

uint64_t number_of(const Position& position, const std::string& origin) {
  const auto it = position.find(origin);
  return it == position.end() ? 0 : it->second;
}

}  // namespace

void FeedExact::handed_in(const std::string& id, const std::string& customer, const std::string& zone,
                          int relay) {
  Message& m = messages_[id];
  m.customer = customer;
  m.zone = zone;
  m.relay = relay;
}

void FeedExact::end(double now, const std::string& id, const std::string& answer, bool notice) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || it->second.noticed) return;
  Message& m = it->second;
  if (m.ended < 0) m.ended = now;
  m.answer = answer;
  m.noticed = notice;
}

void FeedExact::delivered(double now, const std::string& id) { end(now, id, "delivered", false); }
void FeedExact::noticed(double now, const std::string& id, const std::string& state) {
  end(now, id, state, true);
}
void FeedExact::emptied(double now, int relay) { lost_[relay].push_back(now); }

void FeedExact::subscribed(double now, const std::string& name, const std::string& customer,
                           const std::set<std::string>& regions) {
  const auto [it, fresh] = subscriptions_.try_emplace(name);
  if (fresh) it->second = {customer, regions, now, false, {}, {}, {}, {}, {}};
}

void FeedExact::rebuild(Subscription& s) {
  s.at.clear();
  s.have.clear();
  s.gone.clear();
  for (const Entry& e : s.history) {
    if (e.number != kNoEnd) s.at[e.origin] = std::max(s.at[e.origin], e.number);
    if (e.id.empty()) s.gone[e.origin].emplace_back(e.gap_from, e.number);
    if (!e.id.empty()) s.have.insert(e.id);
  }
}

size_t FeedExact::history(const std::string& name) const { return subscriptions_.at(name).history.size(); }

void FeedExact::went_back(const std::string& name, size_t history) {
  Subscription& s = subscriptions_.at(name);
  s.history.resize(std::min(history, s.history.size()));
  rebuild(s);
}

Position FeedExact::position(const std::string& name) const { return subscriptions_.at(name).at; }

void FeedExact::opened(double now, const std::string& name, int relay, const Position& from,
                       const std::vector<FeedGap>& gaps, bool shown) {
  Subscription& s = subscriptions_.at(name);
  ++verdict_.checked;
  // Where it stood before the gaps.
  Position stood = from;
  for (const FeedGap& gap : gaps) {
    stood[gap.origin] = gap.to == 0 ? std::max(number_of(s.at, gap.origin), gap.from - 1) : gap.from - 1;
  }
  for (const auto& [origin, number] : shown ? s.at : s.acknowledged) {
    if (number_of(stood, origin) >= number || is_gone(s, origin)) continue;
    verdict_.broke(now, relay,
                   name + " was opened at " + std::to_string(number_of(stood, origin)) + " of origin " +
                       origin + ", and " + (shown ? "showed " : "had acknowledged ") +
                       std::to_string(number));
  }
  if (!shown) {
    // It goes on from there: what it took beyond comes again, but for logs that were said to be gone before.
    std::erase_if(s.history, [&](const Entry& e) {
      const auto it = stood.find(e.origin);
      return it == stood.end() ? !is_gone(s, e.origin) : e.number > it->second;
    });
    rebuild(s);
  }
  for (const FeedGap& gap : gaps) say(now, s, name, relay, gap);
}

void FeedExact::say(double now, Subscription& s, const std::string& name, int relay, const FeedGap& gap) {
  ++verdict_.checked;
  const uint64_t to = gap.to == 0 ? kNoEnd : gap.to;
  if (gap.from == 0 || to < gap.from) {
    verdict_.broke(now, relay,
                   name + " was told of a gap " + std::to_string(gap.from) + " to " + std::to_string(gap.to) +
                       " of origin " + gap.origin);
    return;
  }
  if (to != kNoEnd) in_gaps_ += to - gap.from + 1;
  for (uint64_t n = gap.from; to != kNoEnd && n <= to; ++n) numbers_[gap.origin].try_emplace(n, "");
  s.history.push_back({gap.origin, to, "", gap.from});
  rebuild(s);
}

// Its log is no more: a gap without an end was said of it.
bool FeedExact::is_gone(const Subscription& s, const std::string& origin) {
  const auto it = s.gone.find(origin);
  return it != s.gone.end() &&
         std::ranges::any_of(it->second, [](const auto& gap) { return gap.second == kNoEnd; });
}

bool FeedExact::wants(const Subscription& s, const Message& m) const {
  return !s.released && m.customer == s.customer && (s.regions.empty() || s.regions.contains(m.zone));
}

void FeedExact::check(double now, Subscription& s, const std::string& name, int relay,
                      const FeedOutcome& outcome) {
  ++verdict_.checked;
  const std::string which = name + " was given outcome " + std::to_string(outcome.number) + " of origin " +
                            outcome.origin + ", message " + outcome.id;
  uint64_t& last = s.at[outcome.origin];
  if (outcome.number <= last) verdict_.broke(now, relay, which + ", after " + std::to_string(last));
  last = std::max(last, outcome.number);
  const auto it = messages_.find(outcome.id);
  if (it == messages_.end()) {
    verdict_.broke(now, relay, which + ", which no client handed in");
  } else if (!s.released && !wants(s, it->second)) {
    verdict_.broke(now, relay, which + ", of customer " + it->second.customer + " from " + it->second.zone);
  } else {
    if (it->second.noticed && it->second.answer != outcome.answer) {
      verdict_.broke(now, relay,
                     which + " as " + outcome.answer + ", and its notice said " + it->second.answer);
    }
  }
  if (const auto [there, fresh] = numbers_[outcome.origin].try_emplace(outcome.number, outcome.id);
      !fresh && there->second != outcome.id && !there->second.empty()) {
    verdict_.broke(now, relay, which + ", which was given as message " + there->second);
  }
  if (const auto [place, fresh] = places_.try_emplace(outcome.id, outcome.origin, outcome.number);
      !fresh && place->second != std::pair(outcome.origin, outcome.number)) {
    verdict_.broke(now, relay,
                   which + ", which is outcome " + std::to_string(place->second.second) + " of origin " +
                       place->second.first + " too");
  }
  if (!s.have.insert(outcome.id).second) verdict_.broke(now, relay, which + ", which it had taken");
  s.history.push_back({outcome.origin, outcome.number, outcome.id, 0});
  ++given_;
}

void FeedExact::gave(double now, const std::string& name, int relay, const std::vector<FeedOutcome>& outcomes,
                     const std::vector<FeedGap>& gaps) {
  Subscription& s = subscriptions_.at(name);
  for (const FeedGap& gap : gaps) say(now, s, name, relay, gap);
  for (const FeedOutcome& outcome : outcomes) check(now, s, name, relay, outcome);
}

void FeedExact::acknowledged(double now, const std::string& name, int relay, const Position& at,
                             bool fenced) {
  ++verdict_.checked;
  if (fenced) {
    verdict_.broke(now, relay, name + " was answered OK to an acknowledgement by a session that was fenced");
    return;
  }
  Subscription& s = subscriptions_.at(name);
  for (const auto& [origin, number] : at) s.acknowledged[origin] = std::max(s.acknowledged[origin], number);
}

}  // namespace umberhoist::lab
