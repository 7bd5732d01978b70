// Which of the signals that ask for something (SIGTERM, SIGINT, SIGHUP) are delivered now. They are blocked
// outside the event loop, where their default action would end the process: one that comes in the meantime is
// pending, and handled as soon as the loop runs.
#pragma once

#include <signal.h>

#include <chrono>

namespace firspool::relay {

inline sigset_t signals_to_end() {
  sigset_t out;
  sigemptyset(&out);
  sigaddset(&out, SIGTERM);
  sigaddset(&out, SIGINT);
  return out;
}

inline sigset_t control_signals() {
  sigset_t out = signals_to_end();
  sigaddset(&out, SIGHUP);
  return out;
}

// For the calling thread and those that it starts.
inline void block_control_signals() {
  const sigset_t all = control_signals();
  ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

// Delivers them as long as it lives.
class DeliveredSignals {
 public:
  DeliveredSignals() {
    const sigset_t all = control_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &all, nullptr);
  }
  ~DeliveredSignals() { block_control_signals(); }
  DeliveredSignals(const DeliveredSignals&) = delete;
  DeliveredSignals& operator=(const DeliveredSignals&) = delete;
};

// Waits, with the signals blocked. True: the process was asked to end.
inline bool asked_to_end_within(std::chrono::milliseconds pause) {
  const sigset_t ends = signals_to_end();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(pause);
  const std::chrono::nanoseconds rest = pause - seconds;
  const timespec time{static_cast<time_t>(seconds.count()), static_cast<long>(rest.count())};
  return ::sigtimedwait(&ends, nullptr, &time) > 0;
}

}  // namespace firspool::relay
