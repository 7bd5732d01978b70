#include "session.h"

#include <algorithm>

namespace umberhoist::feeds {
namespace {

// Two that open at once must not outbid each other for ever.
constexpr uint64_t kMostPause = 100;  // ms, times how often it was outbid

}  // namespace

Session::Session(Settings settings, Feed feed, uint64_t number, uint64_t generation)
    : settings_(std::move(settings)), feed_(std::move(feed)), ballot_{generation + 1, number} {}

void Session::enter(Time now, State state) {
  state_ = state;
  began_ = now;
  again_at_ = fleet::kNever;
  yes_.clear();
  no_.clear();
}

void Session::open(Time now) {
  enter(now, State::kPromising);
  ask(now);
}

void Session::begin(Time now, Positions remembered) {
  if (state_ != State::kPromised) return;
  remembered_ = std::move(remembered);
  write(now);
}

void Session::ack(Time now, const Positions& taken) {
  if (state_ != State::kOpen && !(state_ == State::kNoMajority && was_open_)) return;
  remembered_ = merged(std::move(remembered_), taken);
  write(now);
}

void Session::drop(const std::vector<Origin>& gone) {
  for (const Origin& origin : gone) remembered_.erase(origin);
}

void Session::write(Time now) {
  ++turn_;
  enter(now, State::kWriting);
  ask(now);
}

// Those that have not answered; those whose answers do not fit together, again.
void Session::ask(Time now) {
  std::vector<std::string> again;
  for (const auto& [voter, said] : yes_) {
    for (const auto& [other, theirs] : yes_) {
      const auto known = theirs.folders.find(voter);
      if (known == theirs.folders.end() || known->second == said.folder) continue;
      again.push_back(voter);
      again.push_back(other);
    }
  }
  for (const std::string& voter : again) yes_.erase(voter);
  again_at_ = now + settings_.again;
  const Message question = state_ == State::kPromising ? Message(Promise{feed_, ballot_})
                                                       : Message(Write{feed_, ballot_, turn_, remembered_});
  const std::string bytes = encode(question);
  for (const std::string& voter : settings_.voters) {
    if (!yes_.contains(voter)) out_.push_back({voter, bytes});
  }
}

bool Session::counts(const std::string& voter) const {
  const uint64_t folder = yes_.at(voter).folder;
  return std::ranges::all_of(yes_, [&](const auto& entry) {
    const auto known = entry.second.folders.find(voter);
    return known == entry.second.folders.end() || known->second == folder;
  });
}

bool Session::majority() const {
  const auto count = std::ranges::count_if(yes_, [&](const auto& entry) { return counts(entry.first); });
  return static_cast<size_t>(count) > settings_.voters.size() / 2;
}

void Session::received(Time now, const std::string& from, const Said& said) {
  if (std::ranges::find(settings_.voters, from) == settings_.voters.end() || said.feed != feed_) return;
  // A fenced session learns of it by any answer, also by one that comes late.
  if (said.held.promised > ballot_ && said.asked == ballot_ && state_ != State::kPromising) {
    return enter(now, State::kFenced);
  }
  const bool promising = state_ == State::kPromising;
  if (!promising && state_ != State::kWriting) return;
  if (said.asked != ballot_ || said.turn != (promising ? 0 : turn_)) return;
  if (!said.yes) {
    if (said.why.empty() && promising) {  // outbid
      ballot_.generation = std::max(ballot_.generation, said.held.promised.generation) + 1;
      yes_.clear();
      const auto pause = ballot_.session % kMostPause * static_cast<uint64_t>(outbid_++);
      again_at_ = now + static_cast<Time>(pause) * fleet::kMs;
    } else {
      no_[from] = said.why;
    }
    return;
  }
  no_.erase(from);
  yes_[from] = said;
  if (!majority()) return;
  if (!promising) {
    was_open_ = true;
    return enter(now, State::kOpen);
  }
  const Held* newest = nullptr;
  for (const auto& [voter, answer] : yes_) {
    if (!counts(voter)) continue;
    const Held& held = answer.held;
    if (newest == nullptr ||
        std::pair(newest->accepted, newest->turn) < std::pair(held.accepted, held.turn)) {
      newest = &held;
    }
  }
  remembered_ = newest->positions;
  enter(now, State::kPromised);
}

void Session::woke(Time now) {
  if (state_ != State::kPromising && state_ != State::kWriting) return;
  if (now - began_ >= settings_.most) {
    const auto no = no_;
    enter(now, State::kNoMajority);
    no_ = no;
  } else if (now >= again_at_) {
    ask(now);
  }
}

Time Session::next() const {
  if (state_ != State::kPromising && state_ != State::kWriting) return fleet::kNever;
  return std::min(again_at_, began_ + settings_.most);
}

std::string Session::why() const {
  std::string out;
  for (const auto& [voter, said] : no_) out += (out.empty() ? "" : "; ") + voter + ": " + said;
  return out.empty() ? "too few voters answered" : out;
}

}  // namespace umberhoist::feeds
