// How a voter whose folder was emptied comes to hold again what it may have promised, and how it helps
// others.
#include <algorithm>

#include "register.h"

namespace umberhoist::feeds {
namespace {

constexpr size_t kMostPage = 256 * 1024;

}  // namespace

void Register::start(Time now) {
  for (const std::string& voter : settings_.voters) {
    if (voter != settings_.name) announcing_.insert(voter);
  }
  if (recovering_) settle();
  if (!announcing_.empty()) ask(now);
}

void Register::woke(Time now) {
  if (now < next()) return;
  // One that had lost what it held may have it again.
  std::erase_if(peers_, [](const auto& entry) { return entry.second.done && !entry.second.whole; });
  ask(now);
}

// Also where nothing is to be read: what the others know of this folder.
void Register::ask(Time now) {
  again_at_ = now + settings_.again;
  for (const std::string& voter : settings_.voters) {
    if (voter == settings_.name) continue;
    const bool reads = recovering_ && !peers_[voter].done;
    if (reads || announcing_.contains(voter)) {
      out_.push_back(Send{voter, encode(Pull{folder_, reads ? peers_[voter].after : Feed{}})});
    }
  }
}

void Register::heard(const std::string& from, const Pull& m) {
  auto& known = folders_[from];
  if (std::ranges::find(known, m.folder) == known.end()) keep({kFormat, kOther, from, m.folder});
  if (known.empty()) folders_.erase(from);
  Page page{m.folder, m.after, !recovering_, {}, false};
  size_t bytes = 0;
  for (auto it = held_.upper_bound(m.after); it != held_.end(); ++it) {
    if (bytes > kMostPage) {
      page.more = true;
      break;
    }
    bytes += 64 + 40 * it->second.positions.size();
    page.held.insert(*it);
  }
  out_.push_back(Send{from, encode(page)});
}

void Register::heard(const std::string& from, const Page& m) {
  if (m.folder != folder_) return;
  announcing_.erase(from);
  if (!recovering_) return;
  Peer& peer = peers_[from];
  if (peer.done || m.after != peer.after) return;
  peer.held.insert(m.held.begin(), m.held.end());
  peer.whole = m.whole && (peer.whole || m.after == Feed{});
  if (m.more && !m.held.empty()) {
    peer.after = m.held.rbegin()->first;
    return;
  }
  peer.done = true;
  settle();
}

// Enough of the others were read: what they hold is what this one holds.
void Register::settle() {
  const size_t others = settings_.voters.size() - 1;
  const auto done = std::ranges::count_if(peers_, [](const auto& p) { return p.second.done; });
  const auto whole =
      std::ranges::count_if(peers_, [](const auto& p) { return p.second.done && p.second.whole; });
  if (static_cast<size_t>(whole) < others / 2 + 1 && static_cast<size_t>(done) < others) return;
  for (const auto& [name, peer] : peers_) {
    if (!peer.done) continue;
    for (const auto& [feed, theirs] : peer.held) {
      Held& mine = held_[feed];
      mine.promised = std::max(mine.promised, theirs.promised);
      if (std::pair(mine.accepted, mine.turn) < std::pair(theirs.accepted, theirs.turn)) {
        mine.accepted = theirs.accepted;
        mine.turn = theirs.turn;
        mine.positions = theirs.positions;
      }
    }
  }
  peers_.clear();
  recovering_ = false;
  keep_whole();
}

}  // namespace umberhoist::feeds
