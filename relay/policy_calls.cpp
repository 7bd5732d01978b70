// What staff ask the fleet's agreement and have it do: POLICY's calls, and its figures of METRICS.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <sstream>

#include "budget.h"
#include "config_policy.h"
#include "log.h"
#include "policy_link.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;
using fleet::Agreement;

constexpr size_t kMostFile = 1024 * 1024;  // of a file that staff names

std::string hex(uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

}  // namespace

std::string PolicyLink::call(const std::string& rest) {
  std::istringstream in(rest);
  std::string word, id, other;
  in >> word >> id;
  std::getline(in >> std::ws, other);
  if (word == "STATUS") return status();
  if (word == "HISTORY") return history();
  if (!agreement_) return "ERR " + ended_ + "\n";
  std::string no;
  if (word == "TEXT") {
    const auto text = agreement_->text_of_version(std::strtoull(id.c_str(), nullptr, 10));
    return text ? "OK\n" + *text + "\nEND\n" : "ERR this relay does not keep version " + one_line(id) + "\n";
  }
  if (word == "PROPOSE") {
    no = propose(id, other);
  } else if (word == "ABORT") {
    no = agreement_->abort(lease_now(), id);
  } else if (word == "REPLACE") {
    no = agreement_->replace_voter(lease_now(), id, other.substr(0, other.find(' ')));
  } else {
    return "ERR unknown call\n";
  }
  step();
  return no.empty() ? "OK handed in\n" : "ERR " + one_line(no) + "\n";
}

// Why the file at `path` is not handed in; empty: it is.
std::string PolicyLink::propose(const std::string& id, const std::string& path) {
  if (id.empty() || path.empty()) return "POLICY PROPOSE ID PATH";
  std::error_code failed;
  const auto size = std::filesystem::file_size(path, failed);
  if (failed) return "cannot read " + path;
  if (size > kMostFile) return path + " has more than 1 MiB";
  std::string policy;
  try {
    policy = policy_in(read_file(path));
    if (std::string no = host_.fault(policy); !no.empty()) return no;
  } catch (const std::exception& fault) {
    return fault.what();
  }
  const auto wall = static_cast<uint64_t>(std::max<Time>(0, instant_now().wall / 1000));
  return agreement_->propose(lease_now(), id, policy, wall);
}

std::string PolicyLink::status() const {
  if (!agreement_) return "ERR " + ended_ + "\n";
  const Time now = lease_now();
  const Agreement::View v = agreement_->view(now);
  std::string out = "OK\nversion " + std::to_string(v.version) +
                    " id=" + (v.id.empty() ? "-" : one_line(v.id)) + " digest=" + hex(v.digest) + "\n";
  out += open() ? "door open lease_ms=" + std::to_string(std::max<Time>(0, until_ - now) / 1000) + "\n"
                : "door shut " + closed() + "\n";
  out += "leader " + (v.leader.empty() ? "-" : v.leader) +
         " heard_ms=" + (v.last_received < 0 ? "-" : std::to_string((now - v.last_received) / 1000)) +
         " newest=" + std::to_string(v.newest_version) + " term=" + std::to_string(v.leader_term) + "\n";
  if (!v.pending_request.empty()) out += "asking " + one_line(v.pending_request) + "\n";
  if (v.change) {
    out += "change " + one_line(v.change->id) + " by=" + v.change->proposed_by +
           " base=" + std::to_string(v.change->base_version) + "\n";
  }
  for (const auto& [name, why] : v.waiting_for) out += "waiting " + name + " " + one_line(why) + "\n";
  return out + "END\n";
}

std::string PolicyLink::history() const {
  if (!agreement_) return "ERR " + ended_ + "\n";
  std::string out = "OK\n";
  for (const auto& o : agreement_->view(lease_now()).outcomes) {
    out += one_line(o.id) + " " + fleet::kOutcomeNames[static_cast<size_t>(o.result)] +
           (o.version > 0 ? " version=" + std::to_string(o.version) : "") + " by=" + o.relay +
           " at_ms=" + std::to_string(o.wall_ms) + (o.reason.empty() ? "" : " " + one_line(o.reason)) + "\n";
  }
  return out + "END\n";
}

std::string PolicyLink::figures() const {
  std::string out;
  const auto line = [&](const std::string& name, uint64_t value) {
    out += "policy_" + name + " " + std::to_string(value) + "\n";
  };
  const Time now = lease_now();
  const Agreement::View v = agreement_ ? agreement_->view(now) : Agreement::View{};
  line("version", v.version);
  line("newest", v.newest_version);
  line("open", open() ? 1 : 0);
  line("lease_ms", static_cast<uint64_t>(std::max<Time>(0, until_ - now) / 1000));
  line("leads", agreement_ && agreement_->is_leader() ? 1 : 0);
  line("change_under_way", v.change ? 1 : 0);
  line("waiting_for", v.waiting_for.size());
  line("turned_away_total", turned_away_);
  line("connections", wire_.connections());
  line("messages_sent_total", wire_.sent());
  line("bytes_sent_total", wire_.sent_bytes());
  line("messages_dropped_total", wire_.dropped());
  line("messages_unreadable_total", agreement_ ? agreement_->malformed_messages() : 0);
  line("file_bytes", file_.size());
  return out;
}

}  // namespace firspool::relay
