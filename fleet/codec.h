// Datagrams of the view: CBOR (RFC 8949) by the library, at most kMostDatagram bytes, the protocol's version
// and the cluster's name first. What does not read as one is a Fault, and nothing of it is used. Datagrams
// are not authenticated: docs/fleet-view.md says what a liar on the network could do.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "machine.h"

namespace umberhoist::fleet {

constexpr size_t kMostDatagram = 1400;
constexpr uint64_t kProtocol = 1;
constexpr uint64_t kMostIncarnation = uint64_t{1} << 48;  // one refutation a second for nine million years
constexpr size_t kBuckets = 16;                           // of the view's digest

// In the order in which one replaces another of the same incarnation.
enum class State : uint8_t { kUnknown, kAlive, kSuspect, kDead, kLeft };
constexpr std::array<const char*, 5> kStateNames = {"unknown", "alive", "suspect", "dead", "left"};

struct Update {  // what is said of one member
  std::string name;
  State state = State::kUnknown;
  uint64_t incarnation = 0;
  std::string by;           // who suspects it
  std::string version;      // of an alive one's program
  uint64_t started_ms = 0;  // by its own wall clock; for people only
  bool operator==(const Update&) const = default;
};

enum class Kind : uint8_t {
  kPing = 1,
  kAck = 2,
  kPingFor = 3,  // ping `target`, and pass its answer on
  kNack = 4,     // it has not answered the one that was asked yet
  kCompare = 5,  // the digests of the sender's view by bucket: answered with records where they differ
  kRecords = 6,  // records, in the updates; answered with those that are newer
  kNews = 7      // nothing but updates
};

struct Packet {
  std::string cluster;
  Kind kind = Kind::kPing;
  Update self;  // the sender: name, state, incarnation, version, start
  uint64_t number = 0;
  std::string target;
  uint64_t digest = 0;  // of the sender's view
  std::vector<uint64_t> buckets;
  std::vector<Update> updates;
};

enum class Fault { kTooLong, kMalformed, kVersion, kCluster };
constexpr std::array<const char*, 4> kFaultNames = {"too_long", "malformed", "version", "cluster"};

std::string encode(const Packet& packet);
// At most this many bytes of a datagram for one update.
size_t room_of(const Update& update);
// And for the rest of one.
size_t room_of_head(const Packet& packet);

std::variant<Packet, Fault> decode(std::string_view bytes, const std::string& cluster);

}  // namespace umberhoist::fleet
