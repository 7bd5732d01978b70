// Connections: which idle ones are still used, and which endpoints are passed over for a while.
#pragma once

#include "state.h"

namespace firspool::detail {

constexpr Time kKeepRegain = 30 * kSecond;  // the age at which an idle connection is trusted doubles so fast
constexpr int kKeepCut = 3;                 // that age, in parts of the age at which a call on one was lost
constexpr double kFullTable = 0.05;         // more calls without a connection: idle ones fill the tables
constexpr double kStaleAbove = 0.2;    // calls on idle connections fail by so much more than on fresh ones
constexpr Time kAvoidLeast = kSecond;  // a failing endpoint is passed over for so long, doubled up to
constexpr Time kAvoidMost = 8 * kSecond;

class Connections {
 public:
  explicit Connections(State& state) : s_(state) {}

  bool needs_new(const Host& host) const {
    return host.calls >= host.conns * s_.set.streams_per_conn || s_.now - host.last_used > keep();
  }

  // For a call that starts now. Returns how long its connection has been idle; 0: fresh or busy.
  Time open(Host& host) {
    const bool fresh = needs_new(host);
    const Time idle = s_.now - std::exchange(host.last_used, s_.now);
    if (fresh) {
      if (host.calls == 0 && host.conns > 0) close_idle(host);
      host.conns = host.calls / std::max(1, s_.set.streams_per_conn) + 1;
    }
    return host.calls == 0 && !fresh ? idle : 0;
  }

  // Idle ones can be dropped unseen: where calls on them are lost more than on fresh ones, the age shrinks.
  void learn(Outcome outcome, const Attempt& attempt, Kind& k, Lane& l) {
    // Of a destination that is down no call is connected: only where another is served next a table was full.
    if (outcome == Outcome::kConnectFailed && l.out_since == 0) ++l.unconnected;
    if (outcome == Outcome::kOk) {
      for (; l.unconnected > 0; --l.unconnected) k.unconnected += kGain * (1 - k.unconnected);
      k.unconnected *= 1 - kFullTable / 2;
    }
    if (outcome != Outcome::kOk && outcome != Outcome::kReset && outcome != Outcome::kTimeout) return;
    double& share = attempt.idle == 0 ? lost_ : stale_;
    share += kGain * ((outcome == Outcome::kOk ? 0 : 1) - share);
    if (outcome == Outcome::kOk || attempt.idle == 0 || stale_ < lost_ + kStaleAbove) return;
    keep_ = std::min(keep(), std::max(attempt.idle / kKeepCut, s_.set.tick));
    keep_at_ = s_.now;
  }

  // Closes what is idle where the tables of its kind are full.
  void spare(Host& host, const Kind& k) {
    if (host.calls == 0 && k.unconnected > kFullTable) close_idle(host);
  }

  void avoid(Host& host) const {
    host.avoid_until = s_.now + std::min(kAvoidMost, kAvoidLeast << std::min(host.fails, 3));
    ++host.fails;
    host.conns = 0;
    s_.avoided_counted = false;
  }

 private:
  // The age up to which an idle connection is used.
  Time keep() const {
    const Time since = s_.now - std::max(keep_at_, s_.started);
    const double grown = seconds(keep_) * std::exp2(seconds(since) / seconds(kKeepRegain));
    return std::min(s_.set.conn_idle, micros(grown));
  }

  void close_idle(Host& host) {
    s_.tell(CloseIdle{host.member.endpoint});
    host.conns = 0;
  }

  State& s_;
  double stale_ = 0;  // share of calls on idle connections that broke or got no answer
  double lost_ = 0;   // and of calls on fresh ones
  Time keep_ = kSecond * 3600;
  Time keep_at_ = std::numeric_limits<Time>::min();
};

}  // namespace firspool::detail
