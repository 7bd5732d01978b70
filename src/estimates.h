// Building blocks of the policy's estimates: time units, random numbers, latencies, rates and token buckets.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "firspool/settings.h"

namespace firspool::detail {

constexpr Time kMs = 1000;
constexpr Time kSecond = 1000 * kMs;
constexpr Time kNever = std::numeric_limits<Time>::max();

constexpr double kSampleWeight = 0.15;       // of a new sample in a moving average
constexpr Time kInitialLatency = 400 * kMs;  // assumed until a served call was measured
// A call is suspiciously slow past mean + kSuspiciousDeviations * deviation, and past kMinSuspiciousAge.
constexpr double kSuspiciousDeviations = 6;
constexpr Time kMinSuspiciousAge = 700 * kMs;
constexpr Time kRateMemory = 10 * kSecond;  // time constant of DecayingRate

inline double seconds(Time t) { return static_cast<double>(t) / 1e6; }
inline Time micros(double s) { return static_cast<Time>(std::ceil(std::min(s, 1e9) * 1e6)); }

class Random {  // splitmix64: the same sequence on every platform, so that runs can be replayed
 public:
  explicit Random(uint64_t seed) : state_(seed) {}
  Time between(Time low, Time high) {
    uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return low + static_cast<Time>((z ^ (z >> 31)) % static_cast<uint64_t>(high - low + 1));
  }

 private:
  uint64_t state_;
};

// Moving averages of the latency of served calls and of its absolute deviation, in seconds.
struct Latency {
  double mean = seconds(kInitialLatency);
  double deviation = seconds(kInitialLatency) / 2;
  int samples = 0;

  void add(double took) {
    const double weight = std::max(kSampleWeight, 1.0 / ++samples);
    deviation += weight * (std::abs(took - mean) - deviation);
    mean += weight * (took - mean);
  }
  // The age past which a call without an answer is suspected to be lost.
  Time suspicious_age() const {
    return std::max(kMinSuspiciousAge, micros(mean + kSuspiciousDeviations * deviation));
  }
};

// Exponentially decaying rate: events a second over about the last kRateMemory.
struct DecayingRate {
  double rate = 0;
  Time updated_at = 0;

  double per_second(Time now) const {
    return rate * std::exp(-seconds(now - updated_at) / seconds(kRateMemory));
  }
  void add(Time now) {
    rate = per_second(now) + 1 / seconds(kRateMemory);
    updated_at = now;
  }
};

struct TokenBucket {
  double tokens = 0;
  Time refilled_at = 0;

  void refill(Time now, double rate, double burst) {
    tokens = std::min(burst, tokens + rate * seconds(now - refilled_at));
    refilled_at = now;
  }
  // When the next token is there; refill() first.
  Time ready(Time now, double rate) const {
    return tokens >= 1 ? now : now + std::max<Time>(1, micros((1 - tokens) / std::max(rate, 1e-6)));
  }
};

}  // namespace firspool::detail
