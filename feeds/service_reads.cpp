// The service's reads: in turn, within the budget; and how positions, gaps and missing relays are told.
#include <algorithm>

#include "outcome_log.h"
#include "service.h"

namespace umberhoist::feeds {

using nlohmann::json;

Collect Service::collect(Time now, const Feed& feed, size_t most, Positions taken) {
  Collect::Settings s;
  s.relays = settings_.relays;
  for (const auto& [relay, since] : missing_) s.missing.insert(relay);
  s.customer = feed.customer;
  if (const auto known = settings_.feeds.find(feed); known != settings_.feeds.end())
    s.regions = known->second;
  s.number = ++last_read_;
  s.most = most;
  return Collect(now, std::move(s), std::move(taken));
}

void Service::read(Time now, const std::string& session, const std::string& cursor, size_t most,
                   Answer answer) {
  try {
    Serving& serving = *find(session);
    const Feed& feed = serving.session.feed();
    Positions taken = read_cursor(cursor, settings_.cluster, feed).taken;
    if (waiting_.size() + reads_.size() >= kMostWaiting) {
      throw OperatorError(kBusy, "relay " + settings_.name,
                          "has " + std::to_string(kMostWaiting) + " reads under way");
    }
    serving.used = now;
    const Ballot& ballot = serving.session.ballot();
    waiting_.push_back({ballot.session,
                        feed,
                        ballot.generation,
                        std::move(taken),
                        std::clamp<size_t>(most, 1, settings_.batch),
                        std::move(answer),
                        {}});
  } catch (const OperatorError& fault) {
    return fail(answer, fault);
  }
  advance(now);
}

// Not each trickle of budget is a read of its own.
double Service::wanted(const Read& read) const {
  return std::min(static_cast<double>(read.most), std::max(1.0, settings_.per_s / 20));
}

void Service::begin_reads(Time now) {
  const double full = std::max(1.0, settings_.per_s);
  if (filled_ < 0) tokens_ = full;
  if (filled_ >= 0) {
    tokens_ = std::min(full, tokens_ + full * static_cast<double>(now - filled_) / fleet::kSecond);
  }
  filled_ = now;
  while (!waiting_.empty() && tokens_ >= wanted(waiting_.front())) {
    Read read = std::move(waiting_.front());
    waiting_.pop_front();
    read.most = std::min(read.most, static_cast<size_t>(tokens_));
    tokens_ -= static_cast<double>(read.most);  // what it does not use comes back
    read.collect = collect(now, read.feed, read.most, std::move(read.taken));
    for (auto& [to, bytes] : read.collect->asks()) send(to, std::move(bytes));
    reads_.push_back(std::move(read));
  }
}

void Service::finish(Time now, Read& read) {
  hear_missing(now, *read.collect);
  const Collect::Batch batch = read.collect->batch();
  const size_t used = std::max<size_t>(1, batch.outcomes.size());
  tokens_ += static_cast<double>(read.most - used);
  ++figures_.read;
  figures_.outcomes += batch.outcomes.size();
  json outcomes = json::array();
  for (const auto& [origin, o] : batch.outcomes) {
    outcomes.push_back({{"origin", text_of(origin)},
                        {"number", o.number},
                        {"id", o.id},
                        {"class", o.message_class},
                        {"answer", text_of(o.answer)},
                        {"time_ms", o.time_ms},
                        {"rule", o.rule},
                        {"region", o.region}});
  }
  json out = {{"outcomes", std::move(outcomes)}};
  std::vector<Origin> gone;
  say_gaps(out, batch.start, &gone);
  out["missing"] = missing_json(now, batch.start.missing);
  out["cursor"] = cursor_text(read.feed, read.generation, batch.start.positions);
  if (const auto serving = sessions_.find(read.session); serving != sessions_.end()) {
    serving->second.given = merged(std::move(serving->second.given), batch.start.positions);
    for (const Origin& origin : gone) {
      auto& known = serving->second.gone;
      if (std::ranges::find(known, origin) == known.end()) known.push_back(origin);
    }
  }
  read.answer(out);
}

// Where its log cannot be read just now, this relay does not answer: it counts as missing until it does.
void Service::hear(const std::string& from, const Ask& ask) {
  std::string bytes;
  try {
    bytes = encode(feeds::answer(ask, logs_()));
  } catch (const fleet::DecodeError&) {
    return;
  }
  send(from, std::move(bytes));
}

void Service::hear_missing(Time now, const Collect& collect) {
  for (const auto& [relay, logs] : collect.holdings()) {
    if (!logs) missing_.emplace(relay, now);
  }
}

void Service::say_gaps(json& out, const Start& start, std::vector<Origin>* gone) {
  json gaps = json::array();
  for (const Gap& gap : start.gaps) {
    gaps.push_back({{"origin", text_of(gap.origin)},
                    {"from", gap.from},
                    {"to", gap.to ? json(*gap.to) : json(nullptr)},
                    {"why", text_of(gap.why)}});
    if (!gap.to) gone->push_back(gap.origin);
  }
  figures_.gaps += start.gaps.size();
  out["gaps"] = std::move(gaps);
}

json Service::missing_json(Time now, const std::vector<Missing>& missing) const {
  json out = json::array();
  for (const Missing& one : missing) {
    const auto since = missing_.find(one.origin.relay);
    json item = {{"origin", one.origin.log == 0 ? one.origin.relay : text_of(one.origin)},
                 {"why", text_of(one.why)},
                 {"since_ms", since == missing_.end() ? 0 : (now - since->second) / fleet::kMs}};
    out.push_back(std::move(item));
  }
  return out;
}

std::string Service::cursor_text(const Feed& feed, uint64_t generation, Positions taken) const {
  return text_of(Cursor{settings_.cluster, feed, generation, std::move(taken)});
}

void Service::close() {
  const OperatorError over(kUnknownSession, "relay " + settings_.name, "ends its sessions");
  for (auto& [number, serving] : std::exchange(sessions_, {})) {
    if (serving.answer) serving.answer(over);
  }
  for (const Read& read : std::exchange(waiting_, {})) read.answer(over);
  for (const Read& read : std::exchange(reads_, {})) read.answer(over);
}

const Session* Service::session_of(const Feed& feed) const {
  const Session* out = nullptr;
  for (const auto& [number, serving] : sessions_) {
    const Session& session = serving.session;
    if (session.feed() != feed || session.state() == Session::State::kFenced || !session.was_open()) continue;
    if (out == nullptr || out->ballot() < session.ballot()) out = &session;
  }
  return out;
}

}  // namespace umberhoist::feeds
