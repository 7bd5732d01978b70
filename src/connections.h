// Connections: which idle connections are still used, and which endpoints are avoided for a while.
#pragma once

#include "state.h"

namespace firspool::detail {

// The peer may drop an idle connection unseen. The longest idle time at which one is still used is cut when a
// call on one is lost, to 1 / kIdleCut of the idle time of that connection, and doubles every kIdleDoubling.
constexpr Time kIdleDoubling = 30 * kSecond;
constexpr int kIdleCut = 3;
constexpr double kTableFullRatio = 0.05;  // more calls without a connection: the connection tables are full
constexpr double kIdleLossExcess = 0.2;   // tolerated loss ratio on idle connections above that on new ones
// A failing endpoint is avoided for kMinAvoidance, doubled with each further failure up to kMaxAvoidance.
constexpr Time kMinAvoidance = kSecond;
constexpr Time kMaxAvoidance = 8 * kSecond;

class Connections {
 public:
  explicit Connections(State& state) : s_(state) {}

  bool needs_new(const Host& host) const {
    return host.calls >= host.connections * s_.settings.streams_per_conn ||
           s_.now - host.last_used > max_idle_time();
  }

  // For a call that starts now. Returns how long its connection has been idle; 0: a new one, or one in use.
  Time open(Host& host) {
    const bool opens_new = needs_new(host);
    const Time idle = s_.now - std::exchange(host.last_used, s_.now);
    if (opens_new) {
      if (host.calls == 0 && host.connections > 0) close_idle(host);
      host.connections = host.calls / std::max(1, s_.settings.streams_per_conn) + 1;
    }
    return host.calls == 0 && !opens_new ? idle : 0;
  }

  // Cuts the longest idle time where calls on idle connections are lost more often than on new ones.
  void on_ended(Outcome outcome, const Attempt& attempt, KindEstimates& kind, Circuit& c) {
    // A destination that is down accepts no connection either. Only if a later call is served were the calls
    // before it turned away by a full table.
    if (outcome == Outcome::kConnectFailed && c.outage_since == 0) ++c.connect_failures;
    if (outcome == Outcome::kOk) {
      for (; c.connect_failures > 0; --c.connect_failures)
        kind.connect_failure_ratio += kSampleWeight * (1 - kind.connect_failure_ratio);
      kind.connect_failure_ratio *= 1 - kTableFullRatio / 2;
    }
    if (outcome != Outcome::kOk && outcome != Outcome::kReset && outcome != Outcome::kTimeout) return;
    double& ratio = attempt.connection_idle == 0 ? new_loss_ratio_ : idle_loss_ratio_;
    ratio += kSampleWeight * ((outcome == Outcome::kOk ? 0 : 1) - ratio);
    if (outcome == Outcome::kOk || attempt.connection_idle == 0 ||
        idle_loss_ratio_ < new_loss_ratio_ + kIdleLossExcess)
      return;
    idle_limit_ = std::min(max_idle_time(), std::max(attempt.connection_idle / kIdleCut, s_.settings.tick));
    idle_limit_set_at_ = s_.now;
  }

  // Gives idle connections back where the connection tables of this kind of endpoint are full.
  void close_idle_if_full(Host& host, const KindEstimates& kind) {
    if (host.calls == 0 && kind.connect_failure_ratio > kTableFullRatio) close_idle(host);
  }

  void avoid(Host& host) const {
    host.avoid_until = s_.now + std::min(kMaxAvoidance, kMinAvoidance << std::min(host.fails, 3));
    ++host.fails;
    host.connections = 0;
    s_.avoided_count_valid = false;
  }

 private:
  Time max_idle_time() const {
    const Time since = s_.now - std::max(idle_limit_set_at_, s_.started);
    const double grown = seconds(idle_limit_) * std::exp2(seconds(since) / seconds(kIdleDoubling));
    return std::min(s_.settings.conn_idle, micros(grown));
  }

  void close_idle(Host& host) {
    s_.emit(CloseIdle{host.member.endpoint});
    host.connections = 0;
  }

  State& s_;
  double idle_loss_ratio_ = 0;  // calls on idle connections that were reset or got no answer
  double new_loss_ratio_ = 0;   // the same for new connections
  Time idle_limit_ = kSecond * 3600;
  Time idle_limit_set_at_ = std::numeric_limits<Time>::min();
};

}  // namespace firspool::detail
