#include "membership_codec.h"

#include "decoding.h"

namespace umberhoist::fleet {
namespace {

using nlohmann::json;

json encode_update(const Update& u) {
  json out = json::array({u.name, static_cast<unsigned>(u.state), u.incarnation});
  if (u.state == State::kSuspect) out.push_back(u.suspected_by);
  if (u.state == State::kAlive) {
    out.push_back(u.version);
    out.push_back(u.started_ms);
  }
  return out;
}

std::string decode_name(const json& value) { return decode_text(value, kMaxNameSize); }

Update decode_update(const json& fields) {
  require(fields.is_array() && fields.size() >= 3);
  Update out;
  out.name = decode_name(fields[0]);
  const uint64_t state = decode_uint(fields[1]);
  require(!out.name.empty() && state >= 1 && state <= 4);
  out.state = static_cast<State>(state);
  out.incarnation = decode_uint(fields[2]);
  require(out.incarnation <= kMaxIncarnation);
  const bool alive = out.state == State::kAlive;
  require(fields.size() == (alive ? 5u : out.state == State::kSuspect ? 4u : 3u));
  if (out.state == State::kSuspect) out.suspected_by = decode_name(fields[3]);
  if (alive) {
    out.version = decode_name(fields[3]);
    out.started_ms = decode_uint(fields[4]);
  }
  return out;
}

}  // namespace

size_t max_encoded_size(const Update& u) {
  return u.name.size() + u.suspected_by.size() + u.version.size() + 2 * 3 + 1 + 9 + 9 + 1;
}

size_t max_encoded_header_size(const Packet& p) {
  return 24 + p.cluster.size() + p.target.size() + max_encoded_size(p.sender) + 3 * 9 + 9 * p.buckets.size();
}

std::string encode(const Packet& p) {
  json updates = json::array();
  for (const Update& u : p.updates) updates.push_back(encode_update(u));
  const json fields = {kProtocolVersion,
                       p.cluster,
                       static_cast<unsigned>(p.type),
                       encode_update(p.sender),
                       p.sequence_number,
                       p.target,
                       p.digest,
                       p.buckets,
                       updates};
  return to_cbor(fields);
}

std::variant<Packet, PacketError> decode(std::string_view bytes, const std::string& cluster) {
  if (bytes.size() > kMaxDatagramSize) return PacketError::kTooLong;
  try {
    const json fields = from_cbor(bytes);
    if (decode_uint(at(fields, 0)) != kProtocolVersion) return PacketError::kOtherVersion;
    require(fields.size() == 9);
    Packet out;
    out.cluster = decode_name(fields[1]);
    if (out.cluster != cluster) return PacketError::kOtherCluster;
    const uint64_t type = decode_uint(fields[2]);
    require(type >= 1 && type <= 7);
    out.type = static_cast<PacketType>(type);
    out.sender = decode_update(fields[3]);
    require(out.sender.state == State::kAlive || out.sender.state == State::kLeft);
    out.sequence_number = decode_uint(fields[4]);
    out.target = decode_name(fields[5]);
    out.digest = decode_uint(fields[6]);
    require(fields[7].is_array() && (fields[7].empty() || fields[7].size() == kDigestBuckets));
    require(out.type != PacketType::kDigests || fields[7].size() == kDigestBuckets);
    for (const json& bucket : fields[7]) out.buckets.push_back(decode_uint(bucket));
    require(fields[8].is_array());
    for (const json& update : fields[8]) out.updates.push_back(decode_update(update));
    return out;
  } catch (const DecodeError&) {
    return PacketError::kMalformed;
  }
}

}  // namespace umberhoist::fleet
