// Operators' requests and their outcomes, and this relay's state as operators and the model checker see it.
#include <xxhash.h>

#include <algorithm>

#include "agreement.h"
#include "agreement_internal.h"

namespace umberhoist::fleet {

using nlohmann::json;

void Agreement::record_outcome(Outcome outcome) {
  outcomes_.push_back(std::move(outcome));
  if (outcomes_.size() > PolicyLog::kMaxOutcomes) outcomes_.pop_front();
}

const Outcome* Agreement::find_outcome(const std::string& id) const {
  const auto it = std::ranges::find(outcomes_, id, &Outcome::id);
  return it == outcomes_.end() ? nullptr : &*it;
}

void Agreement::receive_outcomes(const LeaseGrant& g) {
  const uint64_t missed = g.ended_count > ended_count_ ? g.ended_count - ended_count_ : 0;
  const size_t unseen = std::min<size_t>(missed, g.outcomes.size());
  for (size_t i = g.outcomes.size() - unseen; i < g.outcomes.size(); ++i) record_outcome(g.outcomes[i]);
  ended_count_ = std::max(ended_count_, g.ended_count);
  resolve_request(g);
}

// Drops the pending request once the leader has taken it up, or certainly never will.
void Agreement::resolve_request(const LeaseGrant& g) {
  if (!request_) return;
  const auto& id = request_->id;
  if (find_outcome(id) != nullptr || (g.change && g.change->id == id && request_->body[0] == "propose") ||
      (request_->body[0] == "replace" && g.voters.contains(request_->body[2].get<std::string>()))) {
    request_.reset();
    return;
  }
  // A leader takes up no request that was sent in an earlier leader term or too long ago (handle_request).
  const bool expired =
      g.leader_term > request_->sent_term ||
      g.timestamp > request_->sent_timestamp + static_cast<uint64_t>(3 * settings_.lease_duration);
  if (!request_->timed_out || !expired || g.pending_change_id == id) return;
  record_outcome({id, Outcome::Result::kRefused, 0, settings_.name,
                  "no majority of voters accepted it in time; it will not take effect", 0});
  request_.reset();
}

std::string Agreement::begin_request(Time now, const std::string& id, json body) {
  if (!failure_.empty()) return "this relay takes no part: " + failure_;
  if (last_received_ < 0 || now - last_received_ > settings_.lease_duration) {
    return "no lease grant from a leader" +
           (last_received_ < 0 ? std::string() : " for " + format_ms(now - last_received_));
  }
  if (request_) return request_->id + " is still pending here";
  request_ = PendingRequest{std::move(body), id, now, 0, 0, false};
  next_renewal_ = now;
  return "";
}

std::string Agreement::propose(Time now, const std::string& id, const std::string& text, uint64_t wall_ms) {
  if (id.empty() || id.size() > kMaxIdBytes) return "an id has 1 to 64 bytes";
  if (text.size() > kMaxPolicyBytes)
    return "the policy has more than " + std::to_string(kMaxPolicyBytes) + " bytes";
  if (policy_.version == 0) return "no version applies here yet";
  if (std::string why = settings_.check_policy(text); !why.empty()) return why;
  if (change_ && change_->id == id) return "";
  if (find_outcome(id) != nullptr) return "";
  if (request_ && request_->id == id) return "";
  return begin_request(now, id, {"propose", id, settings_.name, policy_.version, text, wall_ms});
}

std::string Agreement::abort(Time now, const std::string& id) {
  if (id.empty() || id.size() > kMaxIdBytes) return "an id has 1 to 64 bytes";
  if (const Outcome* end = find_outcome(id)) {
    return std::string("it has already ended: ") + kOutcomeNames[static_cast<int>(end->result)];
  }
  if (request_ && request_->id == id)
    request_.reset();  // a copy that was sent already is aborted by this request
  return begin_request(now, id, {"abort", id, settings_.name});
}

std::string Agreement::replace_voter(Time now, const std::string& old_voter, const std::string& new_voter) {
  if (!known_voters_.contains(old_voter)) return old_voter + " is not a voter";
  if (known_voters_.contains(new_voter)) return new_voter + " is already a voter";
  if (std::ranges::find(settings_.relays, new_voter) == settings_.relays.end())
    return new_voter + " is not configured";
  return begin_request(now, "replace " + old_voter, {"replace", old_voter, new_voter});
}

Agreement::View Agreement::view(Time now) const {
  View v;
  v.version = policy_.version;
  v.id = policy_.id;
  v.digest = digest_of(policy_.text);
  v.closed_reason = lease_expires_at_ > now  ? ""
                    : !failure_.empty()      ? failure_
                    : closed_reason_.empty() ? "its lease has expired"
                                             : closed_reason_;
  v.leader = leader_;
  v.last_received = last_received_;
  v.newest_version = newest_version_;
  v.leader_term = leader_term_;
  v.change = change_;
  v.waiting_for = waiting_for_;
  if (request_)
    v.pending_request =
        request_->id + (request_->timed_out ? " (undecided: no majority of voters has accepted it yet)" : "");
  v.outcomes = outcomes_;
  return v;
}

std::optional<std::string> Agreement::text_of_version(uint64_t version) const {
  if (version == policy_.version && version > 0) return policy_.text;
  const auto& texts = policy_log_.texts();
  if (version == 0 || version > policy_log_.version() || policy_log_.version() - version >= texts.size())
    return {};
  return texts[texts.size() - 1 - static_cast<size_t>(policy_log_.version() - version)];
}

uint64_t Agreement::fingerprint(Time now) const {
  uint64_t out = 7;
  const auto text = [&](const std::string& t) { out = XXH64(t.data(), t.size(), out + t.size()); };
  const auto mix = [&](uint64_t v) { out = XXH64(&v, sizeof v, out); };
  const auto time = [&](Time t) { mix(t <= now ? 0 : static_cast<uint64_t>((t - now) / kMs)); };
  text(encode_file());
  text(policy_log_.state());
  if (raft_) mix(raft_->fingerprint(now));
  text(leader_);
  text(answered_change_id_);
  text(rejection_reason_);
  text(unsupported_reason_);
  text(request_ ? request_->id : "");
  mix(leader_term_);
  mix(accepted_but_unsupported_);
  mix(newest_version_);
  time(lease_expires_at_);
  time(next_renewal_);
  if (leadership_) mix(leadership_->fingerprint(now));
  return out;
}

}  // namespace umberhoist::fleet
