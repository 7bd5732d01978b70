#include "hit_message.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "../fleet/decoding.h"

namespace umberhoist::access {
namespace {

using nlohmann::json;
using namespace fleet;

constexpr uint64_t kVersion = 1;
constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxTextBytes = 64 * 1024;
constexpr uint64_t kMaxAge = uint64_t{1} << 52;  // microseconds; must allow the age of kNeverComplete

json optional_to_json(const std::optional<uint64_t>& value) { return value ? json(*value) : json(); }

std::optional<uint64_t> optional_of(const json& value) {
  return value.is_null() ? std::nullopt : std::optional(decode_uint(value));
}

Origin origin_of(const json& list) {
  Origin out{decode_text(at(list, 0), kMaxNameBytes), decode_uint(at(list, 1))};
  require(!out.relay.empty());
  return out;
}

Time age_of(const json& value) {
  require(decode_uint(value) <= kMaxAge);
  return static_cast<Time>(value.get<uint64_t>());
}

}  // namespace

uint64_t position_of(const RuleKey& key) {
  return XXH64(key.customer.data(), key.customer.size(), XXH64(key.id.data(), key.id.size(), key.digest));
}

// Includes the CBOR headers of strings and arrays.
size_t max_encoded_bytes(const RuleKey& key) { return 1 + 2 + key.id.size() + 9 + 9; }

size_t max_encoded_customer_bytes(const RuleKey& key) { return 5 + key.customer.size() + 5; }

size_t max_encoded_bytes(const HitMessage::Digest& digest) { return 3 + digest.origin.relay.size() + 5 * 9; }

std::string encode(const HitMessage& message) {
  json digests = json::array(), chunks = json::array();
  for (const auto& d : message.digests) {
    digests.push_back({d.origin.relay, d.origin.folder_id, d.total, d.digest, static_cast<uint64_t>(d.age),
                       optional_to_json(d.resume_after)});
  }
  for (const auto& c : message.chunks) {
    json rules = json::object();
    for (const auto& [key, count] : c.counts) rules[key.customer].push_back({key.id, key.digest, count});
    chunks.push_back({c.origin.relay, c.origin.folder_id, c.total, static_cast<uint64_t>(c.age),
                      optional_to_json(c.after), optional_to_json(c.resume_after), rules});
  }
  return to_cbor({kVersion, static_cast<unsigned>(message.kind), digests, chunks});
}

HitMessage decode(std::string_view bytes) {
  const json root = from_cbor(bytes);
  require(decode_uint(at(root, 0)) == kVersion && root.size() == 4);
  HitMessage out;
  const uint64_t kind = decode_uint(root[1]);
  require(kind >= 1 && kind <= 3 && root[2].is_array() && root[3].is_array());
  out.kind = static_cast<HitMessage::Kind>(kind);
  for (const json& d : root[2]) {
    require(d.is_array() && d.size() == 6);
    out.digests.push_back(
        {origin_of(d), decode_uint(d[2]), decode_uint(d[3]), age_of(d[4]), optional_of(d[5])});
  }
  for (const json& c : root[3]) {
    require(c.is_array() && c.size() == 7 && c[6].is_object());
    HitMessage::Chunk chunk{origin_of(c),      decode_uint(c[2]), age_of(c[3]),
                            optional_of(c[4]), optional_of(c[5]), {}};
    for (const auto& [customer, rules] : c[6].items()) {
      require(customer.size() <= kMaxTextBytes && rules.is_array());
      for (const json& r : rules) {
        RuleKey key{customer, decode_text(at(r, 0), kMaxIdBytes), decode_uint(at(r, 1))};
        chunk.counts.emplace_back(std::move(key), decode_uint(at(r, 2)));
      }
    }
    out.chunks.push_back(std::move(chunk));
  }
  return out;
}

}  // namespace umberhoist::access
