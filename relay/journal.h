// What was accepted, on disk: an append-only file of checksummed records that outlasts the process.
//
// Promised: where a call answers true, its record is read by the next start, whatever fails or is killed
// after it; where it answers false, it is not, but for ends and proofs that an attempt never ran, which a
// later compaction may still write. AppendFile has the order of failures.
#pragma once

#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "append_file.h"
#include "journal_records.h"
#include "place.h"

namespace firspool::relay {

class Journal {
 public:
  // Reads what is there, and goes on behind its last whole record. Throws DiskFault where the file cannot be
  // opened or read. Where it cannot be written, what was read is owed all the same, and nothing new is
  // accepted. `end_room`: bytes that an end may need more, as it carries an outcome.
  Journal(Place place, size_t most_file, Clock clock = instant_now, size_t end_room = 0,
          Disk& disk = system_disk());

  // What was there at the start, in the order in which it was taken on; once.
  std::vector<Recovered> recovered() { return std::exchange(recovered_, {}); }

  int place() const { return place_.number(); }
  // One file's size; while it is compacted there are two.
  void limit(size_t most_file);
  // Compacts a last time; returns the size that the one file will not exceed. Another process has the rest.
  size_t freeze();
  // A message's records, as adopt() reads them.
  std::string records(const std::string& id) const;
  struct Adopted {
    std::vector<Recovered> taken;         // written here
    std::vector<Recovered> without_room;  // for which this file has no room
    std::vector<Recovered> unwritten;     // could not be written now: the same bytes are to be adopted again
  };
  // Takes over another process's records, but for messages that are here already or are to be skipped. Facts
  // only where they are newer.
  Adopted adopt(std::string_view bytes, const std::set<std::string>& skip = {});
  // The outcomes that ends carried, in the file as it was at the start (once) or in other records.
  std::vector<Ended> ended() { return std::exchange(ended_, {}); }
  std::vector<Ended> ended_in(std::string_view bytes) const { return JournalContent(bytes, clock_()).ended; }
  // Of all outcomes only these are to be kept.
  void keep_ended(const std::vector<Ended>& ended);
  // Outcomes up to this one are in their log: they need no keeping here.
  void logged(uint64_t number);
  // Writes ends that could not be written. False: there are some still.
  bool catch_up();
  // The messages in records, without taking them over.
  std::vector<Recovered> read(std::string_view bytes) const;

  // What was remembered last under each name. One of them is the list's revision.
  static constexpr const char* kRevision = "revision";
  const std::map<std::string, std::string>& remembered() const { return remembered_; }

  // What a compaction would keep, with what is set aside for the records to come.
  size_t live_bytes() const { return live_bytes_ + hits_.bytes(); }

  // Whether something of a message is owed still: its end, or only the notice of that.
  bool holds(const std::string& id) const { return places_.contains(id); }
  // Whether a message would find room now.
  bool has_room(const Handed& message) const;
  // False: there is no room or it could not be written, and the message must not be taken on.
  bool accepted(const Handed& message);
  // False: it could not be written, and must not be answered as denied.
  bool denied(const umberhoist::access::Decision& verdict);
  const JournalHits& hits() const { return hits_; }
  void keep_hits(const umberhoist::access::RuleKeys& in_force) { hits_.keep(in_force); }
  // Sent now. False: it could not be written, and the call must not start.
  bool attempt(const std::string& id, int number, int zone);
  void never_ran(const std::string& id, int number);
  // With an outcome, false says that it is not on disk yet; a later end or catch_up() writes it.
  bool owed(const Notice& notice, const Ended* ended = nullptr);
  bool done(const std::string& id, const Ended* ended = nullptr);
  // A fact beside the messages; the last value of a name counts, an empty one forgets it. On disk there is
  // none without all those before it: one that could not be written goes first, with the next fact or
  // compaction.
  void remember(const std::string& name, const std::string& value);

 private:
  // For a message's attempts and its end, beside those that are written.
  static constexpr size_t kReserve = 384;

  void keep_fact(const std::string& name, const std::string& value);
  void restate(const Recovered& entry);
  bool adopt(const JournalContent::Entry& entry);
  bool counts();
  void keep(const Ended& ended);
  bool fits(size_t bytes) const;
  bool append(const std::string& id, const std::string& record);
  bool write(std::string_view bytes);
  bool compact();

  Disk& disk_;
  Place place_;
  std::filesystem::path path_;
  std::filesystem::path fresh_path_;
  size_t most_file_;
  Clock clock_;
  size_t reserve_;  // for a message's attempts and its end
  bool frozen_ = false;
  AppendFile file_;
  size_t live_bytes_ = 0;
  uint64_t order_ = 0;
  std::map<std::string, uint64_t> places_;    // live messages, in the order they came
  std::map<uint64_t, std::string> live_;      // and their records as written
  std::map<uint64_t, std::string> unlogged_;  // outcomes that are not in their log yet, as records
  std::string unwritten_;                     // ends with outcomes that could not be written
  std::vector<Ended> ended_;
  std::vector<Recovered> recovered_;
  std::map<std::string, std::string> remembered_;
  JournalHits hits_;
  bool facts_owed_ = false;  // one could not be written yet
  bool hits_owed_ = false;   // what was added of another file could not be written yet
};

}  // namespace firspool::relay
