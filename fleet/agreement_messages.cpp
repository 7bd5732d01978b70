#include "agreement_messages.h"

namespace umberhoist::fleet {
namespace {

using nlohmann::json;

class Fields {  // of a list, one after another
 public:
  explicit Fields(const json& list) : list_(list) {}
  const json& any() { return at(list_, next_++); }
  std::string text(size_t most) { return decode_text(any(), most); }
  uint64_t number() { return decode_uint(any()); }
  std::string ride() { return next_ < list_.size() ? decode_bytes(any()) : std::string(); }
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

Change change_of(Fields in, bool& with_text) {
  Change out;
  out.id = in.text(kMostId);
  out.by = in.text(kMaxNameSize);
  out.base = in.number();
  out.wall_ms = in.number();
  out.text = in.text(kMostPolicy);
  with_text = in.flag();
  return out;
}

}  // namespace

json Founding::record() const {
  json list = json::array();
  for (const auto& [name, nonce] : voters) list.push_back({name, nonce});
  return {"founding", id, list};
}

Founding Founding::of(const json& record) {
  Founding out{decode_uint(at(record, 1)), {}};
  for (const json& v : at(record, 2)) {
    out.voters.emplace_back(decode_text(at(v, 0), kMaxNameSize), decode_uint(at(v, 1)));
  }
  return out;
}

json Renew::packed() const {
  json out = {origin,  via,    life,   nonce,  number, program, raft_term, echo_term, echo_stamp,
              version, digest, cannot, answer, no,     leaving, ended,     ask};
  if (!ride.empty()) out.push_back(encode_bytes(ride));
  return out;
}

Renew Renew::of(const json& from) {
  Fields in(from);
  Renew out;
  out.origin = in.text(kMaxNameSize);
  out.via = in.text(kMaxNameSize);
  out.life = in.number();
  out.nonce = in.number();
  out.number = in.number();
  out.program = in.text(kMaxNameSize);
  out.raft_term = in.number();
  out.echo_term = in.number();
  out.echo_stamp = in.number();
  out.version = in.number();
  out.digest = in.number();
  out.cannot = in.text(kMostReason);
  out.answer = in.text(kMostId);
  out.no = in.text(kMostReason);
  out.leaving = in.flag();
  out.ended = in.number();
  out.ask = in.any();
  out.ride = in.ride();
  return out;
}

json Grant::packed() const {
  json c, ends = json::array();
  if (change) c = {change->id, change->by, change->base, change->wall_ms, change->text, change_text};
  for (const Outcome& o : outcomes) ends.push_back(fleet::packed(o));
  json out = {leader,  via,
              to,      life,
              number,  term,
              stamp,   static_cast<uint64_t>(lease),
              version, digest,
              id,      text ? json(*text) : json(nullptr),
              c,       busy,
              ended,   ends,
              voters,  list_of(waiting)};
  if (!ride.empty()) out.push_back(encode_bytes(ride));
  return out;
}

Grant Grant::of(const json& from) {
  Fields in(from);
  Grant out;
  out.leader = in.text(kMaxNameSize);
  out.via = in.text(kMaxNameSize);
  out.to = in.text(kMaxNameSize);
  out.life = in.number();
  out.number = in.number();
  out.term = in.number();
  out.stamp = in.number();
  const uint64_t lease = in.number();
  require(lease <= 3600u * kSecond);
  out.lease = static_cast<Time>(lease);
  out.version = in.number();
  out.digest = in.number();
  out.id = in.text(kMostId);
  if (const json& text = in.any(); !text.is_null()) out.text = decode_text(text, kMostPolicy);
  if (const json& c = in.any(); !c.is_null()) out.change = change_of(Fields(c), out.change_text);
  out.busy = in.text(kMostId);
  out.ended = in.number();
  for (const json& o : in.any()) out.outcomes.push_back(outcome_of(o));
  for (const json& v : in.any()) out.voters.insert(decode_text(v, kMaxNameSize));
  for (const json& w : in.any()) {
    out.waiting.emplace_back(decode_text(at(w, 0), kMaxNameSize), decode_text(at(w, 1), kMostReason));
  }
  out.ride = in.ride();
  require(out.outcomes.size() <= PolicyLog::kMostOutcomes && out.waiting.size() <= kMostWaiting + 1);
  return out;
}

}  // namespace umberhoist::fleet
