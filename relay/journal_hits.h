// Which of the customers' rules decided the messages of one journal file, counted by its records.
//
// A file counts under a number of its own, drawn with its first hit. An accepted message's record carries its
// verdict and that number, a denial has a record of its own, and totals replace all that came before them: a
// compaction writes them behind the messages that it keeps. So each hit is in one write with what it counts,
// and a file that is cut off anywhere has the counts of its whole records. Files of one folder add up under
// the folder's number.
//
// Promised: what another file counted is added once, however often it is read: the number of the file that
// was added last stands in the totals. One file is added at a time, and is gone before the next.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

#include "../access/hits.h"

namespace firspool::relay {

class JournalHits {
 public:
  // What a file's records say, in their order.
  void accepted(std::string_view verdict, uint64_t file);
  void denied(std::string_view verdict) { count(verdict); }
  void totals(std::string_view bytes);  // throws Fault where a newer program wrote them

  bool begun() const { return file_ != 0; }
  uint64_t folder() const { return folder_; }  // 0: not begun
  uint64_t file() const { return file_; }
  void begin(uint64_t folder) { *this = begun_in(folder); }

  void add(const umberhoist::access::Decision& verdict) { counts_.add(verdict.customer, verdict.rules); }
  void take_back(const umberhoist::access::Decision& verdict) {
    counts_.undo_add(verdict.customer, verdict.rules);
  }
  void keep(const umberhoist::access::RuleKeys& in_force) { counts_.prune(in_force); }
  // What a process that is gone counted in another file of this folder. False: nothing is new.
  bool fold(const JournalHits& left);

  const umberhoist::access::HitCounts& counts() const { return counts_; }
  std::string packed() const;                                                         // as totals() reads it
  size_t bytes() const { return begun() ? kHead + counts_.max_encoded_bytes() : 0; }  // at most, as a record

 private:
  static constexpr size_t kHead = 128;

  static JournalHits begun_in(uint64_t folder);
  void count(std::string_view verdict);

  uint64_t folder_ = 0;
  uint64_t file_ = 0;
  uint64_t folded_ = 0;  // the file that was added last
  umberhoist::access::HitCounts counts_;
};

// The number of the folder that lasts: drawn once, in a file of its own, and the same for each process. 0: it
// can be neither read nor written.
uint64_t folder_number(const std::filesystem::path& folder);

}  // namespace firspool::relay
