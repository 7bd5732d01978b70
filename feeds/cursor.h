// A cursor: for each origin the number of the last outcome taken. Subscribers have it as one opaque text.
//
// An origin is one log of outcomes: the relay's name and the number that was drawn when the log was made, so
// that an emptied folder is another origin. Outcomes of an origin are numbered from 1 without holes.
//
// The text: base64url (RFC 4648, no padding) of XXH64 of the rest (8 bytes, big-endian), then CBOR: a list of
// format, cluster, customer, subscription, generation, and the origins as [relay, log, number].
// Promised: what text_of() wrote is read back the same; any other text is refused with a Fault that names
// why. The check finds accidents, not forgery: a customer who forges a cursor deceives itself about its own
// feed. Bounds: kMostOrigins origins, names of kMostName bytes, so a text of at most kMostText bytes; 25
// bytes an origin with names of 12 (30 relays: under 1 KB; 4 KB hold some 120 origins).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "../include/umberhoist/operator_error.h"

namespace umberhoist::feeds {

inline constexpr ErrorKind kCursorFaults[] = {
    {"cursor_malformed", "show the text exactly as a batch gave it, or open without a cursor"},
    {"cursor_of_newer_build", "ask a relay of the newer program, or finish the upgrade first"},
    {"cursor_of_other_cluster", "show it to the fleet that gave it, or open without a cursor"},
    {"cursor_of_other_feed", "show it for the customer and subscription it was given for"},
};
inline const ErrorKind& kMalformed = kCursorFaults[0];
inline const ErrorKind& kNewerBuild = kCursorFaults[1];
inline const ErrorKind& kOtherCluster = kCursorFaults[2];
inline const ErrorKind& kOtherFeed = kCursorFaults[3];

constexpr size_t kMostOrigins = 512;
constexpr size_t kMostName = 64;
constexpr size_t kMostText = 64 * 1024;
constexpr uint64_t kCursorFormat = 1;

struct Origin {
  std::string relay;
  uint64_t log = 0;
  auto operator<=>(const Origin&) const = default;
};
std::string text_of(const Origin& origin);  // "n1/8f3a...": for people and for the subscriber

// The last number taken of each origin; one that is not there: nothing was taken of it.
using Positions = std::map<Origin, uint64_t>;
uint64_t taken_of(const Positions& positions, const Origin& origin);
// The larger of both for each origin.
Positions merged(Positions a, const Positions& b);

// One customer's subscription, by the names in the policy.
struct Feed {
  std::string customer;
  std::string subscription;
  auto operator<=>(const Feed&) const = default;
};
inline std::string text_of(const Feed& feed) { return feed.customer + "/" + feed.subscription; }

struct Cursor {
  std::string cluster;
  Feed feed;
  uint64_t generation = 0;  // of the session that gave it
  Positions taken;
  bool operator==(const Cursor&) const = default;
};

std::string text_of(const Cursor& cursor);
std::string sealed(std::string_view cbor);  // as a text, with its sum
// Throws Fault of one of kCursorFaults.
Cursor read_cursor(std::string_view text, const std::string& cluster, const Feed& feed);

}  // namespace umberhoist::feeds
