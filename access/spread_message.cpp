#include "spread_message.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "../fleet/decoding.h"

namespace umberhoist::access {
namespace {

using nlohmann::json;
using namespace fleet;

constexpr uint64_t kVersion = 1;
constexpr size_t kMostName = 64;
constexpr size_t kMostText = 64 * 1024;
constexpr uint64_t kMostAge = uint64_t{1} << 52;

json packed(const std::optional<uint64_t>& value) { return value ? json(*value) : json(); }

std::optional<uint64_t> optional_of(const json& value) {
  return value.is_null() ? std::nullopt : std::optional(decode_uint(value));
}

Origin origin_of(const json& list) {
  Origin out{decode_text(at(list, 0), kMostName), decode_uint(at(list, 1))};
  require(!out.relay.empty());
  return out;
}

Time age_of(const json& value) {
  require(decode_uint(value) <= kMostAge);
  return static_cast<Time>(value.get<uint64_t>());
}

}  // namespace

uint64_t place_of(const RuleKey& key) {
  return XXH64(key.customer.data(), key.customer.size(), XXH64(key.id.data(), key.id.size(), key.digest));
}

// With the heads of texts and lists.
size_t room_of(const RuleKey& key) { return 1 + 2 + key.id.size() + 9 + 9; }

size_t room_of_customer(const RuleKey& key) { return 5 + key.customer.size() + 5; }

size_t room_of(const SpreadMessage::Digest& d) { return 3 + d.origin.relay.size() + 5 * 9; }

std::string encode(const SpreadMessage& m) {
  json digests = json::array(), pieces = json::array();
  for (const auto& d : m.digests) {
    digests.push_back(
        {d.origin.relay, d.origin.number, d.total, d.digest, static_cast<uint64_t>(d.age), packed(d.resume)});
  }
  for (const auto& p : m.pieces) {
    json rules = json::object();
    for (const auto& [key, count] : p.counts) rules[key.customer].push_back({key.id, key.digest, count});
    pieces.push_back({p.origin.relay, p.origin.number, p.total, static_cast<uint64_t>(p.age), packed(p.from),
                      packed(p.more), rules});
  }
  return to_cbor({kVersion, static_cast<unsigned>(m.kind), digests, pieces});
}

SpreadMessage decode(std::string_view bytes) {
  const json whole = from_cbor(bytes);
  require(decode_uint(at(whole, 0)) == kVersion && whole.size() == 4);
  SpreadMessage out;
  const uint64_t kind = decode_uint(whole[1]);
  require(kind >= 1 && kind <= 3 && whole[2].is_array() && whole[3].is_array());
  out.kind = static_cast<SpreadMessage::Kind>(kind);
  for (const json& d : whole[2]) {
    require(d.is_array() && d.size() == 6);
    out.digests.push_back(
        {origin_of(d), decode_uint(d[2]), decode_uint(d[3]), age_of(d[4]), optional_of(d[5])});
  }
  for (const json& p : whole[3]) {
    require(p.is_array() && p.size() == 7 && p[6].is_object());
    SpreadMessage::Piece piece{origin_of(p),      decode_uint(p[2]), age_of(p[3]),
                               optional_of(p[4]), optional_of(p[5]), {}};
    for (const auto& [customer, rules] : p[6].items()) {
      require(customer.size() <= kMostText && rules.is_array());
      for (const json& r : rules) {
        RuleKey key{customer, decode_text(at(r, 0), kMostId), decode_uint(at(r, 1))};
        piece.counts.emplace_back(std::move(key), decode_uint(at(r, 2)));
      }
    }
    out.pieces.push_back(std::move(piece));
  }
  return out;
}

}  // namespace umberhoist::access
