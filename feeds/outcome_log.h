// The log of one origin: outcomes of all customers, appended, numbered from 1 without holes.
//
// Two files of records (fleet/records): the back, which is appended to, and the front, which was the back
// before. Each begins with a head: format, the log's number, the number of its first outcome, and for each
// customer the last number before it. The front goes as a whole, when the back would be over half of the
// limit and takes its place, or when all in it is older than the age. So an outcome is kept for half of the
// limit at least and for the age at least, whichever is over first, and for twice that at most.
//
// Promised: append() is whole or not at all; what is read was appended as it is. A torn end is cut off (its
// append was not answered). trimmed_of() is, for each customer, the last number that is gone. A back that is
// corrupt or lacks its head is another log from then on (a number drawn anew): nothing is guessed.
// Not promised: what the machine had not written to disk when its power went.
// Bounds: `bytes` on disk; in memory 16 bytes an outcome; kMostCustomers in a head (of those beyond, all that
// is before the head counts as trimmed).
#pragma once

#include <string_view>
#include <vector>

#include "outcome.h"
#include "reconcile.h"

namespace umberhoist::feeds {

constexpr size_t kMostCustomers = 1024;

// The files; whoever has them does what is said here, and false where it could not be done.
class LogFiles {
 public:
  enum class Part { kFront, kBack };
  virtual ~LogFiles() = default;
  virtual std::string read(Part part) = 0;  // all of it; empty: it is not there
  virtual std::string read(Part part, size_t offset, size_t length) = 0;
  virtual bool append(std::string_view bytes) = 0;  // to the back: all, or nothing is left there
  virtual void cut(size_t size) = 0;                // the back: nothing behind this size is there any more
  virtual bool begin(std::string_view head) = 0;    // the back is this, at once
  virtual bool promote() = 0;                       // the back takes the front's place, and is gone
  virtual bool drop_front() = 0;
};

struct Limits {
  size_t bytes = 0;
  int64_t age_ms = 0;
};

struct Slice {
  std::vector<Outcome> outcomes;
  uint64_t through = 0;  // nothing more of the customer up to here
};

class OutcomeLog {
 public:
  // `fresh`: the number of the log, should one be begun here. `writes` false: another process's, only read,
  // as it was at this moment; number() is 0 where there is none.
  OutcomeLog(LogFiles& files, Limits limits, uint64_t fresh, bool writes = true);

  uint64_t number() const { return number_; }
  uint64_t last() const { return next_ - 1; }
  uint64_t next() const { return next_; }
  // `outcome.number` is next(). False: it could not be written, and is to be appended again.
  bool append(const Outcome& outcome, int64_t now_ms);
  void trim(int64_t now_ms);
  // Another log from now on: this one was found to be cut.
  void begin_anew(uint64_t fresh);
  void limit(Limits limits) { limits_ = limits; }

  // Of a customer, of these regions (none: all), above `after`: at most so many, and bytes (one at least).
  Slice read(const std::string& customer, const std::vector<std::string>& regions, uint64_t after,
             size_t most, size_t most_bytes) const;
  uint64_t trimmed_of(const std::string& customer) const;
  uint64_t first() const { return front_first_; }  // held
  Log log_of(const std::string& customer) const { return {number_, trimmed_of(customer), last()}; }
  size_t bytes() const { return front_size_ + back_size_; }

 private:
  struct Entry {
    uint64_t number = 0;
    uint32_t offset = 0;  // of the record's body
    uint32_t length = 0;
  };
  struct Head;

  bool load_front();
  bool load_back();
  void take(const std::vector<std::string>& bodies, int64_t& oldest, int64_t& newest);
  void note(const Outcome& outcome, size_t offset, size_t length);
  void forget();
  bool begin_back();
  bool rotate();
  void forget_front();
  std::string head() const;

  LogFiles* files_;
  Limits limits_;
  bool writes_;
  uint64_t number_ = 0;
  uint64_t next_ = 1;
  uint64_t front_first_ = 1;  // of what is held
  uint64_t back_first_ = 1;
  size_t front_size_ = 0;
  size_t back_size_ = 0;  // 0: there is none
  int64_t front_newest_ms_ = 0;
  int64_t back_oldest_ms_ = 0;
  int64_t back_newest_ms_ = 0;
  std::map<std::string, uint64_t> trimmed_;  // up to front_first_
  uint64_t others_ = 0;                      // and of customers that are not in it
  std::map<std::string, std::vector<Entry>> index_;
};

}  // namespace umberhoist::feeds
