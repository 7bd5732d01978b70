// What a divider shows: figures, and its state for audits and the model checker.
#include <xxhash.h>

#include <algorithm>

#include "division.h"

namespace umberhoist::fleet {

Divider::Counts Divider::counts() const {
  Counts out = counts_;
  out.budgets = budgets_.size();
  for (const auto& [name, lives] : relays_) {
    for (const Life& life : lives) {
      out.out += static_cast<uint64_t>(
          std::ranges::count_if(life.shares, [](const auto& entry) { return entry.second.most > 0; }));
    }
  }
  return out;
}

uint64_t Divider::fingerprint(Time now) const {
  uint64_t out = 7;
  const auto mix = [&](auto v) { out = XXH64(&v, sizeof v, out); };
  const auto time = [&](Time t) { mix(t <= now || t == kNever ? Time{t == kNever} : 2 + (t - now) / kMs); };
  const auto past = [&](Time t) { mix(t < 0 ? -1 : (now - t) / kMs); };
  mix(reign_);
  time(clear_);
  for (const auto& [name, lives] : relays_) {
    for (const Life& life : lives) {
      mix(life.id);
      mix(life.live);
      mix(life.fresh);
      past(life.heard);
      time(life.over);
      mix(life.words);
      mix(life.base);
      for (const Given& given : life.out) mix(given.number);
      for (const auto& [budget, s] : std::map(life.shares.begin(), life.shares.end())) {
        mix(budget);
        for (const double v : {s.told_whole, s.per_s, s.held, s.held_whole, s.last, s.most, s.due}) mix(v);
      }
    }
  }
  return out;
}

}  // namespace umberhoist::fleet
