// Where a subscriber goes on: the one decision about what it shows, what the fleet remembers and what the
// origins hold. A pure function.
//
// For each origin (its number taken: t; what its log holds: above `trimmed` for this customer, up to `last`):
//
//   case                                          | start        | said                  | remembered from
//   now on nothing shown                                 | remembered   |                       | as it was
//   shown ahead of remembered (an ack was lost)   | shown        |                       | shown
//   shown behind remembered (the subscriber went  | shown: sent  |                       | as it was: never
//   back
//     back), or it does not name the origin       |   again      |                       |
//   ahead in one origin, behind in another        | each by itself
//   a log that is not shown nor remembered        | 0            |                       |
//   trimmed past t                                | trimmed      | gap t+1..trimmed      |
//   emptied since: its relay answers and holds    | none         | gap t+1.. (end not    | kept until the
//   subscriber
//     other logs, this one no more                |              |   known), gone        |   acknowledges
//     without it
//     (an origin that is remembered and not shown |              | from 1                |
//     has t = 0)                                  |              |                       |
//   ahead of the log's end (a folder rolled back) | t, not read  | refused, rolled_back  | as it was
//   its relay does not answer                     | t            | missing, unreachable  |
//   its relay is not in the view                  | t            | missing, left         |
//   more than kMostOrigins: those that left go    | none         | gap t+1.., left       |
//   cursor of another customer or cluster, malformed, of a newer build: Fault, nothing else is decided
//
// Promised: never silent: a number above t that will not be given lies in a gap, or its origin is named as
// missing or refused. A gap's bounds may hold numbers of other customers: they bound what is lost.
// Not promised: a rolled back folder that has written past t before anybody asks cannot be told from a whole
// one.
#pragma once

#include <optional>
#include <vector>

#include "cursor.h"

namespace umberhoist::feeds {

struct Log {  // as its relay tells
  uint64_t number = 0;
  uint64_t trimmed = 0;  // this customer's outcomes up to this one are gone
  uint64_t last = 0;     // of all customers
  bool operator==(const Log&) const = default;
};
// Each relay of the view with its logs; nothing: it did not answer.
using Holdings = std::map<std::string, std::optional<std::vector<Log>>>;

enum class Why { kTrimmed, kGone, kLeft, kUnreachable, kRolledBack };
const char* text_of(Why why);

struct Gap {
  Origin origin;
  uint64_t from = 0;
  std::optional<uint64_t> to;  // nothing: not known
  Why why = Why::kTrimmed;
  bool operator==(const Gap&) const = default;
};
struct Missing {
  Origin origin;  // log 0: of a relay of which no log is known
  Why why = Why::kUnreachable;
  bool operator==(const Missing&) const = default;
};

struct Start {
  Positions positions;   // go on behind these
  Positions remembered;  // from now on, until something is acknowledged
  std::vector<Gap> gaps;
  std::vector<Missing> missing;  // unreachable, left or rolled back
};

// Go on from these positions: also between two batches, when an origin was trimmed or emptied meanwhile.
Start settle(const Positions& taken, const Holdings& holdings);

// `shown`: the text of a cursor, if the subscriber shows one. Throws Fault of kCursorFaults.
Start reconcile(const std::optional<std::string>& shown, const std::string& cluster, const Feed& feed,
                const Positions& remembered, const Holdings& holdings);

}  // namespace umberhoist::feeds
