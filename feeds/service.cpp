#include "service.h"

#include <algorithm>
#include <cstdio>

#include "outcome_log.h"

namespace umberhoist::feeds {
namespace {

std::string hex(uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

OperatorError fenced(const Feed& f) { return OperatorError(kFenced, text_of(f), "was opened anew since"); }

}  // namespace

Service::Service(Settings settings, std::string_view file, uint64_t seed,
                 std::function<std::vector<const OutcomeLog*>()> logs)
    : settings_(std::move(settings)), logs_(std::move(logs)), chance_(seed), last_read_(chance_()) {
  if (std::ranges::find(settings_.voters, settings_.name) == settings_.voters.end()) return;
  register_.emplace(Register::Settings{settings_.name, settings_.voters}, file, chance_());
}

void Service::start(Time now) {
  configure(now, settings_);
  if (register_) register_->start(now);
  advance(now);
}

void Service::configure(Time now, Settings settings) {
  settings_ = std::move(settings);
  std::erase_if(missing_, [&](const auto& entry) {
    return std::ranges::find(settings_.relays, entry.first) == settings_.relays.end();
  });
  if (!register_) return;
  register_->configure(settings_.voters);
  std::set<Feed> live;
  for (const auto& [feed, regions] : settings_.feeds) live.insert(feed);
  register_->live(std::move(live));
  advance(now);
}

void Service::fail(const Answer& answer, const OperatorError& fault) {
  ++figures_.refused;
  answer(fault);
}

// ---- Commands ----

void Service::open(Time now, const Feed& feed, std::optional<std::string> shown, Answer answer) {
  uint64_t generation = 0;
  try {
    if (!settings_.feeds.contains(feed)) {
      throw OperatorError(kUnknownFeed, text_of(feed), "is no subscription of the policy");
    }
    if (shown) generation = read_cursor(*shown, settings_.cluster, feed).generation;
    make_room(now);
  } catch (const OperatorError& fault) {
    return fail(answer, fault);
  }
  const uint64_t number = chance_();
  Session s({settings_.voters}, feed, number, generation);
  s.open(now);
  Serving item{std::move(s), std::move(shown), collect(now, feed, 0, {}), {}, {}, {}, std::move(answer), now};
  for (auto& [to, bytes] : item.holdings->asks()) send(to, std::move(bytes));
  sessions_.emplace(number, std::move(item));
  advance(now);
}

// One that nobody has used for long gives way.
void Service::make_room(Time now) {
  std::erase_if(sessions_, [&](const auto& s) { return !s.second.answer && now - s.second.used > kIdle; });
  if (sessions_.size() < kMostSessions) return;
  throw OperatorError(kBusy, "relay " + settings_.name,
                      "serves " + std::to_string(sessions_.size()) + " sessions");
}

Service::Serving* Service::find(const std::string& session) {
  const auto it = std::ranges::find_if(sessions_, [&](const auto& s) { return hex(s.first) == session; });
  if (it == sessions_.end() || !it->second.session.was_open()) {
    throw OperatorError(kUnknownSession, "session " + session.substr(0, 16),
                        "is not open at " + settings_.name);
  }
  if (!settings_.feeds.contains(it->second.session.feed())) {
    throw OperatorError(kUnknownFeed, text_of(it->second.session.feed()),
                        "is no subscription of the policy any more");
  }
  return &it->second;
}

void Service::ack(Time now, const std::string& session, const std::string& cursor, Answer answer) {
  try {
    Serving& serving = *find(session);
    const Feed& feed = serving.session.feed();
    const Positions taken = read_cursor(cursor, settings_.cluster, feed).taken;
    if (serving.session.state() == Session::State::kFenced) throw fenced(feed);
    if (serving.answer) throw OperatorError(kBusy, text_of(feed), "has an acknowledgement under way");
    for (const auto& [origin, number] : taken) {
      const bool gone = std::ranges::find(serving.gone, origin) != serving.gone.end();
      if (!gone && number > taken_of(serving.given, origin)) {
        throw OperatorError(kAhead, text_of(feed), "was given less of " + text_of(origin));
      }
    }
    std::vector<Origin> dropped;
    std::ranges::copy_if(serving.gone, std::back_inserter(dropped),
                         [&](const Origin& origin) { return !taken.contains(origin); });
    serving.session.drop(dropped);
    serving.session.ack(now, taken);
    serving.answer = std::move(answer);
    serving.used = now;
  } catch (const OperatorError& fault) {
    return fail(answer, fault);
  }
  advance(now);
}

// ---- Events ----

void Service::send(const std::string& to, std::string bytes) {
  if (to == settings_.name) {
    own_.emplace_back(to, std::move(bytes));
  } else {
    out_.push_back(Register::Send{to, std::move(bytes)});
  }
}

void Service::received(Time now, const std::string& from, std::string_view bytes) {
  try {
    heard(now, from, decode(bytes));
  } catch (const fleet::DecodeError&) {
    return;
  }
  advance(now);
}

void Service::heard(Time now, const std::string& from, const Message& message) {
  if (const auto* ask = std::get_if<Ask>(&message)) return hear(from, *ask);
  if (const auto* have = std::get_if<Have>(&message)) {
    missing_.erase(from);
    for (auto& [number, serving] : sessions_) {
      if (serving.holdings) serving.holdings->received(from, *have);
    }
    for (Read& read : reads_) read.collect->received(from, *have);
  } else if (const auto* said = std::get_if<Said>(&message)) {
    const auto serving = sessions_.find(said->asked.session);
    if (serving != sessions_.end()) serving->second.session.received(now, from, *said);
  } else if (register_) {
    register_->received(now, from, message);
  }
}

void Service::woke(Time now) {
  if (register_) register_->woke(now);
  for (auto& [number, serving] : sessions_) serving.session.woke(now);
  advance(now);
}

Time Service::next() const {
  Time out = register_ ? register_->next() : fleet::kNever;
  for (const auto& [number, serving] : sessions_) {
    out = std::min(out, serving.session.next());
    if (serving.session.state() == Session::State::kPromised) out = std::min(out, serving.holdings->next());
  }
  for (const Read& read : reads_) out = std::min(out, read.collect->next());
  if (!waiting_.empty()) {
    const double wait = (wanted(waiting_.front()) - tokens_) / std::max(1.0, settings_.per_s);
    out = std::min(out, filled_ + static_cast<Time>(wait * fleet::kSecond) + 1);
  }
  return out;
}

// Carries on what can go on, and tells this relay what it says to itself.
void Service::advance(Time now) {
  if (std::exchange(advancing_, true)) return;
  do {
    for (auto& [number, serving] : sessions_) {
      advance(now, serving);
      for (auto& message : serving.session.take()) send(message.to, std::move(message.bytes));
    }
    std::erase_if(sessions_, [](const auto& s) { return !s.second.answer && !s.second.session.was_open(); });
    begin_reads(now);
    for (auto it = reads_.begin(); it != reads_.end();) {
      if (!it->collect->done(now)) {
        ++it;
        continue;
      }
      Read read = std::move(*it);
      it = reads_.erase(it);
      finish(now, read);
    }
    if (register_) {
      for (Output& output : register_->take()) {
        if (auto* message = std::get_if<Register::Send>(&output)) {
          send(message->to, std::move(message->bytes));
        } else {
          out_.push_back(std::move(output));
        }
      }
    }
    const auto own = std::exchange(own_, {});
    for (const auto& [to, bytes] : own) heard(now, to, decode(bytes));
    if (own.empty()) break;
  } while (true);
  advancing_ = false;
}

void Service::advance(Time now, Serving& serving) {
  using State = Session::State;
  Session& session = serving.session;
  if (session.state() == State::kPromised && !serving.start && serving.holdings->done(now)) {
    hear_missing(now, *serving.holdings);
    serving.start = reconcile(serving.shown, settings_.cluster, session.feed(), session.remembered(),
                              serving.holdings->holdings());
    session.begin(now, serving.start->remembered);
  }
  if (!serving.answer || session.state() == State::kPromising || session.state() == State::kPromised ||
      session.state() == State::kWriting) {
    return;
  }
  const Answer answer = std::exchange(serving.answer, {});
  const Feed& feed = session.feed();
  if (session.state() == State::kFenced) return fail(answer, fenced(feed));
  if (session.state() == State::kNoMajority) {
    return fail(answer, OperatorError(kNoMajority, text_of(feed), "is not remembered: " + session.why()));
  }
  if (!serving.holdings) {
    ++figures_.acknowledged;
    return answer(nlohmann::json("OK"));
  }
  ++figures_.opened;
  const Start& start = *serving.start;
  serving.given = start.positions;
  nlohmann::json out = {{"session", hex(session.ballot().session)},
                        {"cursor", cursor_text(feed, session.ballot().generation, start.positions)}};
  nlohmann::json from = nlohmann::json::object();
  for (const auto& [origin, number] : start.positions) from[text_of(origin)] = number;
  out["from"] = std::move(from);
  say_gaps(out, start, &serving.gone);
  out["missing"] = missing_json(now, start.missing);
  serving.holdings.reset();
  serving.start.reset();
  serving.shown.reset();
  answer(out);
}

}  // namespace umberhoist::feeds
