// What a journal takes over from another process's.
#include "journal.h"

namespace firspool::relay {

Journal::Adopted Journal::adopt(std::string_view bytes, const std::set<std::string>& skip) {
  const Instant now = clock_();
  JournalContent content(bytes, now);
  const auto revision = [](const std::map<std::string, std::string>& facts) {
    const auto it = facts.find(kRevision);
    return it == facts.end() ? -1 : std::stoll(it->second);
  };
  if (revision(content.facts) > revision(remembered_)) {
    for (const auto& [name, value] : content.facts) remember(name, value);
  }
  Adopted out;
  for (auto& [place_there, entry] : content.messages) {
    const std::string& id = entry.what.message.id;
    if (places_.contains(id) || skip.contains(id)) continue;
    if (adopt(entry)) {
      if (entry.told.boot != now.boot) restate(entry.what);
      out.taken.push_back(std::move(entry.what));
    } else if (live_bytes() + entry.records.size() > most_file_) {
      out.without_room.push_back(std::move(entry.what));
    } else {
      out.unwritten.push_back(std::move(entry.what));
    }
  }
  if (hits_.fold(content.hits)) {
    hits_owed_ = true;
    (void)counts();
  }
  return out;
}

bool Journal::adopt(const JournalContent::Entry& entry) {
  const std::string& id = entry.what.message.id;
  places_[id] = ++order_;
  live_[order_] = entry.records_elsewhere();
  if (!write(live_[order_])) {
    live_.erase(order_);
    places_.erase(id);
    return false;
  }
  live_bytes_ += live_[order_].size() + reserve_;
  return true;
}

std::vector<Recovered> Journal::read(std::string_view bytes) const {
  JournalContent content(bytes, clock_());
  std::vector<Recovered> out;
  for (auto& [place_there, entry] : content.messages) out.push_back(std::move(entry.what));
  return out;
}

}  // namespace firspool::relay
