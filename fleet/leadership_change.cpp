// How the leader handles a policy change and a change of the voters: operators' requests, the relays that a
// change waits for, the decision, and the next membership change of the log.
#include <algorithm>

#include "agreement_internal.h"
#include "leadership.h"

namespace umberhoist::fleet {

void Leadership::handle_request(Time now, const LeaseRenewal& r) {
  // A request of an earlier leader term, or one that was sent too long ago, may be reported as refused by its
  // relay already (resolve_request).
  if (!r.request.is_array() || r.echo_term != leader_term_ || !pending_change_id_.empty()) return;
  if (now - static_cast<Time>(r.echo_timestamp) > 2 * settings_.lease_duration) return;
  const std::string kind = decode_text(at(r.request, 0), kMaxNameSize);
  if (kind == "propose") {
    const Change c{decode_text(at(r.request, 1), kMaxIdBytes), decode_text(at(r.request, 2), kMaxNameSize),
                   decode_uint(at(r.request, 3)), decode_text(at(r.request, 4), kMaxPolicyBytes),
                   decode_uint(at(r.request, 5))};
    if (!policy_log_.knows(c.id) && raft_.propose(PolicyLog::propose(c)))
      pending_change_id_ = policy_log_.knows(c.id) ? "" : c.id;
  } else if (kind == "abort") {
    const std::string id = decode_text(at(r.request, 1), kMaxIdBytes);
    const bool under_way = policy_log_.change() && policy_log_.change()->id == id;
    if (!under_way && policy_log_.knows(id)) return;
    raft_.propose(
        PolicyLog::abort(id, decode_text(at(r.request, 2), kMaxNameSize), "an operator aborted it"));
  } else if (kind == "replace") {
    const std::string old_voter = decode_text(at(r.request, 1), kMaxNameSize),
                      new_voter = decode_text(at(r.request, 2), kMaxNameSize);
    if (policy_log_.voters().contains(old_voter))
      raft_.propose(PolicyLog::replace_voter(old_voter, new_voter));
  }
}

// The relays that the change waits for, or that do not apply the version in force, and why.
std::vector<std::pair<std::string, std::string>> Leadership::waiting_for(Time now) const {
  std::vector<std::pair<std::string, std::string>> out;
  const auto& change = policy_log_.change();
  size_t more = 0;
  for (const std::string& name : settings_.relays) {
    const auto found = lease_holders_.find(name);
    if (found == lease_holders_.end()) continue;
    const LeaseHolder& p = found->second;
    std::string why;
    if (change && p.accepted_change_id != change->id && p.lease_expires_at >= now) {
      why = p.rejected_change_id == change->id
                ? "rejected: " + p.rejection_reason
                : "no answer, lease expires in " + format_ms(p.lease_expires_at - now);
    } else if (!p.unsupported_reason.empty()) {
      why = "accepts no messages: " + p.unsupported_reason;
    } else if (!change && (p.last_received < 0 || now - p.last_received > settings_.lease_duration)) {
      why = "not reachable";
    } else if (!change && p.version != policy_log_.version()) {
      why = "applies version " + std::to_string(p.version);
    }
    if (why.empty()) continue;
    if (out.size() < kMaxWaitingFor) {
      out.emplace_back(name, truncated(why, kMaxReasonBytes));
    } else {
      ++more;
    }
  }
  if (more > 0) out.emplace_back("...", std::to_string(more) + " more");
  return out;
}

void Leadership::evaluate_change(Time now) {
  const auto& change = policy_log_.change();
  if (!change) return deciding_change_id_.clear();
  if (deciding_change_id_ == change->id) return;
  for (const std::string& name : settings_.relays) {
    const LeaseHolder& p = lease_holders_[name];
    if (p.accepted_change_id == change->id) continue;
    bool expired = now > p.lease_expires_at;
    if (settings_.injected_fault == AgreementInjectedFault::kSkipLeaseWait)
      expired = p.last_received < 0 || now - p.last_received > settings_.renewal_period;
    if (p.rejected_change_id == change->id && !expired) {
      if (raft_.propose(PolicyLog::abort(change->id, name, p.rejection_reason)) && policy_log_.change())
        deciding_change_id_ = policy_log_.change()->id;
      return;
    }
    if (!expired) return;
  }
  const std::string id = change->id;
  deciding_change_id_ = id;  // before the proposal: from now on, no lease for a relay that has not accepted
  raft_.propose(PolicyLog::decide(id));
  if (!policy_log_.change()) deciding_change_id_.clear();
}

// Makes one membership change at a time towards the voters that the log names, each with its present folder.
void Leadership::reconcile_voters(Time now) {
  if (policy_log_.voters().empty()) return;
  const auto recently_received = [&](const std::string& name) {
    const auto p = lease_holders_.find(name);
    return p != lease_holders_.end() && p->second.last_received >= 0 &&
           now - p->second.last_received <= 2 * settings_.renewal_period;
  };
  const auto servers = raft_.servers();
  for (const auto& server : servers) {
    const bool wanted = policy_log_.voters().contains(server.name);
    if (server.name == settings_.name) {
      if (!wanted) return raft_.transfer_leadership();
    } else if (!wanted || (recently_received(server.name) &&
                           server.id != server_id(server.name, lease_holders_[server.name].folder_id))) {
      raft_.remove_server(server.id);
      return;
    }
  }
  for (const std::string& name : policy_log_.voters()) {
    const auto server = std::ranges::find(servers, name, &Consensus::Server::name);
    if (!recently_received(name)) continue;
    if (server == servers.end()) {
      raft_.add_server({server_id(name, lease_holders_[name].folder_id), name, RAFT_SPARE});
      return;
    }
    if (server->role != RAFT_VOTER) {
      raft_.promote_server(server->id);
      return;
    }
  }
}

}  // namespace umberhoist::fleet
