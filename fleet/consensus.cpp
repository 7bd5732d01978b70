#include "consensus.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>

#include "raft_conversion.h"

namespace umberhoist::fleet {

using nlohmann::json;

Consensus::~Consensus() {
  if (!started_) return;
  raft_close(&raft_, nullptr);
  run_deferred();
}

void Consensus::start(Time now) {
  now_ = now;
  const auto ms = [](Time t) { return static_cast<unsigned>(std::max<Time>(1, t / kMs)); };
  int error = raft_init(&raft_, &io_, &fsm_, settings_.id, settings_.name.c_str());
  if (error == 0) {
    started_ = true;
    raft_set_election_timeout(&raft_, ms(settings_.election_timeout));
    raft_set_heartbeat_timeout(&raft_, ms(settings_.heartbeat_interval));
    raft_set_install_snapshot_timeout(&raft_, ms(4 * settings_.election_timeout));
    raft_set_snapshot_threshold(&raft_, settings_.snapshot_threshold);
    raft_set_snapshot_trailing(&raft_, settings_.snapshot_trailing);
    raft_set_max_catch_up_round_duration(&raft_, ms(4 * settings_.election_timeout));
    raft_set_pre_vote(&raft_, true);
    error = raft_start(&raft_);
  }
  if (error != 0) {
    failure_ = raft_strerror(error);
    return;
  }
  next_wakeup_ = now + settings_.heartbeat_interval;
  run_deferred();
}

void Consensus::run_deferred() {
  while (!deferred_.empty()) {
    for (const auto& call : std::exchange(deferred_, {})) call();
  }
  if (started_ && failure_.empty() && raft_state(&raft_) == RAFT_UNAVAILABLE) failure_ = raft_errmsg(&raft_);
}

void Consensus::on_timer(Time now) {
  now_ = std::max(now_, now);
  if (now < next_wakeup_ || !failure_.empty()) return;
  next_wakeup_ = now + settings_.heartbeat_interval;
  tick_(&io_);
  run_deferred();
}

bool Consensus::is_leader() const { return started_ && raft_.state == RAFT_LEADER; }

std::string Consensus::leader() const {
  if (!started_) return "";
  raft_id id = 0;
  const char* name = nullptr;
  raft_leader(const_cast<raft*>(&raft_), &id, &name);
  return id == 0 || name == nullptr ? "" : name;
}

std::vector<Consensus::Server> Consensus::servers() const { return servers_of(raft_.configuration); }

uint64_t Consensus::fingerprint(Time now) const {
  uint64_t out = XXH64(&now_, 0, 5);
  const auto mix = [&](uint64_t value) { out = XXH64(&value, sizeof value, out); };
  for (const json& record : persistent_state_.records()) {
    const std::string bytes = to_cbor(record);
    out = XXH64(bytes.data(), bytes.size(), out);
  }
  mix(raft_.state);
  mix(raft_.commit_index);
  mix(raft_.last_applied);
  mix(static_cast<uint64_t>(now / kMs - static_cast<Time>(raft_.election_timer_start)));
  mix(next_wakeup_ == kNever ? 0 : static_cast<uint64_t>(next_wakeup_ - now));
  if (raft_.state == RAFT_FOLLOWER) {
    mix(raft_.follower_state.current_leader.id);
    mix(raft_.follower_state.randomized_election_timeout);
  } else if (raft_.state == RAFT_CANDIDATE) {
    mix(raft_.candidate_state.randomized_election_timeout);
    mix(raft_.candidate_state.in_pre_vote);
    for (unsigned i = 0; raft_.candidate_state.votes != nullptr && i < raft_.configuration.n; ++i) {
      mix(raft_.candidate_state.votes[i]);
    }
  } else if (raft_.state == RAFT_LEADER) {
    for (unsigned i = 0; i < raft_.configuration.n; ++i) {
      const raft_progress& p = raft_.leader_state.progress[i];
      for (const uint64_t v :
           {uint64_t{p.state}, uint64_t{p.next_index}, uint64_t{p.match_index}, uint64_t{p.recent_recv}}) {
        mix(v);
      }
    }
  }
  return out;
}

void Consensus::on_message(Time now, const json& message) {
  now_ = std::max(now_, now);
  if (!failure_.empty() || !started_) return;
  if (decode_uint(at(message, 3)) != settings_.id) return;  // to an earlier server of this name
  std::string address;
  raft_message m = decode_message(message, address);
  recv_(&io_, &m);
  run_deferred();
}

// ---- Operations of a leader ----

bool Consensus::propose(const std::string& command) {
  if (!is_leader()) return false;
  auto request = std::make_unique<struct raft_apply>();
  const raft_buffer bytes = buffer_of(command);
  if (raft_apply(&raft_, request.get(), &bytes, 1, [](struct raft_apply* r, int, void*) { delete r; }) != 0) {
    raft_free(bytes.base);
    return false;
  }
  (void)request.release();
  run_deferred();
  return true;
}

bool Consensus::change_membership(const std::function<int(raft_change*)>& begin) {
  if (!is_leader() || membership_change_pending_) return false;
  auto request = std::make_unique<raft_change>();
  request->data = this;
  membership_change_pending_ = true;
  if (begin(request.get()) != 0) {
    membership_change_pending_ = false;
    return false;
  }
  (void)request.release();
  run_deferred();
  return true;
}

void Consensus::on_membership_changed(raft_change* request, int) {
  static_cast<Consensus*>(request->data)->membership_change_pending_ = false;
  delete request;
}

bool Consensus::add_server(const Server& server) {
  return change_membership([&](raft_change* r) {
    return raft_add(&raft_, r, server.id, server.name.c_str(), on_membership_changed);
  });
}

bool Consensus::promote_server(uint64_t id) {
  return change_membership(
      [&](raft_change* r) { return raft_assign(&raft_, r, id, RAFT_VOTER, on_membership_changed); });
}

bool Consensus::remove_server(uint64_t id) {
  return change_membership([&](raft_change* r) { return raft_remove(&raft_, r, id, on_membership_changed); });
}

void Consensus::transfer_leadership() {
  if (!is_leader()) return;
  auto request = std::make_unique<struct raft_transfer>();
  if (raft_transfer(&raft_, request.get(), 0, [](struct raft_transfer* r) { delete r; }) != 0) return;
  (void)request.release();
  run_deferred();
}

}  // namespace umberhoist::fleet
