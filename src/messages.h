// Messages: their value over time, what their rules still allow, and the order of messages with the same key.
#pragma once

#include "firspool/attempt_end.h"
#include "state.h"

namespace firspool::detail {

constexpr Time kMinPause = 20 * kMs;      // of a repeat's random backoff: outlasts the moment of the failure
constexpr double kFastestAnswerDevs = 2;  // hardly any answer is faster than the mean by more mean deviations
constexpr int kMinLatencySamples = 5;     // served calls before the mean latency is used
constexpr Time kKeyWindowMargin = 50 * kMs;  // for a repeat's time on the network and small clock differences

// Sort key of a waiting message: its value per second of a slot, negated so that the highest comes first; its
// target time; its id.
using Candidate = std::tuple<double, Time, uint64_t>;

class Messages {
 public:
  explicit Messages(State& state) : s_(state) {}

  void add(const MessageReceived& e) {
    const bool known = e.message_class >= 0 && e.message_class < static_cast<int>(s_.rules.size());
    if (!e.rules && !known) throw std::invalid_argument("unknown class of message " + std::to_string(e.id));
    const auto [it, inserted] = s_.messages.try_emplace(e.id, Message{e});
    if (!inserted) throw std::invalid_argument("message " + std::to_string(e.id) + " was received twice");
    Message& m = it->second;
    if (!m.rules) m.rules = s_.rules[e.message_class];
    m.target = e.due - m.rules->time_to_live + m.rules->target;
    m.value = m.rules->value * tenant_value_factor(e.tenant);
    m.is_retry = e.attempts > 0;
    if (m.is_retry && e.needs_backoff) back_off(m);
    m.executed_before_restart = e.maybe_executed;
    if (e.resumed) {
      // The random fill of the bucket desynchronizes relays that restart at once. Earlier attempts at the
      // message count as one failure.
      Circuit& c = s_.circuit({e.destination, Endpoint{}});
      c.bucket = {seconds(s_.random.between(0, kSecond)), s_.now};
      c.fail_streak = std::max(c.fail_streak, std::min(e.attempts, 1));
    }
    if (m.rules->in_order && e.key != 0) key_order_[e.key].push_back(e.id);
    if (m.rules->in_order && e.maybe_executed) key_pauses_[e.key] = {s_.now + s_.settings.order_pause, e.id};
  }

  // Nothing is pending for the message any more, but it holds its position in the key's order while its call
  // is in flight.
  void release(const MessageReleased& e) {
    const auto it = s_.messages.find(e.id);
    if (it == s_.messages.end()) return leave_key_order(e.key, e.id);
    it->second.released = true;
    if (!it->second.in_flight) remove(it->second);
  }

  void on_attempt_ended(const AttemptEnded& e, const Attempt& attempt, int zone) {
    const auto found = s_.messages.find(e.id);
    if (found == s_.messages.end()) return;
    Message& m = found->second;
    m.in_flight = false;
    const bool may_still_run =
        e.outcome == Outcome::kTimeout || e.outcome == Outcome::kReset || e.outcome == Outcome::kCancelled;
    if (m.rules->in_order && may_still_run) key_pauses_[m.key] = {s_.now + s_.settings.order_pause, e.id};
    if (e.final || m.released) return remove(m);
    if (e.outcome == Outcome::kNotForwarded) return;
    if (e.outcome == Outcome::kNotSent) return on_not_sent(m);
    m.is_retry = true;
    back_off(m);
    if (execution_after(e.outcome) == Execution::kNever || m.maybe_executed) return;
    m.maybe_executed = true;
    m.maybe_executed_sent_at = attempt.sent_at;
    m.maybe_executed_zone = zone;
  }

  // `by_module`: the module refused or failed the message.
  void remove(const Message& m, bool by_module = false) {
    if (m.key != 0 && !(by_module && m.holds_order)) leave_key_order(m.key, m.id);
    s_.messages.erase(s_.messages.find(m.id));
  }

  // A refused message may be retried by its client: that must not execute it twice.
  bool may_refuse(const Message& m) const {
    const ClassSettings& c = *m.rules;
    if (c.effect == Effect::kSafe || !m.maybe_executed) return true;
    return !m.executed_before_restart && c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAll;
  }

  // A resumed message without an attempt is guaranteed one.
  bool owes_attempt(const Message& m) const { return m.resumed && m.attempts == 0; }
  bool may_repeat(const Message& m) const {
    return m.attempts < m.rules->max_attempts && !(m.maybe_executed && m.rules->effect == Effect::kUnsafe);
  }

  RouteRule route(const Message& m, const Member& member) const {
    return m.routes ? m.routes->rule_for(member.zone, member.kind) : RouteRule{};
  }

  // The retry-after of a message whose routes allow none of the listed endpoints: 0 if they allow one, kNever
  // if they allow no endpoint that was ever listed.
  Time no_route_delay(const Message& m, const Destination& d) const {
    const auto allowed = [&](const auto& entry) { return route(m, entry.second->member).allowed; };
    if (!m.routes || d.hosts.empty() || std::ranges::any_of(d.hosts, allowed)) return 0;
    const auto ever_allowed = [&](const auto& entry) {
      return m.routes->rule_for(entry.first, entry.second).allowed;
    };
    return std::ranges::any_of(d.listed_zone_kinds, ever_allowed) ? kSecond : kNever;
  }

  // The usable route of the lowest rank, of several the one with the highest rate limit; not allowed if no
  // route is usable.
  RouteRule best_route(const Message& m, const Destination& d) const {
    if (!m.routes) return {};
    RouteRule best{false, 0, -1};
    const auto rate = [this](const RouteRule& r) {
      return r.limit_id < 0 ? 1e9 : s_.limit_share(r.limit_id).per_s;
    };
    for (const auto& [endpoint, host] : d.hosts) {
      const bool usable = host->ready() && !host->circuit->in_outage() && host->avoid_until <= s_.now;
      if (!usable || !in_scope(m, host->member) || host->circuit->wait_until >= latest_start(m, d)) continue;
      const RouteRule candidate = route(m, host->member);
      if (!best.allowed || std::pair(candidate.rank, -rate(candidate)) < std::pair(best.rank, -rate(best)))
        best = candidate;
    }
    return best;
  }

  // Routes of a higher rank than the best one are not used. One of a lower rank is, as a trial call that
  // finds out whether its outage is over.
  bool may_use(const Message& m, const Host& host, const RouteRule& best) const {
    const int rank = route(m, host.member).rank;
    const bool lower = rank < best.rank && host.avoid_until <= s_.now;
    return in_scope(m, host.member) && (!best.allowed || rank == best.rank || lower);
  }

  // The earliest time at which the shares that an attempt on this host pays for have a token.
  Time shares_ready_at(const Message& m, const Host& host) const {
    const int limit_id = route(m, host.member).limit_id;
    const Time at = host.circuit->share->has_grant() ? host.circuit->share->ready(s_.now) : s_.now;
    return limit_id < 0 ? at : std::max(at, s_.limit_share(limit_id).ready(s_.now));
  }
  void charge_shares(const Message& m, const Host& host) const {
    const int limit_id = route(m, host.member).limit_id;
    if (limit_id >= 0) s_.limit_share(limit_id).tokens -= 1;
    if (host.circuit->share->has_grant()) host.circuit->share->tokens -= 1;
  }

  // A keyed message that may have been executed stays with the endpoints that remember its key.
  bool in_scope(const Message& m, const Member& member) const {
    if (!route(m, member).allowed) return false;
    const bool zoned = m.rules->effect == Effect::kKeyed && m.rules->key_scope == KeyScope::kZone;
    return !m.maybe_executed || !zoned || member.zone == m.maybe_executed_zone;
  }

  // The latest time to start an attempt: after it too little time is left for an answer, or the destination
  // may have forgotten the key.
  Time latest_start(const Message& m, const Destination& d) const {
    Time at = m.due - 2 * s_.settings.tick;
    const double soonest =
        std::max(0.0, d.usual_latency.mean - kFastestAnswerDevs * d.usual_latency.deviation);
    if (d.usual_latency.samples >= kMinLatencySamples) at = std::min(at, m.due - micros(soonest));
    if (!m.maybe_executed || m.rules->effect != Effect::kKeyed) return at;
    const Time margin = s_.settings.tick + kKeyWindowMargin + s_.settings.write_delay;
    return std::min(at, m.maybe_executed_sent_at + m.rules->key_window - margin);
  }

  double value_at(const Message& m, Time at) const {
    const ClassSettings& c = *m.rules;
    if (at <= m.target) return m.value;
    if (at >= m.due) return 0;
    const double late = seconds(at - m.target);
    if (s_.settings.exponential_late_value)
      return m.value * std::max(c.late_value, std::exp2(-late / seconds(c.target)));
    return m.value * (1 - (1 - c.late_value) * late / std::max(1e-6, seconds(m.due - m.target)));
  }

  // The messages that may be sent now, in the order in which to send them.
  std::vector<Candidate> waiting() {
    std::erase_if(key_pauses_, [this](const auto& entry) { return entry.second.first <= s_.now; });
    std::vector<Candidate> list;
    for (const auto& [id, m] : s_.messages) {
      if (m.in_flight) continue;
      s_.wake(m.not_before);
      if (m.not_before > s_.now) continue;
      const auto d = s_.destinations.find(m.destination);
      if (d == s_.destinations.end() || d->second.hosts.empty() || !is_next_of_key(m)) continue;
      const double latency = s_.latency_of(d->second).mean;
      list.push_back({-value_at(m, s_.now + micros(latency)) / std::max(0.01, latency), m.target, id});
    }
    std::sort(list.begin(), list.end());
    return list;
  }

 private:
  void leave_key_order(uint64_t key, uint64_t id) {
    if (std::erase(key_order_[key], id); key_order_[key].empty()) key_order_.erase(key);
  }

  // The attempt is not counted, and the retry token that it took serves the next one. It backs off, as the
  // cause may last a moment.
  void on_not_sent(Message& m) {
    --m.attempts;
    back_off(m);
  }

  void back_off(Message& m) { m.not_before = s_.now + s_.random.between(kMinPause, kMaxPause); }

  // The factor on a message's value: below 1 beyond its tenant's quota. Without a granted share the quota is
  // divided evenly among the relays.
  double tenant_value_factor(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(s_.settings.tenants.size())) return 1;
    const BudgetShare& share = s_.shares[{ShareGranted::Scope::kTenant, tenant}];
    const double quota =
        share.has_grant() ? share.per_s : s_.settings.tenants[tenant].quota_per_s / s_.settings.relays;
    if (quota <= 0) return share.has_grant() ? s_.settings.over_share_value : 1;
    TokenBucket& bucket = s_.tenant_buckets.try_emplace(tenant, TokenBucket{2 * quota, s_.now}).first->second;
    bucket.refill(s_.now, quota, std::max(1.0, 2 * quota));
    if (bucket.tokens < 1) return s_.settings.over_share_value;
    bucket.tokens -= 1;
    return 1;
  }

  bool is_next_of_key(const Message& m) {
    if (!m.rules->in_order || m.key == 0) return true;
    if (key_order_[m.key].front() != m.id) return false;
    const auto pause = key_pauses_.find(m.key);
    if (pause == key_pauses_.end() || pause->second.second == m.id) return true;
    s_.wake(pause->second.first);
    return false;
  }

  State& s_;
  // Of classes in order: the ids of each key's messages, in their order.
  std::map<uint64_t, std::vector<uint64_t>> key_order_;
  // Of each key: until when it pauses, and the only message that may be sent meanwhile.
  std::map<uint64_t, std::pair<Time, uint64_t>> key_pauses_;
};

}  // namespace firspool::detail
