#include "journal.h"

#include <fcntl.h>

#include <cerrno>

#include "disk_faults.h"
#include "lasting_file.h"

namespace firspool::relay {
namespace {

constexpr double kAcceptPart = 0.95;  // of the file: the rest is room between two compactions
constexpr size_t kFixed = 224;        // of a message's record, beside its texts
constexpr size_t kLateRoom = 64;      // messages that may still come after the last compaction

}  // namespace

Journal::Journal(Place place, size_t most_file, Clock clock, size_t end_room, Disk& disk)
    : disk_(disk),
      place_(std::move(place)),
      path_(place_.journal()),
      fresh_path_(place_.fresh()),
      most_file_(most_file),
      clock_(std::move(clock)),
      reserve_(kReserve + end_room),
      file_(disk) {
  const int file = disk_.open(path_, O_RDWR | O_CREAT | O_APPEND);
  if (file < 0) throw DiskFault(kFileUnwritable, path_, "cannot be opened", errno);
  file_.begin(file, 0, false);
  const std::string bytes = read_file(path_, disk_);
  const Instant now = clock_();
  JournalContent content(bytes, now);
  // What a process killed in a write left behind the last whole record is cut off before anything is written.
  file_.resume(content.whole, content.whole < bytes.size());
  for (const auto& [name, value] : content.facts) keep_fact(name, value);
  for (const Ended& ended : content.ended) keep(ended);
  ended_ = std::move(content.ended);
  for (auto& [place_there, entry] : content.messages) {
    places_[entry.what.message.id] = ++order_;
    live_bytes_ += entry.records.size() + reserve_;
    live_[order_] = std::move(entry.records);
    if (entry.told.boot != now.boot) restate(entry.what);
    recovered_.push_back(std::move(entry.what));
  }
  hits_ = std::move(content.hits);
}

// Without room for it a later boot counts from the older record once more.
void Journal::restate(const Recovered& entry) {
  const std::string& id = entry.message.id;
  append(id, record::restated(id, clock_(), entry.message.budget.due()));
}

void Journal::limit(size_t most_file) {
  most_file_ = most_file;
  frozen_ = false;
}

size_t Journal::freeze() {
  compact();
  most_file_ = std::min(most_file_, file_.size() + (places_.size() + kLateRoom) * reserve_);
  frozen_ = true;
  return most_file_;
}

std::string Journal::records(const std::string& id) const {
  const auto place = places_.find(id);
  return place == places_.end() ? "" : live_.at(place->second);
}

void Journal::keep_fact(const std::string& name, const std::string& value) {
  const auto old = remembered_.find(name);
  if (old != remembered_.end()) {
    live_bytes_ -= record::fact(name, old->second).size();
    remembered_.erase(old);
  }
  if (value.empty()) return;
  live_bytes_ += record::fact(name, value).size();
  remembered_[name] = value;
}

void Journal::remember(const std::string& name, const std::string& value) {
  const auto old = remembered_.find(name);
  if (value == (old == remembered_.end() ? "" : old->second)) return;
  keep_fact(name, value);
  facts_owed_ = facts_owed_ ? frozen_ || !compact() : !write(record::fact(name, value));
}

bool Journal::has_room(const Handed& m) const {
  const size_t texts = m.id.size() + m.message_class.size() + m.key.size() + m.body.size() + m.tenant.size();
  return fits(texts + kFixed + (m.verdict ? m.verdict->record.size() + kFixed : 0));
}

// With a message of so many bytes, what will follow it included.
bool Journal::fits(size_t bytes) const {
  return static_cast<double>(live_bytes() + bytes + reserve_) <=
         kAcceptPart * static_cast<double>(most_file_);
}

bool Journal::accepted(const Handed& m) {
  if (m.verdict && !counts()) return false;
  const std::string record = record::accepted(m, clock_(), hits_.file());
  if (!fits(record.size())) return false;
  places_[m.id] = ++order_;
  if (m.verdict) hits_.add(*m.verdict);
  if (append(m.id, record)) {
    live_bytes_ += reserve_;
    return true;
  }
  if (m.verdict) hits_.take_back(*m.verdict);
  live_bytes_ -= live_[order_].size();
  live_.erase(order_);
  places_.erase(m.id);
  return false;
}

bool Journal::denied(const umberhoist::access::Decision& verdict) {
  if (!counts()) return false;
  hits_.add(verdict);
  if (write(record::denied(verdict))) return true;
  hits_.take_back(verdict);
  return false;
}

// Whether hits can be counted now: the file has its number, and what was added of another stands in it.
bool Journal::counts() {
  if (hits_.begun() && !hits_owed_) return true;
  const bool fresh = !hits_.begun();
  if (fresh) {
    const uint64_t folder = folder_number(path_.parent_path());
    if (folder == 0) return false;
    hits_.begin(folder);
  }
  if (write(record::hits(hits_))) {
    hits_owed_ = false;
    return true;
  }
  if (fresh) hits_ = {};
  return false;
}

bool Journal::attempt(const std::string& id, int number, int zone) {
  const auto place = places_.find(id);
  if (place == places_.end()) return false;
  const std::string record = record::attempt(id, number, zone, clock_());
  if (append(id, record)) return true;
  std::string& kept = live_[place->second];  // the call does not start: a compaction must not tell of it
  kept.resize(kept.size() - record.size());
  live_bytes_ -= record.size();
  return false;
}

void Journal::never_ran(const std::string& id, int number) { append(id, record::never_ran(id, number)); }

bool Journal::append(const std::string& id, const std::string& record) {
  const auto place = places_.find(id);
  if (place == places_.end()) return false;
  live_[place->second] += record;
  live_bytes_ += record.size();
  return write(record);
}

// The live records already hold what is written here, so a compaction writes it too.
bool Journal::write(std::string_view bytes) {
  if (file_.size() + bytes.size() > most_file_ && !frozen_ && compact()) return true;
  if (file_.size() + bytes.size() > most_file_) return false;
  if (file_.append(bytes)) return true;
  // Nothing can follow a torn end, but a compaction leaves it behind.
  return file_.torn() && !frozen_ && compact();
}

bool Journal::compact() {
  std::string bytes;
  for (const auto& [name, value] : remembered_) bytes += record::fact(name, value);
  for (const auto& [place, records] : live_) bytes += records;
  for (const auto& [number, record] : unlogged_) bytes += record;
  if (hits_.begun()) bytes += record::hits(hits_);
  if (bytes.size() > most_file_) return false;
  if (!file_.replace(path_, fresh_path_, bytes)) return false;
  hits_owed_ = facts_owed_ = false;
  return true;
}

}  // namespace firspool::relay
