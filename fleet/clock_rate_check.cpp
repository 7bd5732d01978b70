#include "clock_rate_check.h"

#include "agreement_settings.h"

namespace umberhoist::fleet {
namespace {

constexpr Time kMaxReferenceAge = 600 * kSecond;

}  // namespace

bool ClockRateCheck::add_round_trip(Time sent, Time received, uint64_t term, uint64_t timestamp) {
  const bool reset = reference_.term != term || received - reference_.received > kMaxReferenceAge ||
                     timestamp < reference_.timestamp;
  if (reset) {
    reference_ = {term, timestamp, sent, received};
    return !out_of_bounds_;
  }
  const Time remote_elapsed = static_cast<Time>(timestamp - reference_.timestamp);
  const Time min_elapsed = sent - reference_.received, max_elapsed = received - reference_.sent;
  out_of_bounds_ = remote_elapsed > max_elapsed + max_elapsed / kInverseDriftBound + kMs ||
                   remote_elapsed + remote_elapsed / kInverseDriftBound + kMs < min_elapsed;
  return !out_of_bounds_;
}

}  // namespace umberhoist::fleet
