// What the end of an attempt says of the message having run. The module and its caller ask this one table.
#pragma once

#include "firspool/events.h"

namespace firspool {

enum class Ran {
  kNever,  // proven: the endpoint did not begin it, and a repeat is the first run
  kMaybe,  // it may have run, or may yet
  kDone    // it has
};

constexpr Ran ran_after(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return Ran::kDone;
    case Outcome::kFull:           // turned away
    case Outcome::kConnectFailed:  // its last byte was not written
    case Outcome::kMoot:           // not sent, by what passes it on
    case Outcome::kUnsent:         // nor by us
      return Ran::kNever;
    case Outcome::kError:
    case Outcome::kTimeout:
    case Outcome::kReset:
    case Outcome::kCancelled:
      return Ran::kMaybe;
  }
  return Ran::kMaybe;
}

}  // namespace firspool
