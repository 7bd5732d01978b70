// Messages between the hit replicators of two relays, in CBOR. decode() throws fleet::DecodeError if one is
// malformed.
#pragma once

#include <vector>

#include "hit_replicator.h"

namespace umberhoist::access {

struct HitMessage {
  enum class Kind : uint8_t { kRequest = 1, kResponse = 2, kFinal = 3 };
  struct Digest {
    Origin origin;
    uint64_t total = 0;
    uint64_t digest = 0;
    Time age = 0;
    std::optional<uint64_t> resume_after;
  };
  struct Chunk {
    Origin origin;
    uint64_t total = 0;
    Time age = 0;
    std::optional<uint64_t> after;         // starts after this position; empty: at the first rule
    std::optional<uint64_t> resume_after;  // ends at this position, with more to come; empty: complete
    std::vector<std::pair<RuleKey, uint64_t>> counts;
  };
  Kind kind = Kind::kRequest;
  std::vector<Digest> digests;
  std::vector<Chunk> chunks;
};

// The position of a rule in the order in which counts are sent.
uint64_t position_of(const RuleKey& key);
// Upper bounds of the encoded size in a message. A chunk contains each customer's name once.
size_t max_encoded_bytes(const RuleKey& key);
size_t max_encoded_customer_bytes(const RuleKey& key);
size_t max_encoded_bytes(const HitMessage::Digest& digest);
constexpr size_t kChunkOverhead = 64 + 64;  // bytes, without its counts

std::string encode(const HitMessage& message);
HitMessage decode(std::string_view bytes);

}  // namespace umberhoist::access
