// The agreement's entry points: start, timer, datagrams, settings and shutdown. The other parts are in
// agreement_relay.cpp, agreement_bootstrap.cpp, agreement_operator.cpp, agreement_file.cpp and
// leadership.cpp.
#include "agreement.h"

#include <algorithm>

#include "agreement_internal.h"

namespace umberhoist::fleet {
namespace {

constexpr uint64_t kAgreementProtocol = 1;
constexpr size_t kAppendAllowanceBytes = 64 * 1024;

}  // namespace

using nlohmann::json;

Agreement::Agreement(Settings settings, std::string_view file, uint64_t seed)
    : settings_(std::move(settings)), rng_(seed, 23) {
  try {
    load(file);
  } catch (const DecodeError&) {
    failure_ = "a record is malformed";
  }
  incarnation_ = random_id();
}

void Agreement::start(Time now) {
  if (!failure_.empty()) {
    log("policy_broken",
        "the records of the fleet's policy cannot be used: " + failure_ + "; this relay accepts no messages");
    return;
  }
  if (folder_id_ == 0) {
    folder_id_ = random_id();
    rewrite_records();
  } else if (torn_) {
    rewrite_records();
  }
  if (settings_.injected_fault == InjectedFault::kLeaseSurvivesRestart && restored_lease_ > now)
    outputs_.push_back(Admission{lease_expires_at_ = restored_lease_});
  if (policy_.version > 0)
    unsupported_reason_ = truncated(settings_.check_policy(policy_.text), kMaxReasonBytes);
  if (bootstrap_ && stored_raft_.term > 0) start_raft(now, std::exchange(stored_raft_, {}));
  next_renewal_ = now;
  on_timer(now);
}

Time Agreement::next_wakeup() const {
  if (!failure_.empty()) return kNever;
  return std::min(next_renewal_, raft_ ? raft_->next_wakeup() : kNever);
}

void Agreement::on_timer(Time now) {
  if (!failure_.empty()) return;
  if (raft_) {
    raft_->on_timer(now);
    if (!raft_->failure().empty()) {
      failure_ = raft_->failure();
      log("policy_broken", "the replicated log of the fleet's policy has failed: " + failure_);
      close_admission("its replicated log has failed");
      return;
    }
  }
  if (now >= next_renewal_) {
    if (!bootstrap_ && std::ranges::find(settings_.voters, settings_.name) != settings_.voters.end()) {
      try_bootstrap(now);
      for (const std::string& name : settings_.voters) {
        if (!bootstrap_ && name != settings_.name) send(name, "fresh", folder_id_);
      }
    }
    renew_lease(now);
    next_renewal_ = now + (change_ ? settings_.renewal_period / 2 : settings_.renewal_period);
  }
  if (lease_expires_at_ > 0 && now > lease_expires_at_) {
    close_admission(last_received_ < 0
                        ? "no leader was heard yet"
                        : "no confirmation for " + format_ms(settings_.lease_duration) + " that version " +
                              std::to_string(policy_.version) + " is the newest");
  }
  if (leadership_) leadership_->advance(now);
  if (appended_bytes_ > 4 * policy_.text.size() + kAppendAllowanceBytes) rewrite_records();
}

void Agreement::send(const std::string& to, const char* kind, json body) {
  outputs_.push_back(Send{to, to_cbor({kAgreementProtocol, settings_.cluster, kind,
                                       bootstrap_ ? bootstrap_->id : 0, std::move(body)})});
}

void Agreement::send_message(const std::string& to, json message) { send(to, "raft", std::move(message)); }

uint64_t Agreement::own_server_id() const { return server_id(settings_.name, folder_id_); }

uint64_t Agreement::random_id() { return std::max<uint64_t>(1, (uint64_t{rng_()} << 32) | rng_()); }

std::vector<std::string> Agreement::contacts() const {
  std::set<std::string> out(settings_.voters.begin(), settings_.voters.end());
  out.insert(known_voters_.begin(), known_voters_.end());
  out.erase(settings_.name);
  return {out.begin(), out.end()};
}

void Agreement::on_datagram(Time now, const std::string& from, std::string_view bytes) {
  if (!failure_.empty()) return;
  try {
    const json m = from_cbor(bytes);
    require(decode_uint(at(m, 0)) == kAgreementProtocol &&
            decode_text(at(m, 1), kMaxNameSize) == settings_.cluster);
    const std::string kind = decode_text(at(m, 2), kMaxNameSize);
    const uint64_t bootstrap_id = decode_uint(at(m, 3));
    const json& body = at(m, 4);
    if (kind == "fresh") {
      const uint64_t folder_id = decode_uint(body);
      if (bootstrap_ && !bootstrap_->voters.empty()) {
        send(from, "founded", bootstrap_->to_record());
      } else if (!bootstrap_) {
        fresh_voters_[from] = {folder_id, now};
        try_bootstrap(now);
      }
    } else if (kind == "founded") {
      on_bootstrap(now, Bootstrap::from_record(body));
    } else if (kind == "raft") {
      if (!bootstrap_ || bootstrap_->id != bootstrap_id) return;
      if (!raft_) start_raft(now, {});
      raft_->on_message(now, body);
    } else if (kind == "renew") {
      LeaseRenewal r = LeaseRenewal::decode(body);
      if (bootstrap_id != 0 && bootstrap_ && bootstrap_id != bootstrap_->id) return;
      require(r.via.empty() ? r.origin == from : r.via == from);
      if (std::ranges::find(settings_.relays, r.origin) == settings_.relays.end()) return;
      if (is_leader()) {
        const LeaseGrant g = leadership_->handle_renewal(now, r);
        send(from, "grant", g.encode());
      } else if (const std::string leader = raft_ ? raft_->leader() : "";
                 r.via.empty() && !leader.empty() && leader != settings_.name && leader != r.origin) {
        r.via = settings_.name;
        send(leader, "renew", r.encode());
        send(from, "elsewhere", leader);
      }
    } else if (kind == "grant") {
      LeaseGrant g = LeaseGrant::decode(body);
      g.bootstrap_id = bootstrap_id;
      if (g.to != settings_.name) {
        if (g.via == settings_.name) send(g.to, "grant", body);
      } else {
        next_hop_ = from;
        on_grant(now, g);
      }
    } else if (kind == "elsewhere") {
      const std::string leader = decode_text(body, kMaxNameSize);
      const bool known = leader == next_hop_;
      if (last_received_ < 0 || now - last_received_ > 2 * settings_.renewal_period) next_hop_ = leader;
      if (!known && leader != settings_.name) send(leader, "renew", make_renewal(now).encode());
    } else {
      throw DecodeError{};
    }
  } catch (const DecodeError&) {
    ++malformed_messages_;
  }
  if (leadership_) leadership_->advance(now);
}

void Agreement::configure(Time now, std::vector<std::string> relays, std::vector<std::string> voters) {
  if (leadership_) leadership_->configure(now, relays);
  settings_.relays = std::move(relays);
  settings_.voters = std::move(voters);
}

void Agreement::leave(Time now) {
  if (!failure_.empty() || leaving_) return;
  leaving_ = true;
  close_admission("it is shutting down");
  renew_lease(now);
  if (raft_) raft_->transfer_leadership();
}

}  // namespace umberhoist::fleet
