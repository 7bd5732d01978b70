#include "collect.h"

#include <algorithm>

#include "outcome_log.h"

namespace umberhoist::feeds {
namespace {

constexpr size_t kLeastShare = 16;

size_t size_of(const Outcome& o) {
  return 32 + o.id.size() + o.customer.size() + o.message_class.size() + o.rule.size() + o.region.size();
}

}  // namespace

Collect::Collect(Time now, Settings settings, Positions taken)
    : settings_(std::move(settings)), taken_(std::move(taken)), until_(now + settings_.patience) {}

std::vector<std::pair<std::string, std::string>> Collect::asks() const {
  const size_t relays = std::max<size_t>(1, settings_.relays.size());
  Ask ask;
  ask.number = settings_.number;
  ask.customer = settings_.customer;
  ask.regions = settings_.regions;
  if (settings_.most > 0) {
    ask.most = std::min(settings_.most, std::max(kLeastShare, 2 * settings_.most / relays));
    ask.most_bytes = std::max<size_t>(1, 2 * settings_.most_bytes / relays);
  }
  std::vector<std::pair<std::string, std::string>> out;
  for (const std::string& relay : settings_.relays) {
    ask.after.clear();
    for (auto it = taken_.lower_bound({relay, 0}); it != taken_.end() && it->first.relay == relay; ++it) {
      ask.after[it->first.log] = it->second;
    }
    out.emplace_back(relay, encode(ask));
  }
  return out;
}

void Collect::received(const std::string& from, const Have& have) {
  if (have.number != settings_.number ||
      std::ranges::find(settings_.relays, from) == settings_.relays.end()) {
    return;
  }
  heard_.insert(from);
  have_[from] = have;
}

bool Collect::done(Time now) const {
  return now >= until_ || std::ranges::all_of(settings_.relays, [&](const std::string& relay) {
           return heard_.contains(relay) || settings_.missing.contains(relay);
         });
}

Holdings Collect::holdings() const {
  Holdings out;
  for (const std::string& relay : settings_.relays) {
    auto& logs = out[relay];
    const auto have = have_.find(relay);
    if (have == have_.end()) continue;
    logs.emplace();
    for (const Have::One& one : have->second.logs) logs->push_back(one.log);
  }
  return out;
}

Collect::Batch Collect::batch() const {
  Batch out;
  out.start = settle(taken_, holdings());
  size_t bytes = 0;
  // Not the same relay first each time: one with much to tell must not hold up the others.
  const size_t relays = settings_.relays.size();
  for (size_t i = 0; i < relays; ++i) {
    const std::string& relay = settings_.relays[(i + settings_.number) % relays];
    const auto have = have_.find(relay);
    if (have == have_.end()) continue;
    for (const Have::One& one : have->second.logs) {
      const auto position = out.start.positions.find({relay, one.log.number});
      if (position != out.start.positions.end()) take(out, one, position->first, position->second, bytes);
    }
  }
  std::ranges::stable_sort(out.outcomes, {}, &Given::origin);
  return out;
}

// Of one origin, as far as there is room.
void Collect::take(Batch& out, const Have::One& one, const Origin& origin, uint64_t& position,
                   size_t& bytes) const {
  for (const Outcome& outcome : one.outcomes) {
    if (outcome.number <= position) continue;
    const size_t more = size_of(outcome);
    const bool fits = out.outcomes.empty() || bytes + more <= settings_.most_bytes;
    if (!fits || out.outcomes.size() >= settings_.most) return;
    bytes += more;
    out.outcomes.push_back({origin, outcome});
    position = outcome.number;
  }
  position = std::max(position, one.through);
}

Have answer(const Ask& ask, const std::vector<const OutcomeLog*>& logs) {
  Have out{ask.number, {}};
  for (const OutcomeLog* log : logs) {
    if (log->number() == 0) continue;
    Have::One one{log->log_of(ask.customer), 0, {}};
    const auto after = ask.after.find(log->number());
    const uint64_t from = std::max(after == ask.after.end() ? 0 : after->second, one.log.trimmed);
    one.through = from;
    if (ask.most > 0 && from <= log->last()) {
      Slice slice = log->read(ask.customer, ask.regions, from, ask.most, ask.most_bytes);
      one.through = slice.through;
      one.outcomes = std::move(slice.outcomes);
    }
    out.logs.push_back(std::move(one));
  }
  return out;
}

}  // namespace umberhoist::feeds
