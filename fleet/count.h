// For how many relays each one counts: the even parts of limits, quotas and paces are the whole divided by
// this.
//
// Follows a view upwards at once, and downwards slowly: one less each `hold`, and only while the view has
// held less for that long and shows a majority of the configured names alive. At most one side of a split can
// do so. In a minority it stays as it was.
//
// Bound: with n configured, m of them in the majority's view: its parts sum to at most the whole; those of
// the n - m others, while they go on taking part at their old count of at most n, to at most (n - m) / n of
// it, under a half. Where they stop after `hold` (a fence), the sum never is over the whole, as the majority
// waits that long before its first step. Cost of a wrong step down (one that was only cut off): until it is
// seen again, 1/n over the whole.
#pragma once

#include "machine.h"

namespace umberhoist::fleet {

class Count {
 public:
  // `configured` at least 1; `hold` above 0.
  Count(int configured, Time hold) : configured_(configured), hold_(hold), now_(configured) {}

  // What a view shows alive, this relay among them. Answers whether the count has changed.
  bool see(Time now, int live);
  void configure(int configured);
  int value() const { return now_; }

 private:
  int configured_;
  Time hold_;
  int now_;
  Time less_since_ = kNever;
};

}  // namespace umberhoist::fleet
