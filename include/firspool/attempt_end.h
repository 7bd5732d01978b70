// Whether an attempt with a given outcome may have executed its message. Both the module and its caller use
// this table.
#pragma once

#include "firspool/events.h"

namespace firspool {

enum class Execution {
  kNever,  // certain: the endpoint did not begin it, so a repeat is the first execution
  kMaybe,  // it may have been executed, or may still be
  kDone    // it was executed
};

constexpr Execution execution_after(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return Execution::kDone;
    case Outcome::kFull:           // the endpoint rejected it
    case Outcome::kConnectFailed:  // its last byte was not written
    case Outcome::kNotForwarded:   // the intermediary did not pass it on
    case Outcome::kNotSent:        // the caller did not send it
      return Execution::kNever;
    case Outcome::kError:
    case Outcome::kTimeout:
    case Outcome::kReset:
    case Outcome::kCancelled:
      return Execution::kMaybe;
  }
  return Execution::kMaybe;
}

}  // namespace firspool
