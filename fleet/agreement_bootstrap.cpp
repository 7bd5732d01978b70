// The bootstrap of the fleet's log, and the start of this relay's Raft server.
#include <algorithm>

#include "agreement.h"
#include "agreement_internal.h"

namespace umberhoist::fleet {

// The first voter by name bootstraps the log, once all voters have recently reported an empty folder.
void Agreement::try_bootstrap(Time now) {
  std::vector<std::string> voters = settings_.voters;
  std::ranges::sort(voters);
  if (bootstrap_ || voters.empty() || voters.front() != settings_.name) return;
  Bootstrap f{random_id(), {{settings_.name, folder_id_}}};
  for (const std::string& name : voters) {
    if (name == settings_.name) continue;
    const auto seen = fresh_voters_.find(name);
    if (seen == fresh_voters_.end() || now - seen->second.second > 4 * settings_.renewal_period) return;
    f.voters.emplace_back(name, seen->second.first);
  }
  on_bootstrap(now, f);
  for (const auto& [name, folder_id] : f.voters) {
    if (name != settings_.name) send(name, "founded", f.to_record());
  }
}

void Agreement::on_bootstrap(Time now, Bootstrap bootstrap) {
  if (bootstrap_) return;
  bootstrap_ = std::move(bootstrap);
  append_record(bootstrap_->to_record());
  const auto& voters = bootstrap_->voters;
  if (std::ranges::find(voters, std::pair(settings_.name, folder_id_)) != voters.end()) {
    std::vector<Consensus::Server> servers;
    for (const auto& [name, folder_id] : voters)
      servers.push_back({server_id(name, folder_id), name, RAFT_VOTER});
    Consensus::PersistentState stored = Consensus::PersistentState::bootstrap(servers);
    for (const nlohmann::json& r : stored.records()) append_record(r);
    start_raft(now, std::move(stored));
  }
  next_renewal_ = now;
}

void Agreement::start_raft(Time now, Consensus::PersistentState stored) {
  Consensus::Settings s;
  s.id = own_server_id();
  s.name = settings_.name;
  // Chosen so that detecting a failed leader, electing another and waiting for the old leases takes less than
  // two lease durations.
  s.election_timeout = settings_.lease_duration / 6;
  s.heartbeat_interval = std::max<Time>(kMs, settings_.lease_duration / 48);
  s.snapshot_threshold = 8;
  s.snapshot_trailing = 2;
  Consensus::Host& host = *this;
  raft_ = std::make_unique<Consensus>(s, host, std::move(stored), random_id());
  leadership_.emplace(settings_, *raft_, policy_log_);
  raft_->start(now);
}

}  // namespace umberhoist::fleet
