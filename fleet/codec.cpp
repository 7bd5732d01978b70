#include "codec.h"

#include "reading.h"

namespace umberhoist::fleet {
namespace {

using nlohmann::json;

json packed(const Update& u) {
  json out = json::array({u.name, static_cast<unsigned>(u.state), u.incarnation});
  if (u.state == State::kSuspect) out.push_back(u.by);
  if (u.state == State::kAlive) {
    out.push_back(u.version);
    out.push_back(u.started_ms);
  }
  return out;
}

std::string name_of(const json& value) { return text_of(value, kMostName); }

Update unpacked(const json& from) {
  want(from.is_array() && from.size() >= 3);
  Update out;
  out.name = name_of(from[0]);
  const uint64_t state = number_of(from[1]);
  want(!out.name.empty() && state >= 1 && state <= 4);
  out.state = static_cast<State>(state);
  out.incarnation = number_of(from[2]);
  want(out.incarnation <= kMostIncarnation);
  const bool alive = out.state == State::kAlive;
  want(from.size() == (alive ? 5u : out.state == State::kSuspect ? 4u : 3u));
  if (out.state == State::kSuspect) out.by = name_of(from[3]);
  if (alive) {
    out.version = name_of(from[3]);
    out.started_ms = number_of(from[4]);
  }
  return out;
}

}  // namespace

size_t room_of(const Update& u) {
  return u.name.size() + u.by.size() + u.version.size() + 2 * 3 + 1 + 9 + 9 + 1;
}

size_t room_of_head(const Packet& p) {
  return 24 + p.cluster.size() + p.target.size() + room_of(p.self) + 3 * 9 + 9 * p.buckets.size();
}

std::string encode(const Packet& p) {
  json updates = json::array();
  for (const Update& u : p.updates) updates.push_back(packed(u));
  const json whole = {kProtocol,      p.cluster, static_cast<unsigned>(p.kind),
                      packed(p.self), p.number,  p.target,
                      p.digest,       p.buckets, updates};
  return to_cbor(whole);
}

std::variant<Packet, Fault> decode(std::string_view bytes, const std::string& cluster) {
  if (bytes.size() > kMostDatagram) return Fault::kTooLong;
  try {
    const json whole = from_cbor(bytes);
    if (number_of(at(whole, 0)) != kProtocol) return Fault::kVersion;
    want(whole.size() == 9);
    Packet out;
    out.cluster = name_of(whole[1]);
    if (out.cluster != cluster) return Fault::kCluster;
    const uint64_t kind = number_of(whole[2]);
    want(kind >= 1 && kind <= 7);
    out.kind = static_cast<Kind>(kind);
    out.self = unpacked(whole[3]);
    want(out.self.state == State::kAlive || out.self.state == State::kLeft);
    out.number = number_of(whole[4]);
    out.target = name_of(whole[5]);
    out.digest = number_of(whole[6]);
    want(whole[7].is_array() && (whole[7].empty() || whole[7].size() == kBuckets));
    want(out.kind != Kind::kCompare || whole[7].size() == kBuckets);
    for (const json& bucket : whole[7]) out.buckets.push_back(number_of(bucket));
    want(whole[8].is_array());
    for (const json& update : whole[8]) out.updates.push_back(unpacked(update));
    return out;
  } catch (const Bad&) {
    return Fault::kMalformed;
  }
}

}  // namespace umberhoist::fleet
