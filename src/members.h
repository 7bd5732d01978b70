// Members: the list of endpoints as the caller reports it, and when the caller is asked to watch it.
#pragma once

#include "limits.h"

namespace firspool::detail {

class Members {
 public:
  Members(State& state, Limits& limits) : s_(state), limits_(limits) {}

  void on_changed(const MembersChanged& e) {
    if (e.form == MembersChanged::Form::kFailed) {
      watching_ = false;
      watch_at_ = s_.now + watch_pause_;
      watch_pause_ = std::min(watch_pause_ * 2, std::max(kSecond, s_.settings.list_request_interval / 2));
      return;
    }
    if (watching_) watch_pause_ = kSecond / 4;
    if (e.form == MembersChanged::Form::kFull)
      for (auto& [id, host] : s_.hosts) host.member.listing = Listing::kGone;
    s_.avoided_count_valid = false;
    std::set<CircuitKey> changed;
    if (e.form == MembersChanged::Form::kFull)
      for (const auto& [key, c] : s_.circuits) changed.insert(key);
    if (e.members)
      for (const Member& m : *e.members) update_member(m, changed);
    if (e.form == MembersChanged::Form::kFull)
      for (const auto& [id, host] : s_.hosts)
        if (host.gone()) gone_.insert(id);
    update_reachability(changed);
  }

  // Erases hosts that are gone, each once no call to it is in flight.
  void erase_gone() {
    std::erase_if(gone_, [this](const Endpoint& id) {
      const auto found = s_.hosts.find(id);
      if (found == s_.hosts.end() || !found->second.gone()) return true;
      if (found->second.calls > 0) return false;
      s_.destinations[found->second.member.destination].hosts.erase(id);
      s_.hosts.erase(found);
      return true;
    });
  }

  // Asks for the list if no watch is running, after a failure with a growing pause.
  void ensure_watch() {
    if (!s_.settings.list_on_request || watching_) return;
    if (s_.now < watch_at_) return s_.wake(watch_at_);
    s_.emit(WatchList{});
    watching_ = true;
  }

  void report_avoided() {
    if (!s_.avoided_count_valid || s_.now >= avoided_until_) count_avoided();
    if (avoided_until_ != kNever) s_.wake(avoided_until_);
  }

 private:
  void count_avoided() {
    size_t count = 0;
    avoided_until_ = kNever;
    for (const auto& [endpoint, host] : s_.hosts) {
      if (host.gone()) continue;
      count += !host.ready() || host.circuit->in_outage() || host.avoid_until > s_.now;
      if (host.avoid_until > s_.now) avoided_until_ = std::min(avoided_until_, host.avoid_until);
    }
    s_.avoided_count_valid = true;
    if (count != std::exchange(avoided_, count)) s_.emit(EndpointsAvoided{count});
  }

  // All relays learn at the same moment that a destination is reachable again, and all hold messages for it:
  // each starts with a random bucket.
  void update_reachability(const std::set<CircuitKey>& changed) {
    for (const CircuitKey& key : changed) {
      Circuit& c = s_.circuits.at(key);
      const auto ready = [&c](const auto& entry) {
        return entry.second->circuit == &c && entry.second->ready();
      };
      const auto d = s_.destinations.find(key.first);
      const bool now = d != s_.destinations.end() && std::ranges::any_of(d->second.hosts, ready);
      const bool before = std::exchange(c.reachable, now);
      if (c.reachable && !before && c.follows_reports) c.bucket = limits_.random_bucket(s_.now);
    }
  }

  // Adds to `changed` the circuit that the endpoint belonged to and the one that it belongs to now.
  void update_member(const Member& m, std::set<CircuitKey>& changed) {
    const bool independent = m.kind < static_cast<int>(s_.settings.kinds.size()) &&
                             s_.settings.kinds[m.kind].independent_endpoints;
    Host& host = s_.hosts[m.endpoint];
    if (host.circuit != nullptr) changed.insert(host.circuit->key);
    if (m.listing == Listing::kGone) gone_.insert(m.endpoint);
    host.member = m;
    host.circuit = &s_.circuit({m.destination, independent ? m.endpoint : Endpoint{}});
    changed.insert(host.circuit->key);
    Destination& d = s_.destinations[m.destination];
    d.hosts[m.endpoint] = &host;
    d.kind = m.kind;
    d.listed_zone_kinds.insert({m.zone, m.kind});
    d.saved.destination = m.destination;
    if (s_.settings.weights != Weights::kNone && m.weight > 0 && host.ready())
      limits_.apply_weight(m.weight, *host.circuit);
  }

  State& s_;
  Limits& limits_;
  bool watching_ = false;
  Time watch_at_ = std::numeric_limits<Time>::min();
  Time watch_pause_ = kSecond / 4;
  size_t avoided_ = 0;           // last reported count
  Time avoided_until_ = kNever;  // first moment at which the count changes by time alone
  std::set<Endpoint> gone_;      // hosts to erase; some may have been listed again since
};

}  // namespace firspool::detail
