// Three registers, two sessions and the messages between them, as a state that can be copied.
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <set>

#include "register.h"
#include "session.h"

namespace umberhoist::feeds {

inline const Feed kFeed{"acme", "billing"};
inline const Origin kOrigin{"n1", 1};
inline const std::vector<std::string> kVoters = {"v0", "v1", "v2"};
constexpr int kSessions = 2;

struct Letter {
  std::string from, to, bytes;
  auto operator<=>(const Letter&) const = default;
};

struct Step {
  enum Kind { kDeliver, kLose, kRepeat, kAgain, kOpen, kAck, kEmpty, kKill } kind;
  size_t a = 0;
  std::string text;
};

class World {
 public:
  explicit World(Register::Plant plant) : plant_(plant) {
    for (size_t i = 0; i < kVoters.size(); ++i) start(i, i + 1);
    while (!flight_.empty()) take({Step::kDeliver, 0, ""});
    for (uint64_t s = 1; s <= kSessions; ++s) sessions_.emplace_back(settings(), kFeed, s);
  }

  std::vector<Step> steps() const {
    std::vector<Step> out;
    for (size_t i = 0; i < flight_.size(); ++i) {
      const std::string name = flight_[i].from + " to " + flight_[i].to;
      out.push_back({Step::kDeliver, i, name + " comes"});
      if (losses > 0) out.push_back({Step::kLose, i, name + " is lost"});
      if (repeats > 0) out.push_back({Step::kRepeat, i, name + " comes, and once more later"});
    }
    for (size_t s = 0; s < sessions_.size(); ++s) {
      const std::string name = "s" + std::to_string(s);
      const Session& session = sessions_[s];
      const bool quiet =
          std::ranges::none_of(flight_, [&](const auto& m) { return m.from == name || m.to == name; });
      if (!begun_[s]) out.push_back({Step::kOpen, s, name + " opens"});
      if (begun_[s] && quiet && session.next() < fleet::kNever)
        out.push_back({Step::kAgain, s, name + " asks again"});
      if (s == 0 && session.state() == Session::State::kOpen && acked_ < 2) {
        out.push_back({Step::kAck, s, name + " acknowledges"});
      }
    }
    for (size_t v = 0; v < voters_.size(); ++v) {
      if (empties > 0) out.push_back({Step::kEmpty, v, kVoters[v] + " is emptied"});
      if (kills > 0) out.push_back({Step::kKill, v, kVoters[v] + " is killed and starts"});
    }
    return out;
  }

  void take(const Step& step) {
    switch (step.kind) {
      case Step::kDeliver:
      case Step::kRepeat: {
        const Letter m = flight_[step.a];
        if (step.kind == Step::kDeliver) flight_.erase(flight_.begin() + static_cast<std::ptrdiff_t>(step.a));
        if (step.kind == Step::kRepeat) --repeats;
        return deliver(m);
      }
      case Step::kLose:
        --losses;
        flight_.erase(flight_.begin() + static_cast<std::ptrdiff_t>(step.a));
        return;
      case Step::kAgain:
        sessions_[step.a].woke(sessions_[step.a].next());
        return after(step.a);
      case Step::kOpen:
        begun_[step.a] = true;
        sessions_[step.a].open(0);
        return after(step.a);
      case Step::kAck:
        sessions_[0].ack(0, {{kOrigin, static_cast<uint64_t>(++acked_)}});
        return after(0);
      case Step::kEmpty:
        --empties;
        files_[step.a].clear();
        return start(step.a, 100 + step.a);
      default:
        --kills;
        return start(step.a, 200 + step.a);
    }
  }

  // All that decides what comes next.
  std::string key() const {
    std::vector<Letter> flight = flight_;
    std::ranges::sort(flight);
    std::string out =
        std::to_string(losses * 1000 + repeats * 100 + empties * 10 + kills) + std::to_string(acked_);
    for (const auto& m : flight) out += m.from + m.to + m.bytes;
    for (const auto& file : files_) out += file + "|";
    for (const auto& heard : heard_) {
      for (const auto& one : heard) out += one;
      out += "|";
    }
    return out;
  }

  std::string broken;
  int losses = 0, repeats = 0, empties = 0, kills = 0;
  bool done() const {
    return std::ranges::all_of(sessions_, [](const Session& s) { return s.was_open(); }) && acked_ == 2;
  }

 private:
  static Session::Settings settings() { return {kVoters, 1, 1'000'000}; }

  void start(size_t v, uint64_t folder) {
    voters_[v].emplace(Register::Settings{kVoters[v], kVoters, 1, plant_}, files_[v], folder);
    heard_[kSessions + v].clear();
    voters_[v]->start(0);
    after_voter(v);
  }

  void after_voter(size_t v) {
    for (Register::Output& output : voters_[v]->take()) {
      if (auto* write = std::get_if<Register::Append>(&output)) {
        files_[v] = write->whole ? write->bytes : files_[v] + write->bytes;
      } else {
        const auto& send = std::get<Register::Send>(output);
        flight_.push_back({kVoters[v], send.to, send.bytes});
      }
    }
  }

  void deliver(const Letter& m) {
    const Message message = decode(m.bytes);
    const auto number = static_cast<size_t>(m.to[1] - '0');
    if (m.to[0] == 'v') {
      if (std::holds_alternative<Page>(message)) heard_[kSessions + number].insert(m.from + m.bytes);
      voters_[number]->received(0, m.from, message);
      return after_voter(number);
    }
    heard_[number].insert(m.from + m.bytes);
    sessions_[number].received(0, m.from, std::get<Said>(message));
    after(number);
  }

  // What a session came to, against what must hold.
  void after(size_t s) {
    Session& session = sessions_[s];
    const uint64_t known = taken_of(session.remembered(), kOrigin);
    if (session.state() == Session::State::kPromised) {
      if (session.ballot() > answered_by_ && known < answered_) {
        broken = "s" + std::to_string(s) + " opens without what was acknowledged";
      }
      session.begin(0, session.remembered());
      heard_[s].clear();
    }
    if (session.state() == Session::State::kOpen && known >= answered_) {
      for (const Session& other : sessions_) {
        if (other.was_open() && other.ballot() > session.ballot() &&
            taken_of(other.remembered(), kOrigin) < known) {
          broken = "s" + std::to_string(s) + " was fenced, and its acknowledgement was answered";
        }
      }
      answered_ = known;
      answered_by_ = session.ballot();
    }
    for (const auto& m : session.take()) flight_.push_back({"s" + std::to_string(s), m.to, m.bytes});
  }

  Register::Plant plant_;
  std::array<std::optional<Register>, 3> voters_;
  std::array<std::string, 3> files_;
  std::vector<Session> sessions_;
  std::array<bool, kSessions> begun_{};
  std::vector<Letter> flight_;
  std::array<std::set<std::string>, kSessions + 3> heard_;
  int acked_ = 0;
  uint64_t answered_ = 0;
  Ballot answered_by_;
};

}  // namespace umberhoist::feeds
