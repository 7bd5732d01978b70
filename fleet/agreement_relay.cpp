// The relay's side of the agreement: renews its lease, applies the version in force, accepts or rejects a
// change, and opens and closes the admission of messages.
#include <algorithm>

#include "agreement.h"
#include "agreement_internal.h"

namespace umberhoist::fleet {
namespace {

constexpr size_t kMaxSentRenewals = 32;

}  // namespace

using nlohmann::json;

void Agreement::close_admission(const std::string& why) {
  if (lease_expires_at_ > 0) {
    outputs_.push_back(Admission{0});
    log("policy_fenced", "accepts no new messages: " + why);
  }
  lease_expires_at_ = 0;
  closed_reason_ = why;
}

LeaseRenewal Agreement::make_renewal(Time now) {
  LeaseRenewal r;
  r.origin = settings_.name;
  r.incarnation = incarnation_;
  r.folder_id = folder_id_;
  r.number = ++renewal_number_;
  r.program_version = truncated(settings_.program_version, kMaxNameSize);
  r.raft_term = raft_ ? raft_->term() : 0;
  r.echo_term = leader_term_;
  r.echo_timestamp = leader_timestamp_;
  r.version = policy_.version;
  r.digest = digest_of(policy_.text);
  r.unsupported_reason = unsupported_reason_;
  r.answered_change_id = answered_change_id_;
  r.rejection_reason = rejection_reason_;
  r.leaving = leaving_;
  r.ended_count = ended_count_;
  if (request_ && !request_->timed_out) {
    r.request = request_->body;
    request_->sent_term = leader_term_;
    request_->sent_timestamp = leader_timestamp_;
  }
  if (settings_.piggyback != nullptr) r.piggyback = settings_.piggyback->renewal_payload(now);
  sent_renewals_[renewal_number_] = now;
  if (sent_renewals_.size() > kMaxSentRenewals) sent_renewals_.erase(sent_renewals_.begin());
  return r;
}

// Sends a renewal to the sender of the last grant, or to all that may know the leader if there was no recent
// one.
void Agreement::renew_lease(Time now) {
  if (request_ && !request_->timed_out && now - request_->since > 2 * settings_.lease_duration)
    request_->timed_out = true;
  if (is_leader()) {
    LeaseGrant g = leadership_->handle_renewal(now, make_renewal(now));
    g.bootstrap_id = bootstrap_->id;
    next_hop_ = settings_.name;
    return on_grant(now, g);
  }
  const bool lost = last_received_ < 0 || now - last_received_ > 2 * settings_.renewal_period ||
                    next_hop_ == settings_.name;
  const json body = make_renewal(now).encode();
  if (!lost) return send(next_hop_, "renew", body);
  for (const std::string& name : contacts()) send(name, "renew", body);
}

void Agreement::on_grant(Time now, const LeaseGrant& g) {
  const auto sent = sent_renewals_.find(g.number);
  if (g.incarnation != incarnation_ || sent == sent_renewals_.end() || g.leader_term < leader_term_) return;
  const Time sent_at = sent->second;
  if (bootstrap_ && g.bootstrap_id != 0 && bootstrap_->id != g.bootstrap_id) {
    return close_admission("the fleet was bootstrapped again without this folder");
  }
  if (!bootstrap_) {
    bootstrap_ = Bootstrap{g.bootstrap_id, {}};
    append_record(bootstrap_->to_record());
  }
  const bool leader_changed = leader_ != g.leader || leader_term_ != g.leader_term;
  if (leader_changed) log("policy_leader", "the voters' leader is " + g.leader);
  leader_ = g.leader;
  leader_term_ = g.leader_term;
  leader_timestamp_ = g.timestamp;
  last_received_ = now;
  newest_version_ = g.version;
  if (!g.voters.empty() && g.voters != known_voters_) {
    known_voters_ = g.voters;
    append_record(json::array({"voters", known_voters_}));
  }
  const bool was_out_of_bounds = clock_rate_.out_of_bounds();
  const bool clock_ok = clock_rate_.add_round_trip(sent_at, now, g.leader_term, g.timestamp);
  if (!clock_ok && !was_out_of_bounds)
    log("policy_clock", "this clock and the leader's differ by more than 1 in 500");
  receive_outcomes(g);
  answer_change(now, g);
  // A grant without a lease: a voter answers a new leader at once, as its echo confirms that leader; other
  // relays wait a little for that.
  if (g.lease_duration == 0)
    next_renewal_ =
        std::min(next_renewal_, leader_changed && raft_ ? now : now + settings_.renewal_period / 4);
  if (!apply_policy(now, g) || leaving_) return;
  if (accepted_but_unsupported_)
    return close_admission("this folder accepted " + answered_change_id_ +
                           ", which this program does not support: " + rejection_reason_);
  if (!clock_ok) return close_admission("its clock and the leader's differ by more than 1 in 500");
  const Time until = sent_at + g.lease_duration;
  if (g.lease_duration > 0 && !g.piggyback.empty() && settings_.piggyback != nullptr &&
      settings_.piggyback->on_grant(now, g.leader_term, g.piggyback, until)) {
    // So that the leader soon learns that the piggybacked data arrived.
    next_renewal_ = std::min(next_renewal_, now + settings_.renewal_period / 8);
  }
  if (g.lease_duration == 0 || until <= lease_expires_at_ || until <= now) return;
  if (lease_expires_at_ == 0) {
    log("policy_open", "accepts messages under version " + std::to_string(policy_.version));
  }
  closed_reason_.clear();
  lease_expires_at_ = until;
  outputs_.push_back(Admission{until});
  if (settings_.injected_fault == InjectedFault::kLeaseSurvivesRestart)
    append_record(json::array({"lease", static_cast<uint64_t>(until)}));
}

// Applies the version in force, or closes the admission. Returns whether that version applies here.
bool Agreement::apply_policy(Time now, const LeaseGrant& g) {
  if (g.version == 0) return false;
  if (g.version < policy_.version) {
    close_admission("the leader has an older version than this folder");
    return false;
  }
  const bool same = g.digest == digest_of(policy_.text);
  if (g.version == policy_.version && same && unsupported_reason_.empty()) return true;
  if (!same && !g.text) {  // the leader sends the text in answer to the version and digest of a renewal
    if (policy_.version == 0 || g.version > policy_.version) next_renewal_ = std::min(next_renewal_, now);
    return false;
  }
  const std::string text = same ? policy_.text : *g.text;
  unsupported_reason_ = truncated(settings_.check_policy(text), kMaxReasonBytes);
  if (!unsupported_reason_.empty()) {
    const std::string why =
        "version " + std::to_string(g.version) + " is not supported here: " + unsupported_reason_;
    if (closed_reason_ != why) log("policy_cannot", "accepts no messages: " + why);
    close_admission(why);
    return false;
  }
  policy_ = {g.version, g.id, text};
  append_record({"policy", policy_.version, policy_.id, policy_.text});
  outputs_.push_back(ApplyPolicy{policy_.version, policy_.id, policy_.text});
  // So that the leader soon learns that the version applies here.
  next_renewal_ = std::min(next_renewal_, now + settings_.renewal_period / 4);
  return true;
}

// Accepts or rejects the change under way. An acceptance is recorded before it is sent.
void Agreement::answer_change(Time now, const LeaseGrant& g) {
  waiting_for_ = g.waiting_for;
  if (!g.change) {
    change_.reset();
    answered_change_id_.clear();
    rejection_reason_.clear();
    accepted_but_unsupported_ = false;
    return;
  }
  const Change& c = *g.change;
  change_ = Change{c.id, c.proposed_by, c.base_version, "", c.wall_ms};
  if (answered_change_id_ == c.id || !g.has_change_text) return;
  answered_change_id_ = c.id;
  rejection_reason_ = truncated(settings_.check_policy(c.text), kMaxReasonBytes);
  accepted_but_unsupported_ = !rejection_reason_.empty() && accepted_change_id_ == c.id;
  if (rejection_reason_.empty() && accepted_change_id_ != c.id) {
    accepted_change_id_ = c.id;
    if (settings_.injected_fault != InjectedFault::kAcceptanceNotPersisted)
      append_record(json::array({"yes", accepted_change_id_}));
  }
  next_renewal_ = now;
}

}  // namespace umberhoist::fleet
