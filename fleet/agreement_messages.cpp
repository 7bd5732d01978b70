#include "agreement_messages.h"

namespace umberhoist::fleet {
namespace {

using nlohmann::json;

// Reads the fields of a list in order.
class Fields {
 public:
  explicit Fields(const json& list) : list_(list) {}
  const json& any() { return at(list_, next_++); }
  std::string text(size_t max_bytes) { return decode_text(any(), max_bytes); }
  uint64_t number() { return decode_uint(any()); }
  std::string piggyback() { return next_ < list_.size() ? decode_bytes(any()) : std::string(); }
  bool flag() {
    const json& value = any();
    require(value.is_boolean());
    return value.get<bool>();
  }

 private:
  const json& list_;
  size_t next_ = 0;
};

json list_of(const std::vector<std::pair<std::string, std::string>>& pairs) {
  json out = json::array();
  for (const auto& [a, b] : pairs) out.push_back({a, b});
  return out;
}

Change decode_change(Fields in, bool& has_text) {
  Change out;
  out.id = in.text(kMaxIdBytes);
  out.proposed_by = in.text(kMaxNameSize);
  out.base_version = in.number();
  out.wall_ms = in.number();
  out.text = in.text(kMaxPolicyBytes);
  has_text = in.flag();
  return out;
}

}  // namespace

json Bootstrap::to_record() const {
  json list = json::array();
  for (const auto& [name, folder_id] : voters) list.push_back({name, folder_id});
  return {"founding", id, list};
}

Bootstrap Bootstrap::from_record(const json& record) {
  Bootstrap out{decode_uint(at(record, 1)), {}};
  for (const json& v : at(record, 2)) {
    out.voters.emplace_back(decode_text(at(v, 0), kMaxNameSize), decode_uint(at(v, 1)));
  }
  return out;
}

json LeaseRenewal::encode() const {
  json out = {origin,
              via,
              incarnation,
              folder_id,
              number,
              program_version,
              raft_term,
              echo_term,
              echo_timestamp,
              version,
              digest,
              unsupported_reason,
              answered_change_id,
              rejection_reason,
              leaving,
              ended_count,
              request};
  if (!piggyback.empty()) out.push_back(encode_bytes(piggyback));
  return out;
}

LeaseRenewal LeaseRenewal::decode(const json& from) {
  Fields in(from);
  LeaseRenewal out;
  out.origin = in.text(kMaxNameSize);
  out.via = in.text(kMaxNameSize);
  out.incarnation = in.number();
  out.folder_id = in.number();
  out.number = in.number();
  out.program_version = in.text(kMaxNameSize);
  out.raft_term = in.number();
  out.echo_term = in.number();
  out.echo_timestamp = in.number();
  out.version = in.number();
  out.digest = in.number();
  out.unsupported_reason = in.text(kMaxReasonBytes);
  out.answered_change_id = in.text(kMaxIdBytes);
  out.rejection_reason = in.text(kMaxReasonBytes);
  out.leaving = in.flag();
  out.ended_count = in.number();
  out.request = in.any();
  out.piggyback = in.piggyback();
  return out;
}

json LeaseGrant::encode() const {
  json c, ends = json::array();
  if (change)
    c = {change->id,      change->proposed_by, change->base_version,
         change->wall_ms, change->text,        has_change_text};
  for (const Outcome& o : outcomes) ends.push_back(fleet::encode(o));
  json out = {leader,      via,
              to,          incarnation,
              number,      leader_term,
              timestamp,   static_cast<uint64_t>(lease_duration),
              version,     digest,
              id,          text ? json(*text) : json(nullptr),
              c,           pending_change_id,
              ended_count, ends,
              voters,      list_of(waiting_for)};
  if (!piggyback.empty()) out.push_back(encode_bytes(piggyback));
  return out;
}

LeaseGrant LeaseGrant::decode(const json& from) {
  Fields in(from);
  LeaseGrant out;
  out.leader = in.text(kMaxNameSize);
  out.via = in.text(kMaxNameSize);
  out.to = in.text(kMaxNameSize);
  out.incarnation = in.number();
  out.number = in.number();
  out.leader_term = in.number();
  out.timestamp = in.number();
  const uint64_t duration = in.number();
  require(duration <= 3600u * kSecond);
  out.lease_duration = static_cast<Time>(duration);
  out.version = in.number();
  out.digest = in.number();
  out.id = in.text(kMaxIdBytes);
  if (const json& text = in.any(); !text.is_null()) out.text = decode_text(text, kMaxPolicyBytes);
  if (const json& c = in.any(); !c.is_null()) out.change = decode_change(Fields(c), out.has_change_text);
  out.pending_change_id = in.text(kMaxIdBytes);
  out.ended_count = in.number();
  for (const json& o : in.any()) out.outcomes.push_back(decode_outcome(o));
  for (const json& v : in.any()) out.voters.insert(decode_text(v, kMaxNameSize));
  for (const json& w : in.any()) {
    out.waiting_for.emplace_back(decode_text(at(w, 0), kMaxNameSize), decode_text(at(w, 1), kMaxReasonBytes));
  }
  out.piggyback = in.piggyback();
  require(out.outcomes.size() <= PolicyLog::kMaxOutcomes && out.waiting_for.size() <= kMaxWaitingFor + 1);
  return out;
}

}  // namespace umberhoist::fleet
