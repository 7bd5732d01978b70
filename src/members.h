// Members: the list of endpoints, as the caller hears it, and when it is asked for.
#pragma once

#include "limits.h"

namespace firspool::detail {

class Members {
 public:
  Members(State& state, Limits& limits) : s_(state), limits_(limits) {}

  void changed(const MembersChanged& e) {
    if (e.form == MembersChanged::Form::kFailed) {
      watching_ = false;
      watch_at_ = s_.now + watch_pause_;
      watch_pause_ = std::min(watch_pause_ * 2, std::max(kSecond, s_.set.list_request_interval / 2));
      return;
    }
    if (watching_) watch_pause_ = kSecond / 4;
    if (e.form == MembersChanged::Form::kFull)
      for (auto& [id, host] : s_.hosts) host.member.listing = Listing::kGone;
    s_.avoided_counted = false;
    std::set<LaneKey> changed;
    if (e.form == MembersChanged::Form::kFull)
      for (const auto& [key, l] : s_.lanes) changed.insert(key);
    if (e.members)
      for (const Member& m : *e.members) list(m, changed);
    if (e.form == MembersChanged::Form::kFull)
      for (const auto& [id, host] : s_.hosts)
        if (host.gone()) gone_.insert(id);
    reach(changed);
  }

  // A host that is gone is forgotten once no call to it is out.
  void forget_gone() {
    std::erase_if(gone_, [this](const Endpoint& id) {
      const auto found = s_.hosts.find(id);
      if (found == s_.hosts.end() || !found->second.gone()) return true;
      if (found->second.calls > 0) return false;
      s_.destinations[found->second.member.destination].hosts.erase(id);
      s_.hosts.erase(found);
      return true;
    });
  }

  void keep_watching() {
    if (!s_.set.list_on_request || watching_) return;
    if (s_.now < watch_at_) return s_.wake(watch_at_);
    s_.tell(WatchList{});
    watching_ = true;
  }

  void tell_avoided() {
    if (!s_.avoided_counted || s_.now >= avoided_until_) count_avoided();
    if (avoided_until_ != kNever) s_.wake(avoided_until_);
  }

 private:
  void count_avoided() {
    size_t count = 0;
    avoided_until_ = kNever;
    for (const auto& [endpoint, host] : s_.hosts) {
      if (host.gone()) continue;
      count += !host.ready() || host.lane->out() || host.avoid_until > s_.now;
      if (host.avoid_until > s_.now) avoided_until_ = std::min(avoided_until_, host.avoid_until);
    }
    s_.avoided_counted = true;
    if (count != std::exchange(avoided_, count)) s_.tell(EndpointsAvoided{count});
  }

  // All relays hear at once that a destination can be reached again, with messages waiting in each of them.
  void reach(const std::set<LaneKey>& changed) {
    for (const LaneKey& key : changed) {
      Lane& l = s_.lanes.at(key);
      const auto ready = [&l](const auto& at) { return at.second->lane == &l && at.second->ready(); };
      const auto d = s_.destinations.find(key.first);
      const bool now = d != s_.destinations.end() && std::ranges::any_of(d->second.hosts, ready);
      const bool was = std::exchange(l.reachable, now);
      if (l.reachable && !was && l.steered) l.pacer = limits_.late_start(s_.now);
    }
  }

  // `changed` gets the lanes that it is in now, and was in before.
  void list(const Member& m, std::set<LaneKey>& changed) {
    const bool apart =
        m.kind < static_cast<int>(s_.set.kinds.size()) && s_.set.kinds[m.kind].independent_endpoints;
    Host& host = s_.hosts[m.endpoint];
    if (host.lane != nullptr) changed.insert(host.lane->key);
    if (m.listing == Listing::kGone) gone_.insert(m.endpoint);
    host.member = m;
    host.lane = &s_.lane({m.destination, apart ? m.endpoint : Endpoint{}});
    changed.insert(host.lane->key);
    Destination& d = s_.destinations[m.destination];
    d.hosts[m.endpoint] = &host;
    d.kind = m.kind;
    d.known.insert({m.zone, m.kind});
    d.remembered.destination = m.destination;
    if (s_.set.weights != Weights::kNone && m.weight > 0 && host.ready()) limits_.weigh(m.weight, *host.lane);
  }

  State& s_;
  Limits& limits_;
  bool watching_ = false;
  Time watch_at_ = std::numeric_limits<Time>::min();
  Time watch_pause_ = kSecond / 4;
  size_t avoided_ = 0;           // as it was told last
  Time avoided_until_ = kNever;  // until then as many are avoided, unless something changes
  std::set<Endpoint> gone_;      // hosts, and some that were listed again
};

}  // namespace firspool::detail
