// How messages end in the journal, and what it keeps of their outcomes until these are in their log.
#include <limits>

#include "journal.h"

namespace firspool::relay {

bool Journal::owed(const Notice& notice, const Ended* ended) {
  const std::string record = record::owed(notice, ended);
  if (ended == nullptr) return append(notice.id, record);
  if (const auto place = places_.find(notice.id); place != places_.end()) {
    live_[place->second] += record;
    live_bytes_ += record.size();
  }
  keep(*ended);
  unwritten_ += record;
  return catch_up();
}

bool Journal::done(const std::string& id, const Ended* ended) {
  const auto place = places_.find(id);
  if (place == places_.end()) return false;
  live_bytes_ -= live_[place->second].size() + reserve_;
  live_.erase(place->second);
  places_.erase(place);
  if (ended == nullptr) return write(record::done(id));
  keep(*ended);
  unwritten_ += record::done(id, ended);
  return catch_up();
}

void Journal::keep(const Ended& ended) {
  std::string& record = unlogged_[ended.number];
  live_bytes_ -= record.size();
  record = record::ended(ended);
  live_bytes_ += record.size();
}

void Journal::keep_ended(const std::vector<Ended>& ended) {
  logged(std::numeric_limits<uint64_t>::max());
  for (const Ended& one : ended) keep(one);
}

// In their order, so that the numbers on disk have no holes.
bool Journal::catch_up() {
  if (!unwritten_.empty() && !write(unwritten_)) return false;
  unwritten_.clear();
  return true;
}

void Journal::logged(uint64_t number) {
  while (!unlogged_.empty() && unlogged_.begin()->first <= number) {
    live_bytes_ -= unlogged_.begin()->second.size();
    unlogged_.erase(unlogged_.begin());
  }
}

}  // namespace firspool::relay
