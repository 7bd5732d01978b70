// Messages: what each is worth and until when, what its rules still allow, and whose turn it is.
#pragma once

#include "firspool/attempt_end.h"
#include "state.h"

namespace firspool::detail {

constexpr Time kPauseLeast = 20 * kMs;  // a repeat's random pause: long enough to leave the moment of failure
constexpr double kUsualDevs = 2;  // hardly an answer comes by so many mean deviations sooner than is usual
constexpr int kUsualSeen = 5;     // so many served calls tell how long one usually takes
constexpr Time kWindowMargin = 50 * kMs;  // a repeat's bytes are under way, and clocks differ a little

// A message's worth for each second of a slot, negated: the most comes first; its target, and its number.
using Candidate = std::tuple<double, Time, uint64_t>;

class Messages {
 public:
  explicit Messages(State& state) : s_(state) {}

  void take(const Arrival& e) {
    const bool known = e.message_class >= 0 && e.message_class < static_cast<int>(s_.rules.size());
    if (!e.rules && !known) throw std::invalid_argument("unknown class of message " + std::to_string(e.id));
    const auto [it, fresh] = s_.messages.try_emplace(e.id, Message{e});
    if (!fresh) throw std::invalid_argument("message " + std::to_string(e.id) + " came twice");
    Message& m = it->second;
    if (!m.rules) m.rules = s_.rules[e.message_class];
    m.target = e.due - m.rules->give_up + m.rules->target;
    m.value = m.rules->worth * tenant_share(e.tenant);
    m.is_retry = e.attempts > 0;
    if (m.is_retry && e.pause) pause(m);
    m.executed_before_restart = e.ran;
    if (e.resumed) {  // relays that restart at once are out of step; an attempt of it failed
      Circuit& l = s_.circuit({e.destination, Endpoint{}});
      l.bucket = {seconds(s_.random.between(0, kSecond)), s_.now};
      l.fail_streak = std::max(l.fail_streak, std::min(e.attempts, 1));
    }
    if (m.rules->in_order && e.key != 0) turns_[e.key].push_back(e.id);
    if (m.rules->in_order && e.ran) key_rests_[e.key] = {s_.now + s_.settings.order_pause, e.id};
  }

  // Nothing is owed for it any more, but while its call is out it keeps its turn.
  void withdraw(const Withdrawn& e) {
    const auto it = s_.messages.find(e.id);
    if (it == s_.messages.end()) return leave_turn(e.key, e.id);
    it->second.released = true;
    if (!it->second.in_flight) end(it->second);
  }

  void ended(const AttemptEnded& e, const Attempt& attempt, int zone) {
    const auto found = s_.messages.find(e.id);
    if (found == s_.messages.end()) return;
    Message& m = found->second;
    m.in_flight = false;
    const bool hanging =
        e.outcome == Outcome::kTimeout || e.outcome == Outcome::kReset || e.outcome == Outcome::kCancelled;
    if (m.rules->in_order && hanging) key_rests_[m.key] = {s_.now + s_.settings.order_pause, e.id};
    if (e.final || m.released) return end(m);
    if (e.outcome == Outcome::kMoot) return;
    if (e.outcome == Outcome::kUnsent) return unsent(m);
    m.is_retry = true;
    pause(m);
    if (ran_after(e.outcome) == Ran::kNever || m.ran) return;
    m.ran = true;
    m.ran_sent = attempt.sent_at;
    m.ran_zone = zone;
  }

  void end(const Message& m, bool given_up = false) {
    if (m.key != 0 && !(given_up && m.keeps_turn)) leave_turn(m.key, m.id);
    s_.messages.erase(s_.messages.find(m.id));
  }

  bool refusable(const Message& m) const {
    const ClassSettings& c = *m.rules;
    if (c.effect == Effect::kSafe || !m.ran) return true;
    return !m.executed_before_restart && c.effect == Effect::kKeyed && c.key_scope == KeyScope::kAll;
  }

  bool untried(const Message& m) const { return m.resumed && m.attempts == 0; }  // a restart owes it one
  bool may_repeat(const Message& m) const {
    return m.attempts < m.rules->max_attempts && !(m.ran && m.rules->effect == Effect::kUnsafe);
  }

  Way way(const Message& m, const Member& member) const {
    return m.ways ? m.ways->of(member.zone, member.kind) : Way{};
  }

  // How long to stay away, where no endpoint is listed that its ways allow; kNever where none ever was.
  Time shut(const Message& m, const Destination& d) const {
    const auto open = [&](const auto& at) { return way(m, at.second->member).allowed; };
    if (!m.ways || d.hosts.empty() || std::ranges::any_of(d.hosts, open)) return 0;
    const auto was = [&](const auto& at) { return m.ways->of(at.first, at.second).allowed; };
    return std::ranges::any_of(d.listed_zone_kinds, was) ? kSecond : kNever;
  }

  // The way of the lowest rank that can be taken at all, of several the fastest; not allowed: none can.
  Way best_way(const Message& m, const Destination& d) const {
    if (!m.ways) return {};
    Way best{false, 0, -1};
    const auto speed = [this](const Way& w) { return w.limit < 0 ? 1e9 : s_.limit_share(w.limit).per_s; };
    for (const auto& [endpoint, host] : d.hosts) {
      const bool up = host->ready() && !host->circuit->in_outage() && host->avoid_until <= s_.now;
      if (!up || !in_scope(m, host->member) || host->circuit->wait_until >= last_start(m, d)) continue;
      const Way w = way(m, host->member);
      if (!best.allowed || std::pair(w.rank, -speed(w)) < std::pair(best.rank, -speed(best))) best = w;
    }
    return best;
  }

  // Ways of a higher rank wait for the best one; one of a lower rank is asked for its outage's end.
  bool may_go(const Message& m, const Host& host, const Way& best) const {
    const int rank = way(m, host.member).rank;
    const bool lower = rank < best.rank && host.avoid_until <= s_.now;
    return in_scope(m, host.member) && (!best.allowed || rank == best.rank || lower);
  }

  // When the parts that an attempt pays out of let it go.
  Time granted(const Message& m, const Host& host) const {
    const int limit = way(m, host.member).limit;
    const Time at = host.circuit->share->has_grant() ? host.circuit->share->ready(s_.now) : s_.now;
    return limit < 0 ? at : std::max(at, s_.limit_share(limit).ready(s_.now));
  }
  void pay(const Message& m, const Host& host) const {
    const int limit = way(m, host.member).limit;
    if (limit >= 0) s_.limit_share(limit).tokens -= 1;
    if (host.circuit->share->has_grant()) host.circuit->share->tokens -= 1;
  }

  // A keyed message that may have run stays with the endpoints that remember its key.
  bool in_scope(const Message& m, const Member& member) const {
    if (!way(m, member).allowed) return false;
    const bool zoned = m.rules->effect == Effect::kKeyed && m.rules->key_scope == KeyScope::kZone;
    return !m.ran || !zoned || member.zone == m.ran_zone;
  }

  // From then on too little is left for the usual answer, or the destination may have forgotten the key.
  Time last_start(const Message& m, const Destination& d) const {
    Time at = m.due - 2 * s_.settings.tick;
    const double soonest = std::max(0.0, d.usual_latency.mean - kUsualDevs * d.usual_latency.deviation);
    if (d.usual_latency.samples >= kUsualSeen) at = std::min(at, m.due - micros(soonest));
    if (!m.ran || m.rules->effect != Effect::kKeyed) return at;
    const Time margin = s_.settings.tick + kWindowMargin + s_.settings.write_delay;
    return std::min(at, m.ran_sent + m.rules->key_window - margin);
  }

  double worth_at(const Message& m, Time at) const {
    const ClassSettings& c = *m.rules;
    if (at <= m.target) return m.value;
    if (at >= m.due) return 0;
    const double late = seconds(at - m.target);
    if (s_.settings.late_by_halves)
      return m.value * std::max(c.late_worth, std::exp2(-late / seconds(c.target)));
    return m.value * (1 - (1 - c.late_worth) * late / std::max(1e-6, seconds(m.due - m.target)));
  }

  // Those that may go now, in the order in which they should.
  std::vector<Candidate> waiting() {
    std::erase_if(key_rests_, [this](const auto& rest) { return rest.second.first <= s_.now; });
    std::vector<Candidate> list;
    for (const auto& [id, m] : s_.messages) {
      if (m.in_flight) continue;
      s_.wake(m.not_before);
      if (m.not_before > s_.now) continue;
      const auto d = s_.destinations.find(m.destination);
      if (d == s_.destinations.end() || d->second.hosts.empty() || !has_turn(m)) continue;
      const double latency = s_.latency_of(d->second).mean;
      list.push_back({-worth_at(m, s_.now + micros(latency)) / std::max(0.01, latency), m.target, id});
    }
    std::sort(list.begin(), list.end());
    return list;
  }

 private:
  void leave_turn(uint64_t key, uint64_t id) {
    if (std::erase(turns_[key], id); turns_[key].empty()) turns_.erase(key);
  }

  // The attempt did not begin, and a token that it paid is the next one's. What hindered it may last a
  // moment.
  void unsent(Message& m) {
    --m.attempts;
    pause(m);
  }

  void pause(Message& m) { m.not_before = s_.now + s_.random.between(kPauseLeast, kMaxPause); }

  // What a tenant sends beyond its quota is worth little. A part that was not granted is taken as even.
  double tenant_share(int tenant) {
    if (tenant < 0 || tenant >= static_cast<int>(s_.settings.tenants.size())) return 1;
    const BudgetShare& part = s_.shares[{Granted::Of::kTenant, tenant}];
    const double quota =
        part.has_grant() ? part.per_s : s_.settings.tenants[tenant].quota_per_s / s_.settings.relays;
    if (quota <= 0) return part.has_grant() ? s_.settings.over_share_worth : 1;
    TokenBucket& pacer = s_.tenant_buckets.try_emplace(tenant, TokenBucket{2 * quota, s_.now}).first->second;
    pacer.refill(s_.now, quota, std::max(1.0, 2 * quota));
    if (pacer.tokens < 1) return s_.settings.over_share_worth;
    pacer.tokens -= 1;
    return 1;
  }

  bool has_turn(const Message& m) {
    if (!m.rules->in_order || m.key == 0) return true;
    if (turns_[m.key].front() != m.id) return false;
    const auto rest = key_rests_.find(m.key);
    if (rest == key_rests_.end() || rest->second.second == m.id) return true;
    s_.wake(rest->second.first);
    return false;
  }

  State& s_;
  std::map<uint64_t, std::vector<uint64_t>> turns_;          // of the messages of each key in order
  std::map<uint64_t, std::pair<Time, uint64_t>> key_rests_;  // until then none but that message goes
};

}  // namespace firspool::detail
