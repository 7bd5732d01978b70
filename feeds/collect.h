// One read of a subscription over all relays of the view: what each of them holds beyond the positions, put
// together into one batch.
//
// Each relay is asked once for its part. The read is over when all have answered, or those that are waited
// for: `patience` for one that answered the last time, not at all for one that is missing since (it is asked
// all the same: its answer tells that it is back). The batch has the outcomes in the order of the origins,
// and within an origin by number.
//
// Promised: an outcome is given only if all of its origin's before it (of this customer and these regions)
// were taken, are in the batch, or lie in a gap; positions() are behind all that is given and said.
// Bounds: `most` outcomes and `most_bytes` in a batch; each relay is asked for twice its even share.
#pragma once

#include <set>

#include "../fleet/state_machine.h"
#include "messages.h"

namespace umberhoist::feeds {

using fleet::Time;

constexpr size_t kMostBatchBytes = 1024 * 1024;

class Collect {
 public:
  struct Settings {
    std::vector<std::string> relays;  // of the view
    std::set<std::string> missing;    // did not answer the last time
    std::string customer;
    std::vector<std::string> regions;
    uint64_t number = 0;  // of this read
    size_t most = 500;    // 0: only what they hold is asked
    size_t most_bytes = kMostBatchBytes;
    Time patience = 300 * fleet::kMs;
  };
  struct Given {
    Origin origin;
    Outcome outcome;
  };
  struct Batch {
    std::vector<Given> outcomes;
    Start start;  // its positions: behind the batch
  };

  Collect(Time now, Settings settings, Positions taken);

  std::vector<std::pair<std::string, std::string>> asks() const;  // to whom, bytes
  void received(const std::string& from, const Have& have);
  bool done(Time now) const;
  Time next() const { return until_; }
  const std::set<std::string>& heard() const { return heard_; }
  Holdings holdings() const;
  Batch batch() const;

 private:
  void take(Batch& out, const Have::One& one, const Origin& origin, uint64_t& position, size_t& bytes) const;

  Settings settings_;
  Positions taken_;
  Time until_;
  std::set<std::string> heard_;
  std::map<std::string, Have> have_;
};

// An origin's relay's part of the answer.
class OutcomeLog;
Have answer(const Ask& ask, const std::vector<const OutcomeLog*>& logs);

}  // namespace umberhoist::feeds
