// Wire format of the membership protocol: CBOR (RFC 8949) of at most kMaxDatagramSize bytes, starting with
// the protocol version and the name of the cluster. A datagram that cannot be decoded gives a PacketError and
// is dropped as a whole. Datagrams are not authenticated: docs/fleet-view.md describes what an attacker on
// the network could do.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "state_machine.h"

namespace umberhoist::fleet {

constexpr size_t kMaxDatagramSize = 1400;
constexpr uint64_t kProtocolVersion = 1;
// Enough for one refutation per second for nine million years.
constexpr uint64_t kMaxIncarnation = uint64_t{1} << 48;
constexpr size_t kDigestBuckets = 16;  // digests of parts of a view, see PacketType::kDigests

// In ascending precedence: of two updates with the same incarnation the later state wins.
enum class State : uint8_t { kUnknown, kAlive, kSuspect, kDead, kLeft };
constexpr std::array<const char*, 5> kStateNames = {"unknown", "alive", "suspect", "dead", "left"};

// A member's state as claimed by some member.
struct Update {
  std::string name;
  State state = State::kUnknown;
  uint64_t incarnation = 0;
  std::string suspected_by;  // only for kSuspect: the member that suspects it
  std::string version;       // only for kAlive: version of its program
  uint64_t started_ms = 0;   // only for kAlive: start by its own wall clock; also distinguishes two runs
  bool operator==(const Update&) const = default;
};

enum class PacketType : uint8_t {
  kPing = 1,
  kAck = 2,
  kPingRequest = 3,  // asks the receiver to ping `target` and to forward its ack
  kNack = 4,         // the target of a kPingRequest has not answered yet
  kDigests = 5,  // digest of each bucket of the sender's view; answered with the records of those that differ
  kRecords = 6,  // records of a view, in `updates`; answered with those that the receiver has newer
  kGossip = 7    // only updates
};

struct Packet {
  std::string cluster;
  PacketType type = PacketType::kPing;
  Update sender;                  // the sender's own state
  uint64_t sequence_number = 0;   // pairs pings with acks; kRecords: 0 asks for no answer
  std::string target;             // kPingRequest: the member to ping
  uint64_t digest = 0;            // of the sender's view, see Membership::digest()
  std::vector<uint64_t> buckets;  // kDigests: kDigestBuckets digests; otherwise empty
  std::vector<Update> updates;
};

// Named "too_long", "malformed", "version" and "cluster" in METRICS.
enum class PacketError { kTooLong, kMalformed, kOtherVersion, kOtherCluster };
constexpr std::array<const char*, 4> kPacketErrorNames = {"too_long", "malformed", "version", "cluster"};

std::string encode(const Packet& packet);
// Upper bound of the encoded size of one update.
size_t max_encoded_size(const Update& update);
// Upper bound of the encoded size of a packet without its updates.
size_t max_encoded_header_size(const Packet& packet);

// Packets of other clusters than `cluster` are an error.
std::variant<Packet, PacketError> decode(std::string_view bytes, const std::string& cluster);

}  // namespace umberhoist::fleet
