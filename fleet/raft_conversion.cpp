#include "raft_conversion.h"

#include <algorithm>
#include <cstring>

namespace umberhoist::fleet {

raft_buffer buffer_of(std::string_view bytes) {
  raft_buffer out;
  out.base = raft_malloc(std::max<size_t>(1, bytes.size()));
  out.len = bytes.size();
  if (!bytes.empty()) std::memcpy(out.base, bytes.data(), bytes.size());
  return out;
}

std::string_view view_of(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

raft_configuration configuration_of(const std::vector<Consensus::Server>& servers) {
  raft_configuration out;
  raft_configuration_init(&out);
  for (const auto& s : servers) raft_configuration_add(&out, s.id, s.name.c_str(), s.role);
  return out;
}

std::vector<Consensus::Server> servers_of(const raft_configuration& from) {
  std::vector<Consensus::Server> out;
  for (unsigned i = 0; i < from.n; ++i) {
    out.push_back({from.servers[i].id, from.servers[i].address, from.servers[i].role});
  }
  return out;
}

// C-Raft takes over the array. All entries share one batch block, because C-Raft drops entries that it
// already has without freeing them: their memory is freed only with the batch of the others.
raft_entry* entries_of(const std::vector<Consensus::PersistentState::Entry>& from) {
  if (from.empty()) return nullptr;
  std::string bytes;
  for (const auto& e : from) bytes += e.bytes;
  auto* const batch = static_cast<char*>(buffer_of(bytes).base);
  auto* out = static_cast<raft_entry*>(raft_malloc(from.size() * sizeof(raft_entry)));
  size_t offset = 0;
  for (size_t i = 0; i < from.size(); ++i) {
    out[i].term = from[i].term;
    out[i].type = static_cast<unsigned short>(from[i].type);
    out[i].buf = {batch + offset, from[i].bytes.size()};
    out[i].batch = batch;
    offset += from[i].bytes.size();
  }
  return out;
}

raft_snapshot* snapshot_of(const Consensus::PersistentState::Snapshot& from) {
  auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
  out->index = from.index;
  out->term = from.term;
  out->configuration = configuration_of(from.servers);
  out->configuration_index = from.configuration_index;
  out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  out->bufs[0] = buffer_of(from.bytes);
  out->n_bufs = 1;
  return out;
}

}  // namespace umberhoist::fleet
