#include "cursor.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "positions_codec.h"

namespace umberhoist::feeds {
namespace {

using fleet::DecodeError;
using fleet::require;
using nlohmann::json;

constexpr std::string_view kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr size_t kSum = 8;

std::string base64url(std::string_view bytes) {
  std::string out;
  uint32_t held = 0;
  int bits = 0;
  for (const unsigned char c : bytes) {
    held = (held << 8) | c;
    for (bits += 8; bits >= 6; bits -= 6) out += kLetters[(held >> (bits - 6)) & 63];
  }
  if (bits > 0) out += kLetters[(held << (6 - bits)) & 63];
  return out;
}

std::string from_base64url(std::string_view text) {
  std::string out;
  uint32_t held = 0;
  int bits = 0;
  for (const char c : text) {
    const size_t value = kLetters.find(c);
    require(value != std::string_view::npos);
    held = (held << 6) | static_cast<uint32_t>(value);
    if ((bits += 6) < 8) continue;
    bits -= 8;
    out += static_cast<char>((held >> bits) & 255);
  }
  require(base64url(out) == text);  // one text for each cursor
  return out;
}

std::string sum_of(std::string_view bytes) {
  const uint64_t sum = XXH64(bytes.data(), bytes.size(), 0);
  std::string out;
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>((sum >> shift) & 255);
  return out;
}

std::string where(const Feed& feed) { return "cursor for " + text_of(feed); }

}  // namespace

json json_of(const Positions& positions) {
  json out = json::array();
  for (const auto& [origin, number] : positions) out.push_back({origin.relay, origin.log, number});
  return out;
}

Positions positions_in(const json& value) {
  require(value.is_array() && value.size() <= kMostOrigins);
  Positions out;
  for (const json& item : value) {
    require(item.is_array() && item.size() == 3);
    const Origin origin{fleet::decode_text(item[0], kMostName), fleet::decode_uint(item[1])};
    require(out.emplace(origin, fleet::decode_uint(item[2])).second);
  }
  return out;
}

std::string text_of(const Origin& origin) {
  std::array<char, 20> log{};
  std::snprintf(log.data(), log.size(), "/%016llx", static_cast<unsigned long long>(origin.log));
  return origin.relay + log.data();
}

uint64_t taken_of(const Positions& positions, const Origin& origin) {
  const auto it = positions.find(origin);
  return it == positions.end() ? 0 : it->second;
}

Positions merged(Positions a, const Positions& b) {
  for (const auto& [origin, number] : b) {
    uint64_t& mine = a[origin];
    mine = std::max(mine, number);
  }
  return a;
}

std::string text_of(const Cursor& cursor) {
  const std::string body =
      fleet::to_cbor({kCursorFormat, cursor.cluster, cursor.feed.customer, cursor.feed.subscription,
                      cursor.generation, json_of(cursor.taken)});
  return sealed(body);
}

std::string sealed(std::string_view cbor) { return base64url(sum_of(cbor).append(cbor)); }

Cursor read_cursor(std::string_view text, const std::string& cluster, const Feed& feed) {
  try {
    require(text.size() <= kMostText);
    const std::string bytes = from_base64url(text);
    require(bytes.size() > kSum);
    const std::string_view body = std::string_view(bytes).substr(kSum);
    require(sum_of(body) == bytes.substr(0, kSum));
    const json said = fleet::from_cbor(body);
    const uint64_t format = fleet::decode_uint(fleet::at(said, 0));
    if (format > kCursorFormat) {
      throw OperatorError(kNewerBuild, where(feed),
                          "has format " + std::to_string(format) + ", this program reads up to " +
                              std::to_string(kCursorFormat));
    }
    require(said.size() == 6);
    Cursor out;
    out.cluster = fleet::decode_text(said[1], kMostName);
    out.feed = {fleet::decode_text(said[2], 128), fleet::decode_text(said[3], 128)};
    out.generation = fleet::decode_uint(said[4]);
    out.taken = positions_in(said[5]);
    if (out.cluster != cluster)
      throw OperatorError(kOtherCluster, where(feed), "is of the cluster " + out.cluster);
    if (out.feed != feed) throw OperatorError(kOtherFeed, where(feed), "is of " + text_of(out.feed));
    return out;
  } catch (const DecodeError&) {
    throw OperatorError(kMalformed, where(feed), "does not read");
  }
}

}  // namespace umberhoist::feeds
