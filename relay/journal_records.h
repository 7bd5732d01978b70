// The journal's records: how each is written, and what those of a file come to. A record is framed by its
// length and checksum; one that is torn or does not match ends what is read.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "journal_hits.h"
#include "message.h"

namespace firspool::relay {

struct Recovered {
  Handed message;  // its budget and all times here are on this process's steady clock
  int attempts = 0;
  std::map<int, std::pair<Time, int>> unsettled;  // attempts that may have run: when sent, to which zone
  std::optional<Notice> owed;
  std::string verdict;  // its customer's rules', as it was written; empty: it has none
};

// The outcome that a message's end carries where feeds are on: its number in the log, and what feeds make of
// it.
struct Ended {
  uint64_t number = 0;
  std::string part;
};

// Each a whole record, to be appended as it is.
namespace record {

// Its rules are not null. `counted`: the number of the file that counts its verdict, where it has one.
std::string accepted(const Handed& message, const Instant& now, uint64_t counted);
std::string attempt(const std::string& id, int number, int zone, const Instant& now);
std::string never_ran(const std::string& id, int number);
// With the outcome, if there is one: not a byte more without.
std::string owed(const Notice& notice, const Ended* ended = nullptr);
std::string done(const std::string& id, const Ended* ended = nullptr);
std::string ended(const Ended& ended);  // alone: a compaction keeps it so; earlier versions skip it
std::string fact(const std::string& name, const std::string& value);
// A budget taken over from another boot, on the clock of this one; earlier versions skip it.
std::string restated(const std::string& id, const Instant& now, Time due);
// Of rules; earlier versions skip both.
std::string denied(const umberhoist::access::Decision& verdict);
std::string hits(const JournalHits& totals);

}  // namespace record

// What a file's records come to: the messages that are not over, with their records as written, and facts.
class JournalContent {
 public:
  struct Entry {
    Recovered what;
    std::string records;
    Instant told;  // when its budget was written, and its end on that clock
    Time due = 0;
    std::map<int, Instant> sent;
    size_t counted_at = 0;  // in the records: which file counted its verdict; 0: it has none

    // For another file than the one that counted it.
    std::string records_elsewhere() const;
  };
  size_t whole = 0;  // bytes of whole records; a process killed while it wrote leaves a torn one at the end
  std::map<uint64_t, Entry> messages;  // in the order in which they came
  std::map<std::string, std::string> facts;
  JournalHits hits;
  std::vector<Ended> ended;  // all outcomes, as they were written

  // Throws std::runtime_error where a whole record is none of the journal's.
  JournalContent(std::string_view bytes, const Instant& now);

 private:
  void apply(std::string_view record);
  void latest(const Instant& seen);
  Time told_here(const Instant& then, const Instant& now) const;
  void tell_times(Entry& entry, const Instant& now) const;

  uint64_t order_ = 0;
  std::map<std::string, uint64_t> places_;
  std::map<uint64_t, Instant> latest_;  // by boot: bounded by the boots whose messages are still open
};

}  // namespace firspool::relay
