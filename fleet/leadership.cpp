// A leader's reign and the leases that it grants.
#include "leadership.h"

#include <xxhash.h>

#include <algorithm>

#include "agreement_parts.h"

namespace umberhoist::fleet {

bool Leadership::active() const {
  return raft_.leads() && reign_ == raft_.term() && log_.reign_term() == reign_;
}

void Leadership::lead(Time now) {
  if (!raft_.leads()) {
    reign_ = 0;
    return;
  }
  if (reign_ != raft_.term()) {
    // Whatever leaders before have granted is over a term after this, as they were confirmed before it.
    reign_ = raft_.term();
    lessees_.clear();
    clear_ = now + surely_over(settings_.term);
    for (const std::string& name : settings_.names) lessees_[name].lease_until = clear_;
    busy_.clear();
    deciding_.clear();
    first_proposed_ = false;
    raft_.propose(PolicyLog::reign(reign_, settings_.name));
  }
  if (!active()) return;
  if (log_.version() == 0 && !first_proposed_) {
    first_proposed_ = true;
    std::vector<std::string> voters;
    for (const auto& server : raft_.servers()) voters.push_back(server.name);
    raft_.propose(PolicyLog::first(settings_.own, voters));
  }
  if (!busy_.empty() && log_.knows(busy_)) busy_.clear();
  judge(now);
  arrange_voters(now);
}

void Leadership::configure(Time now, const std::vector<std::string>& names) {
  if (reign_ == 0) return;
  for (const std::string& name : names) {
    // One that was not known here may have a lease of a leader that knew it.
    if (!lessees_.contains(name)) lessees_[name].lease_until = now + surely_over(settings_.term);
  }
}

// The latest moment by which a majority of voters still knew this reign, as they say.
std::optional<Time> Leadership::confirmed(Time now) const {
  std::vector<Time> known;
  size_t voters = 0;
  for (const auto& server : raft_.servers()) {
    if (server.role != RAFT_VOTER) continue;
    ++voters;
    if (server.id == raft_.id()) {
      known.push_back(now);
    } else if (const auto p = lessees_.find(server.name);
               p != lessees_.end() && p->second.echo > 0 &&
               server.id == server_id(server.name, p->second.nonce)) {
      known.push_back(static_cast<Time>(p->second.echo));
    }
  }
  std::ranges::sort(known, std::greater<>());
  if (known.size() < voters / 2 + 1) return {};
  return known[voters / 2];
}

Leadership::Lessee& Leadership::hear(Time now, const Renew& r) {
  Lessee& p = lessees_[r.origin];
  if (p.nonce != r.nonce) p.yes.clear();  // another folder: what the one before said is gone with it
  p.nonce = r.nonce;
  p.heard = now;
  p.version = r.version;
  p.cannot = r.cannot;
  if (r.raft_term == reign_ && r.echo_term == reign_) p.echo = std::max(p.echo, r.echo_stamp);
  if (r.echo_term == reign_) p.reached = std::max(p.reached, r.echo_stamp);
  if (r.leaving) p.lease_until = std::min(p.lease_until, now);
  const auto& change = log_.change();
  if (change && r.answer == change->id) {
    if (r.no.empty()) {
      p.yes = r.answer;
    } else {
      p.no = r.answer;
      p.why = r.no;
    }
  }
  return p;
}

Time Leadership::lease_for(Time now, const Lessee& p, const Renew& r) const {
  const auto since = confirmed(now);
  const Time lease = since ? settings_.term - (now - *since) : 0;
  const bool silent = log_.change() && p.yes != p.told && p.no != p.told && now - p.told_at > settings_.term;
  const bool shut_out = !deciding_.empty() && p.yes != deciding_;
  const bool may = log_.version() > 0 && !r.leaving && r.cannot.empty() && !silent && !shut_out;
  return may ? std::max<Time>(0, lease) : 0;
}

Grant Leadership::answer(Time now, const Renew& r) {
  Lessee& p = hear(now, r);
  take_ask(now, r);
  judge(now);

  Grant g;
  g.leader = settings_.name;
  g.via = r.via;
  g.to = r.origin;
  g.life = r.life;
  g.number = r.number;
  g.term = reign_;
  g.stamp = static_cast<uint64_t>(now);
  g.version = log_.version();
  g.id = log_.id();
  g.digest = digest_of(log_.text());
  if (g.version > 0 && g.digest != r.digest) g.text = log_.text();
  g.busy = busy_;
  g.voters = log_.voters();
  g.ended = log_.ended();
  const size_t missed = g.ended > r.ended ? static_cast<size_t>(g.ended - r.ended) : 0;
  const auto& ends = log_.outcomes();
  g.outcomes.assign(ends.end() - static_cast<std::ptrdiff_t>(std::min(missed, ends.size())), ends.end());
  if (log_.change()) {
    g.change = *log_.change();
    g.change_text = r.answer != g.change->id;
    if (!g.change_text) g.change->text.clear();
    if (p.told != g.change->id) {
      p.told = g.change->id;
      p.told_at = now;
    }
  }
  g.waiting = waiting(now);
  g.lease = lease_for(now, p, r);
  if (g.lease <= 0) return g;
  const Time over = now + surely_over(g.lease);
  p.lease_until = std::max(p.lease_until, over);
  if (settings_.rider != nullptr && !r.ride.empty()) {
    g.ride = settings_.rider->grant_payload(
        now, {r.origin, reign_, clear_, over, static_cast<Time>(p.reached)}, r.ride);
  }
  return g;
}

uint64_t Leadership::fingerprint(Time now) const {
  uint64_t out = 7;
  const auto text = [&](const std::string& t) { out = XXH64(t.data(), t.size(), out + t.size()); };
  const auto mix = [&](uint64_t v) { out = XXH64(&v, sizeof v, out); };
  text(deciding_);
  text(busy_);
  mix(reign_);
  for (const auto& [name, p] : lessees_) {
    text(name);
    text(p.yes);
    text(p.no);
    mix(p.lease_until <= now ? 0 : static_cast<uint64_t>((p.lease_until - now) / kMs));
    mix(p.echo == 0 ? 0 : static_cast<uint64_t>((now - static_cast<Time>(p.echo)) / kMs));
    mix(p.heard < 0 ? 1 : static_cast<uint64_t>((now - p.heard) / kMs) + 2);
  }
  return out;
}

}  // namespace umberhoist::fleet
