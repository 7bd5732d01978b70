// Raft's persistent state: apply_record() applies one record of a change to it, and records() returns the
// records from which the same state can be read again.
#include "raft_conversion.h"

namespace umberhoist::fleet {
namespace {

constexpr size_t kMaxServers = 64;
constexpr size_t kMaxPayloadBytes = 2'000'000;  // of an entry or a snapshot

}  // namespace

using nlohmann::json;

json encode(const std::vector<Consensus::Server>& servers) {
  json out = json::array();
  for (const auto& s : servers) out.push_back({s.id, s.name, static_cast<unsigned>(s.role)});
  return out;
}

std::vector<Consensus::Server> decode_servers(const json& from) {
  require(from.is_array() && from.size() <= kMaxServers);
  std::vector<Consensus::Server> out;
  for (const json& s : from) {
    const uint64_t role = decode_uint(at(s, 2));
    out.push_back({decode_uint(at(s, 0)), decode_text(at(s, 1), kMaxNameSize), static_cast<int>(role)});
    require(out.back().id > 0 && role <= RAFT_SPARE);
  }
  return out;
}

json encode(const Consensus::PersistentState::Entry& e) { return {e.term, e.type, encode_bytes(e.bytes)}; }

Consensus::PersistentState::Entry decode_entry(const json& from) {
  Consensus::PersistentState::Entry out;
  out.term = decode_uint(at(from, 0));
  const uint64_t type = decode_uint(at(from, 1));
  require(type >= RAFT_COMMAND && type <= RAFT_CHANGE);
  out.type = static_cast<unsigned>(type);
  out.bytes = decode_bytes(at(from, 2));
  require(out.bytes.size() <= kMaxPayloadBytes);
  return out;
}

Consensus::PersistentState Consensus::PersistentState::bootstrap(const std::vector<Server>& servers) {
  PersistentState out;
  out.term = 1;
  raft_configuration conf = configuration_of(servers);
  raft_buffer bytes;
  raft_configuration_encode(&conf, &bytes);
  out.entries.push_back({1, RAFT_CHANGE, std::string(view_of(bytes))});
  raft_free(bytes.base);
  raft_configuration_close(&conf);
  return out;
}

bool Consensus::PersistentState::apply_record(const json& record) {
  const std::string tag = decode_text(at(record, 0), kMaxNameSize);
  if (tag == "term") {
    term = decode_uint(at(record, 1));
    vote = 0;
  } else if (tag == "vote") {
    vote = decode_uint(at(record, 1));
  } else if (tag == "entry") {
    const uint64_t index = decode_uint(at(record, 1));
    if (entries.empty() && !snapshot) first_index = index;
    require(index == first_index + entries.size());
    entries.push_back(decode_entry(at(record, 2)));
  } else if (tag == "cut") {
    const uint64_t index = decode_uint(at(record, 1));
    require(index >= first_index && index <= first_index + entries.size());
    entries.resize(index - first_index);
  } else if (tag == "snapshot") {
    Snapshot s;
    s.index = decode_uint(at(record, 1));
    s.term = decode_uint(at(record, 2));
    s.configuration_index = decode_uint(at(record, 3));
    s.servers = decode_servers(at(record, 4));
    s.bytes = decode_bytes(at(record, 5));
    first_index = decode_uint(at(record, 6));
    require(entries.empty() && first_index <= s.index + 1);
    snapshot = std::move(s);
  } else {
    return false;
  }
  return true;
}

std::vector<json> Consensus::PersistentState::records() const {
  std::vector<json> out;
  if (term > 0) out.push_back({"term", term});
  if (vote > 0) out.push_back({"vote", vote});
  if (snapshot) {
    out.push_back({"snapshot", snapshot->index, snapshot->term, snapshot->configuration_index,
                   encode(snapshot->servers), encode_bytes(snapshot->bytes), first_index});
  }
  for (size_t i = 0; i < entries.size(); ++i) out.push_back({"entry", first_index + i, encode(entries[i])});
  return out;
}

}  // namespace umberhoist::fleet
