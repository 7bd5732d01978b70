#include "outcome_log.h"

#include <algorithm>
#include <utility>

#include "../fleet/records.h"

namespace umberhoist::feeds {
namespace {

using fleet::DecodeError;
using fleet::require;
using nlohmann::json;
using Part = LogFiles::Part;

constexpr uint64_t kFormat = 1;
constexpr size_t kMostLooks = 4;  // at outcomes of other regions, for each one that is asked for
const size_t kFrame = fleet::frame_record("").size();

}  // namespace

struct OutcomeLog::Head {
  uint64_t number = 0;
  uint64_t first = 0;
  uint64_t others = 0;
  std::map<std::string, uint64_t> lasts;

  static Head of(const fleet::Records& records) {
    require(!records.bodies.empty());
    const json said = fleet::from_cbor(records.bodies.front());
    require(fleet::decode_uint(fleet::at(said, 0)) == kFormat);
    Head out{fleet::decode_uint(fleet::at(said, 1)),
             fleet::decode_uint(fleet::at(said, 2)),
             fleet::decode_uint(fleet::at(said, 3)),
             {}};
    require(out.number > 0 && out.first > 0 && fleet::at(said, 4).is_object());
    for (const auto& [customer, last] : said[4].items()) out.lasts[customer] = fleet::decode_uint(last);
    return out;
  }
};

OutcomeLog::OutcomeLog(LogFiles& files, Limits limits, uint64_t fresh, bool writes)
    : files_(&files), limits_(limits), writes_(writes) {
  const bool front = load_front();
  const bool back = load_back();
  if (front && (back || files_->read(Part::kBack).empty())) {
    if (writes_ && !back) begin_back();
    return;
  }
  if (back || !writes_) return;
  begin_anew(fresh);  // nothing that can be gone on with
}

void OutcomeLog::begin_anew(uint64_t fresh) {
  files_->drop_front();
  forget();
  number_ = fresh;
  begin_back();
}

bool OutcomeLog::load_front() {
  const std::string bytes = files_->read(Part::kFront);
  const fleet::Records records = fleet::read_records(bytes);
  try {
    require(records.end == fleet::Records::End::kComplete);  // it took this place whole
    Head head = Head::of(records);
    number_ = head.number;
    next_ = front_first_ = back_first_ = head.first;
    trimmed_ = std::move(head.lasts);
    others_ = head.others;
    int64_t oldest = 0;
    take(records.bodies, oldest, front_newest_ms_);
    back_first_ = next_;
    front_size_ = bytes.size();
    return true;
  } catch (const DecodeError&) {
    forget();
    return false;
  }
}

bool OutcomeLog::load_back() {
  const std::string bytes = files_->read(Part::kBack);
  const fleet::Records records = fleet::read_records(bytes);
  try {
    require(records.end != fleet::Records::End::kCorrupt);
    Head head = Head::of(records);
    if (number_ != head.number || next_ != head.first) {  // the front does not lead up to it
      forget();
      number_ = head.number;
      next_ = front_first_ = head.first;
      trimmed_ = std::move(head.lasts);
      others_ = head.others;
    }
    back_first_ = next_;
    take(records.bodies, back_oldest_ms_, back_newest_ms_);
    back_size_ = records.valid_bytes;
    if (writes_ && records.valid_bytes < bytes.size()) files_->cut(records.valid_bytes);
    return true;
  } catch (const DecodeError&) {
    if (!writes_) forget();
    return false;
  }
}

// Records behind a head. Throws DecodeError.
void OutcomeLog::take(const std::vector<std::string>& bodies, int64_t& oldest, int64_t& newest) {
  size_t offset = kFrame + bodies.front().size();
  for (size_t i = 1; i < bodies.size(); ++i) {
    const Outcome outcome = outcome_in(fleet::from_cbor(bodies[i]));
    require(outcome.number == next_);
    if (i == 1) oldest = outcome.time_ms;
    newest = outcome.time_ms;
    note(outcome, offset + kFrame, bodies[i].size());
    offset += kFrame + bodies[i].size();
  }
}

void OutcomeLog::note(const Outcome& outcome, size_t offset, size_t length) {
  index_[outcome.customer].push_back(
      {outcome.number, static_cast<uint32_t>(offset), static_cast<uint32_t>(length)});
  next_ = outcome.number + 1;
}

void OutcomeLog::forget() {
  number_ = 0;
  next_ = front_first_ = back_first_ = 1;
  front_size_ = back_size_ = 0;
  others_ = 0;
  trimmed_.clear();
  index_.clear();
}

std::string OutcomeLog::head() const {
  std::map<std::string, uint64_t> lasts = trimmed_;
  for (const auto& [customer, entries] : index_) lasts[customer] = entries.back().number;
  uint64_t others = others_;
  while (lasts.size() > kMostCustomers) {
    const auto oldest = std::ranges::min_element(lasts, {}, &std::pair<const std::string, uint64_t>::second);
    others = std::max(others, oldest->second);
    lasts.erase(oldest);
  }
  return fleet::frame_record(fleet::to_cbor({kFormat, number_, next_, others, json(lasts)}));
}

bool OutcomeLog::begin_back() {
  const std::string bytes = head();
  if (!files_->begin(bytes)) return false;
  back_first_ = next_;
  back_size_ = bytes.size();
  back_oldest_ms_ = back_newest_ms_ = 0;
  return true;
}

// What is in the front is gone.
void OutcomeLog::forget_front() {
  for (auto it = index_.begin(); it != index_.end();) {
    auto& [customer, entries] = *it;
    const auto kept = std::ranges::lower_bound(entries, back_first_, {}, &Entry::number);
    if (kept != entries.begin()) trimmed_[customer] = std::prev(kept)->number;
    entries.erase(entries.begin(), kept);
    it = entries.empty() ? index_.erase(it) : std::next(it);
  }
  while (trimmed_.size() > kMostCustomers) {
    const auto oldest =
        std::ranges::min_element(trimmed_, {}, &std::pair<const std::string, uint64_t>::second);
    others_ = std::max(others_, oldest->second);
    trimmed_.erase(oldest);
  }
  front_first_ = back_first_;
  front_size_ = 0;
}

bool OutcomeLog::rotate() {
  if (!files_->promote()) return false;
  forget_front();
  front_size_ = std::exchange(back_size_, 0);
  front_newest_ms_ = back_newest_ms_;
  back_first_ = next_;
  return begin_back();
}

bool OutcomeLog::append(const Outcome& outcome, int64_t now_ms) {
  trim(now_ms);
  const std::string body = fleet::to_cbor(json_of(outcome));
  if (back_size_ == 0 && !begin_back()) return false;
  if (back_size_ + kFrame + body.size() > limits_.bytes / 2 && next_ > back_first_ && !rotate()) return false;
  if (!files_->append(fleet::frame_record(body))) return false;
  if (next_ == back_first_) back_oldest_ms_ = outcome.time_ms;
  back_newest_ms_ = std::max(back_newest_ms_, outcome.time_ms);
  note(outcome, back_size_ + kFrame, body.size());
  back_size_ += kFrame + body.size();
  return true;
}

void OutcomeLog::trim(int64_t now_ms) {
  if (front_size_ > 0 && now_ms - front_newest_ms_ > limits_.age_ms && files_->drop_front()) forget_front();
  if (front_size_ == 0 && back_size_ > 0 && next_ > back_first_ &&
      now_ms - back_oldest_ms_ > limits_.age_ms) {
    rotate();
  }
}

Slice OutcomeLog::read(const std::string& customer, const std::vector<std::string>& regions, uint64_t after,
                       size_t most, size_t most_bytes) const {
  Slice out;
  out.through = std::max(after, last());
  const auto known = index_.find(customer);
  if (known == index_.end()) return out;
  size_t bytes = 0;
  size_t looked_at = 0;
  for (auto it = std::ranges::upper_bound(known->second, after, {}, &Entry::number);
       it != known->second.end(); ++it) {
    const bool more = out.outcomes.size() < most && looked_at++ < kMostLooks * most &&
                      (bytes == 0 || bytes + it->length <= most_bytes);
    if (!more) {
      out.through = it->number - 1;
      return out;
    }
    const Part part = it->number >= back_first_ ? Part::kBack : Part::kFront;
    const Outcome outcome = outcome_in(fleet::from_cbor(files_->read(part, it->offset, it->length)));
    if (!regions.empty() && std::ranges::find(regions, outcome.region) == regions.end()) continue;
    bytes += it->length;
    out.outcomes.push_back(outcome);
  }
  return out;
}

uint64_t OutcomeLog::trimmed_of(const std::string& customer) const {
  const auto it = trimmed_.find(customer);
  return it == trimmed_.end() ? others_ : it->second;
}

}  // namespace umberhoist::feeds
