// A message's time: one deadline, made where its request was read and asked by every stage after.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

#include "firspool/policy.h"

namespace firspool::relay {

// One instant, as this machine's clocks have it. The steady clock is the same in all processes of one boot
// and cannot be set; the wall clock outlasts the boot, but can be.
struct Instant {
  Time steady = 0;
  Time wall = 0;
  uint64_t boot = 0;  // 0: not known
  bool operator==(const Instant&) const = default;
};
using Clock = std::function<Instant()>;

Instant instant_now();
Time steady_now();  // of the same clock, for the module and time-outs
Time lease_now();   // goes on while the machine is suspended, unlike the steady clock

// Where an instant that was written down lies on the steady clock of `now`. After another boot the wall
// clocks tell how long ago it was; it is never in the future.
Time here(const Instant& then, const Instant& now);

class Budget {
 public:
  // Spans of time longer than this are no budget: sums with them must stay in range.
  static constexpr Time kMost = Time{24} * 3600 * 1'000'000;

  Budget() = default;
  // `given` counts from the client's sending, and the request's last byte was read at `read`.
  static Budget begin(Time read, Time given);
  // With this end on the steady clock, as it was written down.
  static Budget until(Time due) { return Budget(due); }

  Time due() const { return due_; }
  Time left(Time now) const { return std::max<Time>(0, due_ - now); }
  bool over(Time now) const { return now >= due_; }
  // The end of a wait that must not outlast it.
  Time cap(Time at) const { return std::min(at, due_); }

 private:
  explicit Budget(Time due) : due_(due) {}
  Time due_ = 0;
};

// A value of X-Budget, never more than what is left.
std::string budget_text(Time left);

}  // namespace firspool::relay
