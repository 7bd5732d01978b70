// Inside fleet/consensus: its servers and entries as C-Raft's structures and as CBOR, in which they stand on
// disk and travel alike. Whatever is given to C-Raft is in blocks of its own allocator, and its to free.
#pragma once

#include "consensus.h"

namespace umberhoist::fleet {

raft_buffer buffer_of(std::string_view bytes);
std::string_view view_of(const raft_buffer& buffer);  // valid as long as the buffer
raft_configuration configuration_of(const std::vector<Consensus::Server>& servers);
std::vector<Consensus::Server> servers_of(const raft_configuration& from);
// All of them lie in one block, their batch; null where there is none.
raft_entry* entries_of(const std::vector<Consensus::Stored::Entry>& from);
raft_snapshot* snapshot_of(const Consensus::Stored::Snapshot& from);

nlohmann::json packed(const std::vector<Consensus::Server>& servers);
nlohmann::json packed(const Consensus::Stored::Entry& entry);
std::vector<Consensus::Server> unpacked(const nlohmann::json& from);  // throws Bad
Consensus::Stored::Entry entry_of(const nlohmann::json& from);        // throws Bad

}  // namespace umberhoist::fleet
