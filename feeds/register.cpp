#include "register.h"

#include <algorithm>

#include "../fleet/records.h"

namespace umberhoist::feeds {
namespace {

using fleet::at;
using fleet::decode_uint;
using fleet::DecodeError;
using fleet::require;
using nlohmann::json;

constexpr size_t kSlack = 256 * 1024;
constexpr size_t kMostFolders = 8;  // of one voter, so that one told of late is known as old

}  // namespace

Register::Register(Settings settings, std::string_view file, uint64_t fresh)
    : settings_(std::move(settings)) {
  if (load(file)) return;
  held_.clear();
  folders_.clear();
  folder_ = std::max<uint64_t>(fresh, 1);
  recovering_ = true;
  keep_whole();
}

bool Register::load(std::string_view file) {
  const fleet::Records records = fleet::read_records(file);
  if (records.end == fleet::Records::End::kCorrupt || records.bodies.empty()) return false;
  try {
    recovering_ = true;
    for (const std::string& body : records.bodies) apply(fleet::from_cbor(body));
    require(folder_ > 0);
  } catch (const DecodeError&) {
    return false;
  }
  if (records.valid_bytes < file.size()) keep_whole();
  appended_ = records.valid_bytes;
  return true;
}

// The file's records: [format, kind, ...].
void Register::apply(const json& record) {
  require(decode_uint(at(record, 0)) == kFormat);
  switch (decode_uint(at(record, 1))) {
    case kFolder:
      folder_ = decode_uint(at(record, 2));
      return;
    case kOther: {
      auto& known = folders_[fleet::decode_text(at(record, 2), kMostName)];
      known.push_back(decode_uint(at(record, 3)));
      if (known.size() > kMostFolders) known.pop_front();
      return;
    }
    case kWhole:
      recovering_ = false;
      return;
    case kHeld:
      held_[{fleet::decode_text(at(record, 2), kMostField), fleet::decode_text(at(record, 3), kMostField)}] =
          held_in(at(record, 4));
      return;
    case kGone:
      held_.erase(
          {fleet::decode_text(at(record, 2), kMostField), fleet::decode_text(at(record, 3), kMostField)});
      return;
    default:
      throw DecodeError{};
  }
}

void Register::keep(const json& record) {
  apply(record);
  const std::string bytes = fleet::frame_record(fleet::to_cbor(record));
  appended_ += bytes.size();
  if (appended_ > whole_size_ + kSlack) return keep_whole();
  out_.push_back(Append{bytes, false});
}

void Register::keep_whole() {
  std::string bytes = whole_file();
  whole_size_ = bytes.size();
  appended_ = 0;
  out_.push_back(Append{std::move(bytes), true});
}

std::string Register::whole_file() const {
  std::string out;
  const auto add = [&](const json& record) { out += fleet::frame_record(fleet::to_cbor(record)); };
  add({kFormat, kFolder, folder_});
  for (const auto& [name, known] : folders_) {
    for (const uint64_t folder : known) add({kFormat, kOther, name, folder});
  }
  for (const auto& [feed, held] : held_) {
    add({kFormat, kHeld, feed.customer, feed.subscription, json_of(held)});
  }
  if (!recovering_) add({kFormat, kWhole});
  return out;
}

void Register::received(Time now, const std::string& from, const Message& message) {
  if (std::ranges::find(settings_.voters, settings_.name) == settings_.voters.end()) return;
  const bool was = recovering_;
  if (const auto* promise = std::get_if<Promise>(&message)) return heard(from, *promise);
  if (const auto* write = std::get_if<Write>(&message)) return heard(from, *write);
  if (std::ranges::find(settings_.voters, from) == settings_.voters.end() || from == settings_.name) return;
  if (const auto* pull = std::get_if<Pull>(&message)) return heard(from, *pull);
  if (const auto* page = std::get_if<Page>(&message)) {
    heard(from, *page);
    if (was && recovering_ && page->more) ask(now);
  }
}

bool Register::room_for(const Feed& feed) {
  if (held_.contains(feed) || held_.size() < kMostFeeds) return true;
  const auto old =
      std::ranges::find_if(held_, [&](const auto& entry) { return !live_.contains(entry.first); });
  if (old == held_.end()) return false;
  const Feed gone = old->first;
  keep({kFormat, kGone, gone.customer, gone.subscription});
  return true;
}

std::string Register::refusal(const Feed& feed) {
  if (recovering_) return "it has lost what it held, and has not heard enough of the others yet";
  return room_for(feed) ? "" : "it holds as many subscriptions as it may";
}

void Register::answer(const std::string& to, Said said) {
  said.folder = folder_;
  for (const auto& [name, known] : folders_) said.folders[name] = known.back();
  out_.push_back(Send{to, encode(said)});
}

void Register::heard(const std::string& from, const Promise& m) {
  Said said{m.feed, m.ballot, 0, false, refusal(m.feed), {}, 0, {}};
  if (said.why.empty()) {
    Held held = held_[m.feed];
    if (held.promised < m.ballot) {
      held.promised = m.ballot;
      keep({kFormat, kHeld, m.feed.customer, m.feed.subscription, json_of(held)});
    }
    said.yes = held.promised == m.ballot;
    said.held = held;
  }
  answer(from, std::move(said));
}

void Register::heard(const std::string& from, const Write& m) {
  Said said{m.feed, m.ballot, m.turn, false, refusal(m.feed), {}, 0, {}};
  if (said.why.empty()) {
    Held held = held_[m.feed];
    if (m.ballot >= held.promised || settings_.plant == Plant::kFencedTaken) {
      if (std::pair(held.accepted, held.turn) < std::pair(m.ballot, m.turn)) {
        held.promised = m.ballot;
        held.accepted = m.ballot;
        held.turn = m.turn;
        held.positions = m.positions;
        keep({kFormat, kHeld, m.feed.customer, m.feed.subscription, json_of(held)});
      }
      said.yes = true;
    }
    said.held = {held.promised, held.accepted, held.turn, {}};
  }
  answer(from, std::move(said));
}

}  // namespace umberhoist::feeds
