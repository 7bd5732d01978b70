// What stands on disk: each change of it is one record, and records() are all that give the same again.
#include "consensus_parts.h"

namespace umberhoist::fleet {
namespace {

constexpr size_t kMostServers = 64;
constexpr size_t kMostBytes = 2'000'000;  // of an entry or a snapshot

}  // namespace

using nlohmann::json;

json packed(const std::vector<Consensus::Server>& servers) {
  json out = json::array();
  for (const auto& s : servers) out.push_back({s.id, s.name, static_cast<unsigned>(s.role)});
  return out;
}

std::vector<Consensus::Server> unpacked(const json& from) {
  require(from.is_array() && from.size() <= kMostServers);
  std::vector<Consensus::Server> out;
  for (const json& s : from) {
    const uint64_t role = decode_uint(at(s, 2));
    out.push_back({decode_uint(at(s, 0)), decode_text(at(s, 1), kMaxNameSize), static_cast<int>(role)});
    require(out.back().id > 0 && role <= RAFT_SPARE);
  }
  return out;
}

json packed(const Consensus::Stored::Entry& e) { return {e.term, e.type, encode_bytes(e.bytes)}; }

Consensus::Stored::Entry entry_of(const json& from) {
  Consensus::Stored::Entry out;
  out.term = decode_uint(at(from, 0));
  const uint64_t type = decode_uint(at(from, 1));
  require(type >= RAFT_COMMAND && type <= RAFT_CHANGE);
  out.type = static_cast<unsigned>(type);
  out.bytes = decode_bytes(at(from, 2));
  require(out.bytes.size() <= kMostBytes);
  return out;
}

Consensus::Stored Consensus::Stored::founded(const std::vector<Server>& servers) {
  Stored out;
  out.term = 1;
  raft_configuration conf = configuration_of(servers);
  raft_buffer bytes;
  raft_configuration_encode(&conf, &bytes);
  out.entries.push_back({1, RAFT_CHANGE, std::string(view_of(bytes))});
  raft_free(bytes.base);
  raft_configuration_close(&conf);
  return out;
}

bool Consensus::Stored::take(const json& record) {
  const std::string tag = decode_text(at(record, 0), kMaxNameSize);
  if (tag == "term") {
    term = decode_uint(at(record, 1));
    vote = 0;
  } else if (tag == "vote") {
    vote = decode_uint(at(record, 1));
  } else if (tag == "entry") {
    const uint64_t index = decode_uint(at(record, 1));
    if (entries.empty() && !snapshot) first = index;
    require(index == first + entries.size());
    entries.push_back(entry_of(at(record, 2)));
  } else if (tag == "cut") {
    const uint64_t index = decode_uint(at(record, 1));
    require(index >= first && index <= first + entries.size());
    entries.resize(index - first);
  } else if (tag == "snapshot") {
    Snapshot s;
    s.index = decode_uint(at(record, 1));
    s.term = decode_uint(at(record, 2));
    s.servers_index = decode_uint(at(record, 3));
    s.servers = unpacked(at(record, 4));
    s.bytes = decode_bytes(at(record, 5));
    first = decode_uint(at(record, 6));
    require(entries.empty() && first <= s.index + 1);
    snapshot = std::move(s);
  } else {
    return false;
  }
  return true;
}

std::vector<json> Consensus::Stored::records() const {
  std::vector<json> out;
  if (term > 0) out.push_back({"term", term});
  if (vote > 0) out.push_back({"vote", vote});
  if (snapshot) {
    out.push_back({"snapshot", snapshot->index, snapshot->term, snapshot->servers_index,
                   packed(snapshot->servers), encode_bytes(snapshot->bytes), first});
  }
  for (size_t i = 0; i < entries.size(); ++i) out.push_back({"entry", first + i, packed(entries[i])});
  return out;
}

}  // namespace umberhoist::fleet
