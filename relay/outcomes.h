// The outcomes of this folder's messages: each has its number before its message ends, is in the journal's
// record of that end, and is appended to the log of the journal's place right after it.
//
// Promised: an outcome is in the log only if its end is in the journal; what a crash or a full disk kept out
// of the log is appended from the journal later (at the next end, each second, or at the start). The other
// place's log, of a process before or beside this one, is read only; it is completed when its journal is
// taken over.
// Bounds: each place's log has half of feeds.disk_share of disk_mb. Without room in the log, ends wait in the
// journal and count there.
#pragma once

#include <deque>
#include <map>

#include "config.h"
#include "feed_files.h"
#include "journal.h"

namespace firspool::relay {

class Outcomes {
 public:
  // `place`: of this process's journal. Throws DiskFault where a log cannot be read; one that cannot be
  // written waits.
  Outcomes(const Config& config, int place);

  // The outcome of a message that ends now, for the journal's record of it.
  Ended end(const Handed& handed, umberhoist::feeds::Answer answer);
  // All that end() gave is in the journal: appends. Returns the last number that needs no keeping there.
  uint64_t append();
  // From the journal of this place, at the start. Returns those that wait, and need keeping there.
  std::vector<Ended> complete(const std::vector<Ended>& ended);
  // From that of the other place, which is this process's now.
  void complete_other(const std::vector<Ended>& ended);

  void retune(const Config& config);
  void trim();
  // This place's, and the other's as it is now.
  std::vector<const umberhoist::feeds::OutcomeLog*> logs();
  const umberhoist::feeds::OutcomeLog& own() const { return *own_; }
  size_t waiting() const { return waiting_.size(); }

 private:
  void read_other();
  Ended record_of(const umberhoist::feeds::Outcome& outcome) const;
  // Those of the log that it lacks, by number; one that was cut is begun anew.
  static std::map<uint64_t, umberhoist::feeds::Outcome> missing(umberhoist::feeds::OutcomeLog& log,
                                                                const std::vector<Ended>& ended);

  umberhoist::feeds::Limits limits_;
  std::string region_;
  uint64_t fresh_;  // a number for a log that is begun
  FeedFiles own_files_;
  FeedFiles other_files_;
  std::optional<umberhoist::feeds::OutcomeLog> own_;
  std::optional<umberhoist::feeds::OutcomeLog> other_;
  std::pair<std::uintmax_t, std::uintmax_t> other_sizes_;
  std::deque<umberhoist::feeds::Outcome> waiting_;  // to be appended
};

// Of the disk, what the logs and the voters' records of feeds may take.
size_t feed_disk(const Config& config);
constexpr size_t kEndRoom = 768;  // of a record that ends a message with its outcome, kept twice at most

}  // namespace firspool::relay
