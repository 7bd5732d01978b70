// The founding, and this relay's server of the log that comes of it.
#include <algorithm>

#include "agreement.h"
#include "agreement_parts.h"

namespace umberhoist::fleet {

// The first of the voters by name founds, once it has heard all of them, each with an empty folder.
void Agreement::found(Time now) {
  std::vector<std::string> voters = settings_.voters;
  std::ranges::sort(voters);
  if (founding_ || voters.empty() || voters.front() != settings_.name) return;
  Founding f{draw(), {{settings_.name, nonce_}}};
  for (const std::string& name : voters) {
    if (name == settings_.name) continue;
    const auto heard = fresh_.find(name);
    if (heard == fresh_.end() || now - heard->second.second > 4 * settings_.period) return;
    f.voters.emplace_back(name, heard->second.first);
  }
  founded(now, f);
  for (const auto& [name, nonce] : f.voters) {
    if (name != settings_.name) send(name, "founded", f.record());
  }
}

void Agreement::founded(Time now, Founding founding) {
  if (founding_) return;
  founding_ = std::move(founding);
  record(founding_->record());
  const auto& voters = founding_->voters;
  if (std::ranges::find(voters, std::pair(settings_.name, nonce_)) != voters.end()) {
    std::vector<Consensus::Server> servers;
    for (const auto& [name, nonce] : voters) servers.push_back({server_id(name, nonce), name, RAFT_VOTER});
    Consensus::Stored stored = Consensus::Stored::founded(servers);
    for (const nlohmann::json& r : stored.records()) record(r);
    start_log(now, std::move(stored));
  }
  renew_at_ = now;
}

void Agreement::start_log(Time now, Consensus::Stored stored) {
  Consensus::Settings s;
  s.id = own_id();
  s.name = settings_.name;
  // So that a leader's end, its election and the wait for its leases come to less than two terms.
  s.election = settings_.term / 6;
  s.heartbeat = std::max<Time>(kMs, settings_.term / 48);
  s.snapshot_after = 8;
  s.trailing = 2;
  Consensus::Host& host = *this;
  raft_ = std::make_unique<Consensus>(s, host, std::move(stored), draw());
  leadership_.emplace(settings_, *raft_, log_);
  raft_->start(now);
}

}  // namespace umberhoist::fleet
