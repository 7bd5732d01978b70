// The start of a leader term, and the leases that the leader grants.
#include "leadership.h"

#include <xxhash.h>

#include <algorithm>

#include "agreement_internal.h"

namespace umberhoist::fleet {

bool Leadership::is_active() const {
  return raft_.is_leader() && leader_term_ == raft_.term() && policy_log_.leader_term() == leader_term_;
}

void Leadership::advance(Time now) {
  if (!raft_.is_leader()) {
    leader_term_ = 0;
    return;
  }
  if (leader_term_ != raft_.term()) {
    // Earlier leaders were last confirmed by a majority before this election, so their leases expire at most
    // one lease duration after it.
    leader_term_ = raft_.term();
    lease_holders_.clear();
    prior_leases_end_ = now + with_drift_margin(settings_.lease_duration);
    for (const std::string& name : settings_.relays)
      lease_holders_[name].lease_expires_at = prior_leases_end_;
    pending_change_id_.clear();
    deciding_change_id_.clear();
    initial_policy_proposed_ = false;
    raft_.propose(PolicyLog::start_leader_term(leader_term_, settings_.name));
  }
  if (!is_active()) return;
  if (policy_log_.version() == 0 && !initial_policy_proposed_) {
    initial_policy_proposed_ = true;
    std::vector<std::string> voters;
    for (const auto& server : raft_.servers()) voters.push_back(server.name);
    raft_.propose(PolicyLog::initial_policy(settings_.local_policy, voters));
  }
  if (!pending_change_id_.empty() && policy_log_.knows(pending_change_id_)) pending_change_id_.clear();
  evaluate_change(now);
  reconcile_voters(now);
}

void Leadership::configure(Time now, const std::vector<std::string>& relays) {
  if (leader_term_ == 0) return;
  for (const std::string& name : relays) {
    // A relay that is new here may hold a lease of an earlier leader that was configured with it.
    if (!lease_holders_.contains(name))
      lease_holders_[name].lease_expires_at = now + with_drift_margin(settings_.lease_duration);
  }
}

// The latest time at which a majority of the voters still followed this leader, by their echoed timestamps.
std::optional<Time> Leadership::majority_confirmed_at(Time now) const {
  std::vector<Time> confirmed;
  size_t voters = 0;
  for (const auto& server : raft_.servers()) {
    if (server.role != RAFT_VOTER) continue;
    ++voters;
    if (server.id == raft_.id()) {
      confirmed.push_back(now);
    } else if (const auto p = lease_holders_.find(server.name);
               p != lease_holders_.end() && p->second.voter_confirmed_at > 0 &&
               server.id == server_id(server.name, p->second.folder_id)) {
      confirmed.push_back(static_cast<Time>(p->second.voter_confirmed_at));
    }
  }
  std::ranges::sort(confirmed, std::greater<>());
  if (confirmed.size() < voters / 2 + 1) return {};
  return confirmed[voters / 2];
}

Leadership::LeaseHolder& Leadership::record_renewal(Time now, const LeaseRenewal& r) {
  LeaseHolder& p = lease_holders_[r.origin];
  if (p.folder_id != r.folder_id)
    p.accepted_change_id.clear();  // an acceptance is valid only for the folder that recorded it
  p.folder_id = r.folder_id;
  p.last_received = now;
  p.version = r.version;
  p.unsupported_reason = r.unsupported_reason;
  if (r.raft_term == leader_term_ && r.echo_term == leader_term_)
    p.voter_confirmed_at = std::max(p.voter_confirmed_at, r.echo_timestamp);
  if (r.echo_term == leader_term_) p.last_acknowledged = std::max(p.last_acknowledged, r.echo_timestamp);
  if (r.leaving) p.lease_expires_at = std::min(p.lease_expires_at, now);
  const auto& change = policy_log_.change();
  if (change && r.answered_change_id == change->id) {
    if (r.rejection_reason.empty()) {
      p.accepted_change_id = r.answered_change_id;
    } else {
      p.rejected_change_id = r.answered_change_id;
      p.rejection_reason = r.rejection_reason;
    }
  }
  return p;
}

Time Leadership::lease_duration_for(Time now, const LeaseHolder& relay, const LeaseRenewal& renewal) const {
  const auto since = majority_confirmed_at(now);
  const Time lease = since ? settings_.lease_duration - (now - *since) : 0;
  // A relay that does not answer a change gets no further lease, so that it cannot delay the change for long.
  const bool unanswered = policy_log_.change() && relay.accepted_change_id != relay.sent_change_id &&
                          relay.rejected_change_id != relay.sent_change_id &&
                          now - relay.change_sent_at > settings_.lease_duration;
  const bool excluded = !deciding_change_id_.empty() && relay.accepted_change_id != deciding_change_id_;
  const bool eligible = policy_log_.version() > 0 && !renewal.leaving && renewal.unsupported_reason.empty() &&
                        !unanswered && !excluded;
  return eligible ? std::max<Time>(0, lease) : 0;
}

LeaseGrant Leadership::handle_renewal(Time now, const LeaseRenewal& r) {
  LeaseHolder& p = record_renewal(now, r);
  handle_request(now, r);
  evaluate_change(now);

  LeaseGrant g;
  g.leader = settings_.name;
  g.via = r.via;
  g.to = r.origin;
  g.incarnation = r.incarnation;
  g.number = r.number;
  g.leader_term = leader_term_;
  g.timestamp = static_cast<uint64_t>(now);
  g.version = policy_log_.version();
  g.id = policy_log_.id();
  g.digest = digest_of(policy_log_.text());
  if (g.version > 0 && g.digest != r.digest) g.text = policy_log_.text();
  g.pending_change_id = pending_change_id_;
  g.voters = policy_log_.voters();
  g.ended_count = policy_log_.ended_count();
  const size_t missed =
      g.ended_count > r.ended_count ? static_cast<size_t>(g.ended_count - r.ended_count) : 0;
  const auto& ends = policy_log_.outcomes();
  g.outcomes.assign(ends.end() - static_cast<std::ptrdiff_t>(std::min(missed, ends.size())), ends.end());
  if (policy_log_.change()) {
    g.change = *policy_log_.change();
    g.has_change_text = r.answered_change_id != g.change->id;
    if (!g.has_change_text) g.change->text.clear();
    if (p.sent_change_id != g.change->id) {
      p.sent_change_id = g.change->id;
      p.change_sent_at = now;
    }
  }
  g.waiting_for = waiting_for(now);
  g.lease_duration = lease_duration_for(now, p, r);
  if (g.lease_duration <= 0) return g;
  const Time expires_at = now + with_drift_margin(g.lease_duration);
  p.lease_expires_at = std::max(p.lease_expires_at, expires_at);
  if (settings_.piggyback != nullptr && !r.piggyback.empty()) {
    g.piggyback = settings_.piggyback->grant_payload(
        now, {r.origin, leader_term_, prior_leases_end_, expires_at, static_cast<Time>(p.last_acknowledged)},
        r.piggyback);
  }
  return g;
}

uint64_t Leadership::fingerprint(Time now) const {
  uint64_t out = 7;
  const auto text = [&](const std::string& t) { out = XXH64(t.data(), t.size(), out + t.size()); };
  const auto mix = [&](uint64_t v) { out = XXH64(&v, sizeof v, out); };
  text(deciding_change_id_);
  text(pending_change_id_);
  mix(leader_term_);
  for (const auto& [name, p] : lease_holders_) {
    text(name);
    text(p.accepted_change_id);
    text(p.rejected_change_id);
    mix(p.lease_expires_at <= now ? 0 : static_cast<uint64_t>((p.lease_expires_at - now) / kMs));
    mix(p.voter_confirmed_at == 0
            ? 0
            : static_cast<uint64_t>((now - static_cast<Time>(p.voter_confirmed_at)) / kMs));
    mix(p.last_received < 0 ? 1 : static_cast<uint64_t>((now - p.last_received) / kMs) + 2);
  }
  return out;
}

}  // namespace umberhoist::fleet
