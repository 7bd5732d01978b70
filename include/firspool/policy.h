// The public interface of firspool: settings (settings.h), events in (events.h), actions out (actions.h), and
// the class that decides.
//
// Contract of Policy::step: call it once for each batch of events, with a clock that never goes backwards.
// All events of the batch are applied to the state first, then decisions are made once. Actions are appended
// to the vector, which the caller owns. Each received message gets exactly one final answer: an AttemptEnded
// with `final` set, a Refuse or a Fail. A Policy has no thread and no lock: use each object from one thread
// at a time. Misuse (time going backwards, a message id used twice, an unknown class) throws
// std::invalid_argument and does not apply the event.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "firspool/actions.h"
#include "firspool/events.h"
#include "firspool/settings.h"

namespace firspool {

class Policy {
 public:
  Policy(Settings settings, uint64_t seed);
  ~Policy();
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;

  void step(Time now, std::span<const Event> events, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace firspool
