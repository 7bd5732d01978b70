#include "replies.h"

#include <algorithm>

namespace firspool::relay {

std::string Replies::to(const std::string& call) const {
  if (call == "STATUS") {
    const State now = state_();
    if (!now.serving) return "ERR not serving\n";
    return now.fenced.empty() ? "OK serving\n" : "ERR fenced: " + now.fenced + "\n";
  }
  if (call == "METRICS") {
    std::string out = "OK\n" + figures();
    for (const auto& [part, lines] : more_figures_) out += lines();
    return out + "END\n";
  }
  const size_t space = call.find(' ');
  const auto part = parts_.find(call.substr(0, space));
  if (part == parts_.end()) return "ERR unknown call\n";
  return part->second(space == std::string::npos ? "" : call.substr(space + 1));
}

std::string Replies::figures() const {
  const State state = state_();
  const auto& hosts = directory_.hosts();
  const auto listed = std::count_if(hosts.begin(), hosts.end(), [](const auto& entry) {
    return entry.second.member.listing != Listing::kGone;
  });
  Figures::Levels levels;
  levels.in_flight = custody_.held().size();
  levels.known = static_cast<size_t>(listed);
  levels.excluded = state.excluded;
  levels.clients = state.clients;
  levels.calls = upstream_.out();
  levels.notices = custody_.notices().size();
  levels.oldest_notice = custody_.notices().oldest();
  levels.journal = custody_.journal().live_bytes();
  std::map<int, size_t> queues;
  for (const auto& [number, held] : custody_.held()) {
    if (held.out) continue;
    ++levels.queue;
    levels.deepest = std::max(levels.deepest, ++queues[held.handed.destination]);
    levels.oldest_queue = std::max(levels.oldest_queue, steady_now() - held.since);
  }
  return custody_.figures().text(levels);
}

}  // namespace firspool::relay
