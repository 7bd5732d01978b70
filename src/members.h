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
      watch_pause_ = std::min(watch_pause_ * 2, std::max(kSecond, s_.set.ask_every / 2));
      return;
    }
    if (watching_) watch_pause_ = kSecond / 4;
    if (e.form == MembersChanged::Form::kFull)
      for (auto& [id, host] : s_.hosts) host.member.listing = Listing::kGone;
    if (!e.members) return;
    for (const Member& m : *e.members) list(m);
    // All relays hear at once that a destination can be reached again, with messages waiting in each of them.
    for (auto& [key, l] : s_.lanes) {
      const auto ready = [&l = l](const auto& at) { return at.second.lane == &l && at.second.ready(); };
      const bool was = std::exchange(l.reachable, std::ranges::any_of(s_.hosts, ready));
      if (l.reachable && !was && l.steered) l.pacer = limits_.late_start(s_.now);
    }
  }

  void forget_gone() {
    std::erase_if(s_.hosts, [this](const auto& entry) {
      const Host& host = entry.second;
      if (!host.gone() || host.calls > 0) return false;
      s_.destinations[host.member.destination].hosts.erase(entry.first);
      return true;
    });
  }

  void keep_watching() {
    if (!s_.set.ask_for_list || watching_) return;
    if (s_.now < watch_at_) return s_.wake(watch_at_);
    s_.tell(WatchList{});
    watching_ = true;
  }

  void tell_avoided() {
    size_t count = 0;
    for (const auto& [endpoint, host] : s_.hosts) {
      if (host.gone()) continue;
      count += !host.ready() || host.lane->out() || host.avoid_until > s_.now;
      s_.wake(host.avoid_until);
    }
    if (count != std::exchange(avoided_, count)) s_.tell(Avoided{count});
  }

 private:
  void list(const Member& m) {
    const bool apart = m.kind < static_cast<int>(s_.set.kinds.size()) && s_.set.kinds[m.kind].apart;
    Host& host = s_.hosts[m.endpoint];
    host.member = m;
    host.lane = &s_.lane({m.destination, apart ? m.endpoint : Endpoint{}});
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
  size_t avoided_ = 0;  // as it was told last
};

}  // namespace firspool::detail
