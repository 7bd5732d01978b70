// The moments of a call's connection, and what a call is that ends in one of them without a whole answer.
#pragma once

#include "firspool/attempt_end.h"
#include "own_want.h"

namespace firspool::relay {

enum class Moment {
  kConnecting,    // no byte of the request is written, and it may yet be held back
  kWriting,       // the kernel has part of it at most, never its last byte
  kAwaitingHead,  // the kernel has all of it
  kReadingBody,   // the answer's head was read
  kOver           // it is settled, and its connection closed or in the pool
};

enum class Break {
  kConnection,  // it was refused, reset or ended, or its answer cannot be read
  kOwnWant,     // this process got no descriptor, port or buffer for it
  kTimeout,
  kCancelled
};

// says_200: the answer's first line is there and says 200, which is true whatever becomes of the rest.
constexpr Outcome outcome_of(Moment moment, Break how, bool says_200) {
  if (moment == Moment::kConnecting || moment == Moment::kWriting) {
    return how == Break::kOwnWant ? Outcome::kNotSent : Outcome::kConnectFailed;
  }
  if (says_200) return Outcome::kOk;
  if (moment == Moment::kReadingBody || how == Break::kConnection || how == Break::kOwnWant) {
    return Outcome::kReset;
  }
  return how == Break::kTimeout ? Outcome::kTimeout : Outcome::kCancelled;
}

// How a failed call of a socket's breaks a connection: by the host or the way to it, or by our own want.
inline Break break_by(const boost::system::error_code& error) {
  return is_own_want(error) ? Break::kOwnWant : Break::kConnection;
}

}  // namespace firspool::relay
