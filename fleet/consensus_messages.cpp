// Messages between servers: C-Raft's messages encoded as CBOR, each with the receiver's server id.
#include "raft_conversion.h"

namespace umberhoist::fleet {

using nlohmann::json;

json Consensus::encode_message(const raft_message& m) const {
  json out = {settings_.id, settings_.name, m.type, m.server_id};
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE: {
      const auto& v = m.request_vote;
      out.insert(out.end(),
                 {v.term, v.candidate_id, v.last_log_index, v.last_log_term, v.disrupt_leader, v.pre_vote});
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& v = m.request_vote_result;
      out.insert(out.end(), {json(v.term), json(v.vote_granted), json(static_cast<unsigned>(v.pre_vote))});
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& v = m.append_entries;
      json entries = json::array();
      for (unsigned i = 0; i < v.n_entries; ++i) {
        const raft_entry& e = v.entries[i];
        entries.push_back(fleet::encode(PersistentState::Entry{e.term, e.type, std::string(view_of(e.buf))}));
      }
      out.insert(out.end(), {json(v.term), json(v.prev_log_index), json(v.prev_log_term),
                             json(v.leader_commit), entries});
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& v = m.append_entries_result;
      out.insert(out.end(), {v.term, v.rejected, v.last_log_index});
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& v = m.install_snapshot;
      out.insert(out.end(),
                 {json(v.term), json(v.last_index), json(v.last_term), fleet::encode(servers_of(v.conf)),
                  json(v.conf_index), encode_bytes(view_of(v.data))});
      break;
    }
    default: {
      const auto& v = m.timeout_now;
      out.insert(out.end(), {v.term, v.last_log_index, v.last_log_term});
    }
  }
  return out;
}

raft_message Consensus::decode_message(const json& from, std::string& address) const {
  raft_message m{};
  m.server_id = decode_uint(at(from, 0));
  address = decode_text(at(from, 1), kMaxNameSize);
  m.server_address = address.c_str();
  m.type = static_cast<unsigned short>(decode_uint(at(from, 2)));
  const auto number = [&](size_t i) { return decode_uint(at(from, 3 + i)); };
  const auto flag = [&](size_t i) {
    require(at(from, 3 + i).is_boolean());
    return at(from, 3 + i).get<bool>();
  };
  // Everything that may throw is decoded before memory is allocated for C-Raft.
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE:
      m.request_vote = {number(1), number(2), number(3), number(4), flag(5), flag(6)};
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      require(number(3) <= raft_tribool_false);
      m.request_vote_result = {number(1), flag(2), static_cast<raft_tribool>(number(3))};
      break;
    case RAFT_IO_APPEND_ENTRIES: {
      m.append_entries = {number(1), number(2), number(3), number(4), nullptr, 0};
      std::vector<PersistentState::Entry> entries;
      require(at(from, 8).is_array());
      for (const json& e : at(from, 8)) entries.push_back(decode_entry(e));
      m.append_entries.n_entries = static_cast<unsigned>(entries.size());
      m.append_entries.entries = entries_of(entries);
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      m.append_entries_result = {number(1), number(2), number(3)};
      break;
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto servers = decode_servers(at(from, 7));
      const std::string bytes = decode_bytes(at(from, 9));
      m.install_snapshot = {number(1), number(2), number(3), {}, number(5), {}};
      m.install_snapshot.conf = configuration_of(servers);
      m.install_snapshot.data = buffer_of(bytes);
      break;
    }
    case RAFT_IO_TIMEOUT_NOW:
      m.timeout_now = {number(1), number(2), number(3)};
      break;
    default:
      throw DecodeError{};
  }
  return m;
}

}  // namespace umberhoist::fleet
