// Actions: what Policy::step asks its caller to carry out.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

#include "firspool/events.h"

namespace firspool {

// Starts an attempt. The caller answers with exactly one AttemptEnded, at the latest with kTimeout after
// `timeout`.
struct Send {
  uint64_t id = 0;
  Endpoint endpoint;
  Time timeout = 0;
  Time start_by = std::numeric_limits<Time>::max();  // the first byte must be written by then, or none at all
};

// Why a message is refused. The outer names in the metrics are: time, attempts, queue, places, disk.
enum class Reason {
  kDeadline,         // no attempt could be answered before the message's deadline
  kNoAttemptsLeft,   // max_attempts is reached, or the message's effect allows no repeat
  kQueueTooLong,     // the messages ahead of it take longer than it has left
  kTooManyMessages,  // max_open is reached
  kStorageFull       // the caller cannot store it
};

struct Refuse {  // ends the message; the client may safely retry it
  uint64_t id = 0;
  Time retry_after = 0;
  Reason reason = Reason::kDeadline;
};

struct Fail {  // ends the message without a guarantee: it may or may not have been executed
  uint64_t id = 0;
};

struct Cancel {
  uint64_t id = 0;
  int attempt = 0;
};

struct Probe {  // the caller answers with exactly one ProbeEnded
  Endpoint endpoint;
};

struct CloseIdle {  // closes an idle connection to the endpoint
  Endpoint endpoint;
};

struct SetTimer {  // the caller answers with one TimerFired of this token at time `at`
  uint64_t token = 0;
  Time at = 0;
};

struct WatchList {};  // subscribes to the list of endpoints

struct BroadcastToPeers {
  std::string bytes;
};

struct Log {
  std::string text;
};

struct SaveSnapshot {  // replaces the stored snapshot of the destination
  DestinationSnapshot snapshot;
};

struct EndpointsAvoided {  // how many listed endpoints get no calls now: draining, failing, or in an outage
  size_t count = 0;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdle, SetTimer, WatchList,
                            BroadcastToPeers, Log, SaveSnapshot, EndpointsAvoided>;

}  // namespace firspool
