// Messages of the spread of hit counts: CBOR by the library. What does not read throws fleet::Bad.
#pragma once

#include <vector>

#include "spread.h"

namespace umberhoist::access {

struct SpreadMessage {
  enum class Kind : uint8_t { kAsk = 1, kAnswer = 2, kEnd = 3 };
  struct Digest {
    Origin origin;
    uint64_t total = 0;
    uint64_t digest = 0;
    Time age = 0;
    std::optional<uint64_t> resume;
  };
  struct Piece {
    Origin origin;
    uint64_t total = 0;
    Time age = 0;
    std::optional<uint64_t> from;  // what lies behind this place; none: from the part's start
    std::optional<uint64_t> more;  // it ends with this place, and there is more
    std::vector<std::pair<RuleKey, uint64_t>> counts;
  };
  Kind kind = Kind::kAsk;
  std::vector<Digest> digests;
  std::vector<Piece> pieces;
};

// A rule's place in the order in which parts are told.
uint64_t place_of(const RuleKey& key);
// At most so many bytes, in a message; a piece names a customer once.
size_t room_of(const RuleKey& key);
size_t room_of_customer(const RuleKey& key);
size_t room_of(const SpreadMessage::Digest& digest);
constexpr size_t kPieceRoom = 64 + 64;  // beside its counts

std::string encode(const SpreadMessage& message);
SpreadMessage decode(std::string_view bytes);

}  // namespace umberhoist::access
