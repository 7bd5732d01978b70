// Conversions of servers, entries and snapshots: to and from C-Raft's structures, and to and from CBOR, which
// is the same on disk and on the network. Memory in C-Raft's structures comes from its own allocator, and
// C-Raft frees what is handed to it.
#pragma once

#include "consensus.h"

namespace umberhoist::fleet {

raft_buffer buffer_of(std::string_view bytes);
std::string_view view_of(const raft_buffer& buffer);  // valid as long as the buffer
raft_configuration configuration_of(const std::vector<Consensus::Server>& servers);
std::vector<Consensus::Server> servers_of(const raft_configuration& from);
// The bytes of all entries are in one block, their batch. Returns null for no entries.
raft_entry* entries_of(const std::vector<Consensus::PersistentState::Entry>& from);
raft_snapshot* snapshot_of(const Consensus::PersistentState::Snapshot& from);

nlohmann::json encode(const std::vector<Consensus::Server>& servers);
nlohmann::json encode(const Consensus::PersistentState::Entry& entry);
std::vector<Consensus::Server> decode_servers(const nlohmann::json& from);   // throws DecodeError
Consensus::PersistentState::Entry decode_entry(const nlohmann::json& from);  // throws DecodeError

}  // namespace umberhoist::fleet
