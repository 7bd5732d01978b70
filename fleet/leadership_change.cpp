// A leader's part in a change, and in a change of the voters: what staff asks, whom a change waits for, when
// it is decided, which step the log's servers take next.
#include <algorithm>

#include "agreement_parts.h"
#include "leadership.h"

namespace umberhoist::fleet {

void Leadership::take_ask(Time now, const Renew& r) {
  // One that is older than its relay waits for it has been given up there.
  if (!r.ask.is_array() || r.echo_term != reign_ || !busy_.empty()) return;
  if (now - static_cast<Time>(r.echo_stamp) > 2 * settings_.term) return;
  const std::string kind = decode_text(at(r.ask, 0), kMaxNameSize);
  if (kind == "propose") {
    const Change c{decode_text(at(r.ask, 1), kMostId), decode_text(at(r.ask, 2), kMaxNameSize),
                   decode_uint(at(r.ask, 3)), decode_text(at(r.ask, 4), kMostPolicy),
                   decode_uint(at(r.ask, 5))};
    if (!log_.knows(c.id) && raft_.propose(PolicyLog::propose(c))) busy_ = log_.knows(c.id) ? "" : c.id;
  } else if (kind == "abort") {
    const std::string id = decode_text(at(r.ask, 1), kMostId);
    const bool under_way = log_.change() && log_.change()->id == id;
    if (!under_way && log_.knows(id)) return;
    raft_.propose(PolicyLog::abort(id, decode_text(at(r.ask, 2), kMaxNameSize), "staff aborted it"));
  } else if (kind == "replace") {
    const std::string old = decode_text(at(r.ask, 1), kMaxNameSize),
                      fresh = decode_text(at(r.ask, 2), kMaxNameSize);
    if (log_.voters().contains(old)) raft_.propose(PolicyLog::replace(old, fresh));
  }
}

// Whom the change waits for.
std::vector<std::pair<std::string, std::string>> Leadership::waiting(Time now) const {
  std::vector<std::pair<std::string, std::string>> out;
  const auto& change = log_.change();
  size_t more = 0;
  for (const std::string& name : settings_.names) {
    const auto found = lessees_.find(name);
    if (found == lessees_.end()) continue;
    const Lessee& p = found->second;
    std::string why;
    if (change && p.yes != change->id && p.lease_until >= now) {
      why = p.no == change->id ? "no: " + p.why : "no answer, lease for " + ms_text(p.lease_until - now);
    } else if (!p.cannot.empty()) {
      why = "stays out: " + p.cannot;
    } else if (!change && (p.heard < 0 || now - p.heard > settings_.term)) {
      why = "not heard";
    } else if (!change && p.version != log_.version()) {
      why = "holds version " + std::to_string(p.version);
    }
    if (why.empty()) continue;
    if (out.size() < kMostWaiting) {
      out.emplace_back(name, clipped(why, kMostReason));
    } else {
      ++more;
    }
  }
  if (more > 0) out.emplace_back("...", std::to_string(more) + " more");
  return out;
}

void Leadership::judge(Time now) {
  const auto& change = log_.change();
  if (!change) return deciding_.clear();
  if (deciding_ == change->id) return;
  for (const std::string& name : settings_.names) {
    const Lessee& p = lessees_[name];
    if (p.yes == change->id) continue;
    bool over = now > p.lease_until;
    if (settings_.plant == AgreementPlant::kNoLeaseWait)
      over = p.heard < 0 || now - p.heard > settings_.period;
    if (p.no == change->id && !over) {
      if (raft_.propose(PolicyLog::abort(change->id, name, p.why)) && log_.change())
        deciding_ = log_.change()->id;
      return;
    }
    if (!over) return;
  }
  const std::string id = change->id;
  deciding_ = id;  // before it is handed to the log: no lease goes to one that has not said yes
  raft_.propose(PolicyLog::decide(id));
  if (!log_.change()) deciding_.clear();
}

// One step at a time towards the voters that the log names, each by the folder that it has now.
void Leadership::arrange_voters(Time now) {
  if (log_.voters().empty()) return;
  const auto heard = [&](const std::string& name) {
    const auto p = lessees_.find(name);
    return p != lessees_.end() && p->second.heard >= 0 && now - p->second.heard <= 2 * settings_.period;
  };
  const auto servers = raft_.servers();
  for (const auto& server : servers) {
    const bool wanted = log_.voters().contains(server.name);
    if (server.name == settings_.name) {
      if (!wanted) return raft_.transfer();
    } else if (!wanted ||
               (heard(server.name) && server.id != server_id(server.name, lessees_[server.name].nonce))) {
      raft_.remove(server.id);
      return;
    }
  }
  for (const std::string& name : log_.voters()) {
    const auto server = std::ranges::find(servers, name, &Consensus::Server::name);
    if (!heard(name)) continue;
    if (server == servers.end()) {
      raft_.add({server_id(name, lessees_[name].nonce), name, RAFT_SPARE});
      return;
    }
    if (server->role != RAFT_VOTER) {
      raft_.promote(server->id);
      return;
    }
  }
}

}  // namespace umberhoist::fleet
