#include "consensus.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>

#include "consensus_parts.h"

namespace umberhoist::fleet {

using nlohmann::json;

Consensus::~Consensus() {
  if (!started_) return;
  raft_close(&raft_, nullptr);
  finish();
}

void Consensus::start(Time now) {
  now_ = now;
  const auto ms = [](Time t) { return static_cast<unsigned>(std::max<Time>(1, t / kMs)); };
  int bad = raft_init(&raft_, &io_, &fsm_, settings_.id, settings_.name.c_str());
  if (bad == 0) {
    started_ = true;
    raft_set_election_timeout(&raft_, ms(settings_.election));
    raft_set_heartbeat_timeout(&raft_, ms(settings_.heartbeat));
    raft_set_install_snapshot_timeout(&raft_, ms(4 * settings_.election));
    raft_set_snapshot_threshold(&raft_, settings_.snapshot_after);
    raft_set_snapshot_trailing(&raft_, settings_.trailing);
    raft_set_max_catch_up_round_duration(&raft_, ms(4 * settings_.election));
    raft_set_pre_vote(&raft_, true);
    bad = raft_start(&raft_);
  }
  if (bad != 0) {
    failed_ = raft_strerror(bad);
    return;
  }
  next_ = now + settings_.heartbeat;
  finish();
}

void Consensus::finish() {
  while (!later_.empty()) {
    for (const auto& call : std::exchange(later_, {})) call();
  }
  if (started_ && failed_.empty() && raft_state(&raft_) == RAFT_UNAVAILABLE) failed_ = raft_errmsg(&raft_);
}

void Consensus::woke(Time now) {
  now_ = std::max(now_, now);
  if (now < next_ || !failed_.empty()) return;
  next_ = now + settings_.heartbeat;
  tick_(&io_);
  finish();
}

bool Consensus::leads() const { return started_ && raft_.state == RAFT_LEADER; }

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
  for (const json& record : stored_.records()) {
    const std::string bytes = to_cbor(record);
    out = XXH64(bytes.data(), bytes.size(), out);
  }
  mix(raft_.state);
  mix(raft_.commit_index);
  mix(raft_.last_applied);
  mix(static_cast<uint64_t>(now / kMs - static_cast<Time>(raft_.election_timer_start)));
  mix(next_ == kNever ? 0 : static_cast<uint64_t>(next_ - now));
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

void Consensus::received(Time now, const json& from) {
  now_ = std::max(now_, now);
  if (!failed_.empty() || !started_) return;
  if (decode_uint(at(from, 3)) != settings_.id) return;  // for the server that this name was before
  std::string address;
  raft_message m = message_of(from, address);
  recv_(&io_, &m);
  finish();
}

// ---- A leader's part ----

bool Consensus::propose(const std::string& command) {
  if (!leads()) return false;
  auto request = std::make_unique<struct raft_apply>();
  const raft_buffer bytes = buffer_of(command);
  if (raft_apply(&raft_, request.get(), &bytes, 1, [](struct raft_apply* r, int, void*) { delete r; }) != 0) {
    raft_free(bytes.base);
    return false;
  }
  (void)request.release();
  finish();
  return true;
}

bool Consensus::change(const std::function<int(raft_change*)>& begin) {
  if (!leads() || changing_) return false;
  auto request = std::make_unique<raft_change>();
  request->data = this;
  changing_ = true;
  if (begin(request.get()) != 0) {
    changing_ = false;
    return false;
  }
  (void)request.release();
  finish();
  return true;
}

void Consensus::changed(raft_change* request, int) {
  static_cast<Consensus*>(request->data)->changing_ = false;
  delete request;
}

bool Consensus::add(const Server& server) {
  return change([&](raft_change* r) { return raft_add(&raft_, r, server.id, server.name.c_str(), changed); });
}

bool Consensus::promote(uint64_t id) {
  return change([&](raft_change* r) { return raft_assign(&raft_, r, id, RAFT_VOTER, changed); });
}

bool Consensus::remove(uint64_t id) {
  return change([&](raft_change* r) { return raft_remove(&raft_, r, id, changed); });
}

void Consensus::transfer() {
  if (!leads()) return;
  auto request = std::make_unique<struct raft_transfer>();
  if (raft_transfer(&raft_, request.get(), 0, [](struct raft_transfer* r) { delete r; }) != 0) return;
  (void)request.release();
  finish();
}

}  // namespace umberhoist::fleet
