#include "rate_check.h"

#include "agreement_settings.h"

namespace umberhoist::fleet {
namespace {

constexpr Time kReanchor = 600 * kSecond;

}  // namespace

bool RateCheck::agree(Time sent, Time heard, uint64_t term, uint64_t stamp) {
  const bool fresh = anchor_.term != term || heard - anchor_.heard > kReanchor || stamp < anchor_.stamp;
  if (fresh) {
    anchor_ = {term, stamp, sent, heard};
    return !off_;
  }
  const Time theirs = static_cast<Time>(stamp - anchor_.stamp);
  const Time least = sent - anchor_.heard, most = heard - anchor_.sent;
  off_ = theirs > most + most / kDriftOne + kMs || theirs + theirs / kDriftOne + kMs < least;
  return !off_;
}

}  // namespace umberhoist::fleet
