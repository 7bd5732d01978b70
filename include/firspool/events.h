// Events: what happened since the last step, as the caller passes it to Policy::step.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "firspool/route_table.h"
#include "firspool/settings.h"

namespace firspool {

struct Endpoint {  // one address of a destination; opaque to the module, which returns it unchanged
  uint32_t address = 0;
  uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

enum class Listing { kReady, kDraining, kGone };

struct Member {
  Endpoint endpoint;
  Listing listing = Listing::kReady;
  int zone = 0;
  int kind = 0;
  int destination = 0;
  double weight = 1;
};

struct MembersChanged {
  enum class Form { kDelta, kFull, kFailed };
  Form form = Form::kFull;
  std::shared_ptr<const std::vector<Member>> members;  // may be null when the form is kFailed
};

struct MessageReceived {
  uint64_t id = 0;
  int message_class = 0;
  int tenant = 0;
  uint64_t key = 0;  // of a class in order: messages with the same key go one at a time; 0: no key
  Time due = 0;
  int destination = 0;
  std::shared_ptr<const MessageRules> rules;  // null: the current settings of message_class
  // The history of a message that is resumed after a restart. Its attempts are counted on from `attempts`.
  bool resumed = false;
  int attempts = 0;
  bool maybe_executed = false;      // an attempt may have executed it
  Time maybe_executed_sent_at = 0;  // when the first such attempt was sent
  int maybe_executed_zone = 0;
  bool needs_backoff = false;  // its last attempt may have ended just now, so a repeat backs off first
  std::shared_ptr<const RouteTable> routes;  // null: all routes are allowed
  bool storage_available = true;             // false: the caller cannot store it, and it is refused
  bool holds_order = false;  // after it is refused or failed, it blocks its key until MessageReleased
};

enum class Outcome {
  kOk,
  kError,
  kFull,
  kTimeout,
  kConnectFailed,
  kReset,
  kCancelled,
  kNotForwarded,  // an intermediary did not pass the call on; counts as an attempt
  kNotSent        // the caller itself could not send it; not counted, and its attempt number is used again
};

struct AttemptEnded {
  uint64_t id = 0;
  int attempt = 0;  // counted from 0 in the order of the message's Sends
  Endpoint endpoint;
  Outcome outcome = Outcome::kError;
  bool final = false;  // the message is finished
  Time took = 0;
  Time retry_after = 0;       // with kFull: the wait that the endpoint asked for; 0: none
  std::vector<float> report;  // load report of the endpoint, indexed as Settings::report_* say
};

struct ProbeEnded {
  Endpoint endpoint;
  bool ok = false;
  Time took = 0;
  std::vector<float> report;
};

// Nothing is pending for the message any more. If its MessageReceived set holds_order and the module has
// refused or failed it, the next message of its key may go now.
struct MessageReleased {
  uint64_t id = 0;
  uint64_t key = 0;
};

struct TimerFired {
  uint64_t token = 0;
};

struct PeerMessage {
  int from = 0;
  std::string bytes;
};

// The learned state of a destination that outlives a restart. SaveSnapshot hands it to the caller, which
// passes it back after a restart, before any message. Outages of independent endpoints are not included.
struct DestinationSnapshot {
  int destination = 0;
  int tokens = 0;            // of the retry token bucket, in fractions of a token as the module counts them
  Time outage_since = 0;     // 0: no outage
  Time recovered_since = 0;  // 0: still in outage
  double served_rate = 0;    // calls of this relay served a second before the outage
  bool operator==(const DestinationSnapshot&) const = default;
};

// Replaces the settings; messages already received keep the rules they arrived under.
struct SettingsChanged {
  Settings settings;
};

// Another process of this relay received a retry-after, which binds this process as one in AttemptEnded does.
struct RetryAfterReceived {
  int destination = 0;
  Endpoint endpoint;  // only of independent endpoints, else left empty
  Time until = 0;
};

struct ShuttingDown {  // this process ends at `at`: no call starts that may still be in flight then
  Time at = 0;
};

using Event = std::variant<MembersChanged, MessageReceived, AttemptEnded, ProbeEnded, MessageReleased,
                           TimerFired, PeerMessage, ShuttingDown, DestinationSnapshot, SettingsChanged,
                           RetryAfterReceived, ShareGranted>;

}  // namespace firspool
