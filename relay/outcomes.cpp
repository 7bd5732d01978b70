#include "outcomes.h"

#include <algorithm>
#include <map>
#include <random>

#include "disk_faults.h"
#include "log.h"

namespace firspool::relay {
namespace {

namespace feeds = umberhoist::feeds;
namespace fleet = umberhoist::fleet;

feeds::Limits limits_of(const Config& config) {
  const double share = config.feeds->disk_share * static_cast<double>(config.disk_bytes);
  return {static_cast<size_t>(share / Place::kPlaces), config.feeds->age / 1000};
}

std::string region_of(const Config& config) {
  const auto zone = static_cast<size_t>(config.settings.zone);
  return zone < config.names.zones.size() ? config.names.zones[zone] : "";
}

uint64_t drawn() {
  std::random_device chance;
  return ((uint64_t{chance()} << 32) | chance()) | 1;
}

int64_t wall_ms() { return instant_now().wall / 1000; }

}  // namespace

size_t feed_disk(const Config& config) {
  return config.feeds ? static_cast<size_t>(config.feeds->disk_share * static_cast<double>(config.disk_bytes))
                      : 0;
}

Outcomes::Outcomes(const Config& config, int place)
    : limits_(limits_of(config)),
      region_(region_of(config)),
      fresh_(drawn()),
      own_files_(config.state, place),
      other_files_(config.state, Place::kPlaces - 1 - place) {
  own_.emplace(own_files_, limits_, fresh_);
  read_other();
  if (!other_) throw DiskFault(kFileUnreadable, config.state, "has an outcome log that cannot be read", EIO);
}

void Outcomes::retune(const Config& config) {
  limits_ = limits_of(config);
  region_ = region_of(config);
  own_->limit(limits_);
}

Ended Outcomes::record_of(const feeds::Outcome& outcome) const {
  return {outcome.number, fleet::to_cbor({own_->number(), feeds::json_of(outcome)})};
}

Ended Outcomes::end(const Handed& handed, feeds::Answer answer) {
  feeds::Outcome out;
  out.number = own_->next() + waiting_.size();
  out.id = handed.id;
  out.customer = handed.tenant;
  out.message_class = handed.message_class;
  out.answer = answer;
  out.time_ms = wall_ms();
  if (handed.verdict && !handed.verdict->rules.empty()) {
    out.rule = handed.verdict->rules.front().id.substr(0, feeds::kMostField);
  }
  out.region = region_.substr(0, feeds::kMostField);
  Ended ended = record_of(out);
  waiting_.push_back(std::move(out));
  return ended;
}

uint64_t Outcomes::append() {
  while (!waiting_.empty() && own_->append(waiting_.front(), wall_ms())) waiting_.pop_front();
  return own_->last();
}

std::map<uint64_t, feeds::Outcome> Outcomes::missing(feeds::OutcomeLog& log,
                                                     const std::vector<Ended>& ended) {
  std::map<uint64_t, feeds::Outcome> out;
  for (const Ended& one : ended) {
    try {
      const nlohmann::json said = fleet::from_cbor(one.part);
      if (fleet::decode_uint(fleet::at(said, 0)) != log.number()) continue;  // of a log that is gone
      feeds::Outcome outcome = feeds::outcome_in(fleet::at(said, 1));
      if (outcome.number > log.last()) out.emplace(outcome.number, std::move(outcome));
    } catch (const fleet::DecodeError&) {
      log_event(LogLevel::kWarning, "feed_outcome_unreadable",
                "feeds: an outcome in the journal cannot be read", {{"number", one.number}});
    }
  }
  if (out.empty()) return out;
  if (out.begin()->first == log.next()) {
    log_info("feed_log_completed",
             "feeds: " + std::to_string(out.size()) + " outcomes are taken from the journal",
             {{"outcomes", out.size()}});
    return out;
  }
  log_event(LogLevel::kError, "feed_log_behind",
            "feeds: the log ends at " + std::to_string(log.last()) + ", and the journal begins at " +
                std::to_string(out.begin()->first) + ": its end was cut off, and another log begins",
            {{"last", log.last()}, {"known", out.begin()->first}});
  log.begin_anew(drawn());
  return {};
}

std::vector<Ended> Outcomes::complete(const std::vector<Ended>& ended) {
  for (auto& [number, outcome] : missing(*own_, ended)) waiting_.push_back(std::move(outcome));
  append();
  std::vector<Ended> out;
  for (const feeds::Outcome& outcome : waiting_) out.push_back(record_of(outcome));
  return out;
}

void Outcomes::complete_other(const std::vector<Ended>& ended) {
  if (ended.empty()) return;
  feeds::OutcomeLog log(other_files_, limits_, drawn());
  for (const auto& [number, outcome] : missing(log, ended)) {
    if (log.append(outcome, wall_ms())) continue;
    log_event(
        LogLevel::kError, "feed_outcomes_lost",
        "feeds: outcomes from " + std::to_string(number) + " on of the process before cannot be written",
        {{"number", number}});
    return;
  }
}

void Outcomes::trim() { own_->trim(wall_ms()); }

std::vector<const feeds::OutcomeLog*> Outcomes::logs() {
  read_other();
  return {&*own_, &*other_};
}

// Where its files cannot be read just now, it stays as it was read last.
void Outcomes::read_other() {
  const auto sizes = other_files_.sizes();
  if (other_ && sizes == other_sizes_) return;
  other_files_.forget();
  try {
    other_.emplace(other_files_, limits_, 0, false);
    other_sizes_ = sizes;
  } catch (const DiskFault& fault) {
    log_event(LogLevel::kWarning, "feed_log_unreadable", fault.line(), {{"reason", fault.code()}});
  }
}

}  // namespace firspool::relay
