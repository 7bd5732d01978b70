#include "messages.h"

#include "positions_codec.h"

namespace umberhoist::feeds {
namespace {

using fleet::at;
using fleet::decode_uint;
using fleet::require;
using nlohmann::json;

constexpr size_t kMostList = 4096;

json json_of(const Feed& feed) { return {feed.customer, feed.subscription}; }
Feed feed_in(const json& value) {
  return {fleet::decode_text(at(value, 0), kMostField), fleet::decode_text(at(value, 1), kMostField)};
}
json json_of(const Ballot& ballot) { return {ballot.generation, ballot.session}; }
Ballot ballot_in(const json& value) { return {decode_uint(at(value, 0)), decode_uint(at(value, 1))}; }

bool flag_in(const json& value) {
  require(value.is_boolean());
  return value.get<bool>();
}

const json& list_in(const json& value) {
  require(value.is_array() && value.size() <= kMostList);
  return value;
}

json body(const Promise& m) { return {json_of(m.feed), json_of(m.ballot)}; }
json body(const Write& m) { return {json_of(m.feed), json_of(m.ballot), m.turn, json_of(m.positions)}; }
json body(const Said& m) {
  json folders = json::array();
  for (const auto& [name, folder] : m.folders) folders.push_back({name, folder});
  return {json_of(m.feed), json_of(m.asked), m.turn, m.yes, m.why, json_of(m.held), m.folder, folders};
}
json body(const Pull& m) { return {m.folder, json_of(m.after)}; }
json body(const Page& m) {
  json held = json::array();
  for (const auto& [feed, one] : m.held) held.push_back({json_of(feed), json_of(one)});
  return {m.folder, json_of(m.after), m.whole, held, m.more};
}
json body(const Ask& m) {
  json after = json::array();
  for (const auto& [log, number] : m.after) after.push_back({log, number});
  return {m.number, m.customer, m.regions, after, m.most, m.most_bytes};
}
json body(const Have& m) {
  json logs = json::array();
  for (const auto& one : m.logs) {
    json outcomes = json::array();
    for (const Outcome& o : one.outcomes) outcomes.push_back(json_of(o));
    logs.push_back({one.log.number, one.log.trimmed, one.log.last, one.through, outcomes});
  }
  return {m.number, logs};
}

Message promise_in(const json& b) { return Promise{feed_in(at(b, 0)), ballot_in(at(b, 1))}; }
Message write_in(const json& b) {
  return Write{feed_in(at(b, 0)), ballot_in(at(b, 1)), decode_uint(at(b, 2)), positions_in(at(b, 3))};
}
Message said_in(const json& b) {
  Said m{feed_in(at(b, 0)),
         ballot_in(at(b, 1)),
         decode_uint(at(b, 2)),
         flag_in(at(b, 3)),
         fleet::decode_text(at(b, 4), 256),
         held_in(at(b, 5)),
         decode_uint(at(b, 6)),
         {}};
  for (const json& one : list_in(at(b, 7))) {
    m.folders[fleet::decode_text(at(one, 0), kMostName)] = decode_uint(at(one, 1));
  }
  require(m.folders.size() <= kMostVoters);
  return m;
}
Message pull_in(const json& b) { return Pull{decode_uint(at(b, 0)), feed_in(at(b, 1))}; }
Message page_in(const json& b) {
  Page m{decode_uint(at(b, 0)), feed_in(at(b, 1)), flag_in(at(b, 2)), {}, flag_in(at(b, 4))};
  for (const json& one : list_in(at(b, 3))) m.held[feed_in(at(one, 0))] = held_in(at(one, 1));
  return m;
}
Message ask_in(const json& b) {
  Ask m;
  m.number = decode_uint(at(b, 0));
  m.customer = fleet::decode_text(at(b, 1), kMostField);
  for (const json& region : list_in(at(b, 2))) m.regions.push_back(fleet::decode_text(region, kMostField));
  for (const json& one : list_in(at(b, 3))) m.after[decode_uint(at(one, 0))] = decode_uint(at(one, 1));
  m.most = decode_uint(at(b, 4));
  m.most_bytes = decode_uint(at(b, 5));
  return m;
}
Message have_in(const json& b) {
  Have m{decode_uint(at(b, 0)), {}};
  for (const json& one : list_in(at(b, 1))) {
    Have::One log{{decode_uint(at(one, 0)), decode_uint(at(one, 1)), decode_uint(at(one, 2))},
                  decode_uint(at(one, 3)),
                  {}};
    require(at(one, 4).is_array());
    for (const json& o : one[4]) log.outcomes.push_back(outcome_in(o));
    m.logs.push_back(std::move(log));
  }
  return m;
}

constexpr Message (*kReaders[])(const json&) = {promise_in, write_in, said_in, pull_in,
                                                page_in,    ask_in,   have_in};

}  // namespace

json json_of(const Held& held) {
  return {json_of(held.promised), json_of(held.accepted), held.turn, json_of(held.positions)};
}

Held held_in(const json& value) {
  return {ballot_in(at(value, 0)), ballot_in(at(value, 1)), decode_uint(at(value, 2)),
          positions_in(at(value, 3))};
}

std::string encode(const Message& message) {
  return std::visit(
      [&](const auto& m) {
        return fleet::to_cbor({kTalk, message.index(), body(m)});
      },
      message);
}

Message decode(std::string_view bytes) {
  const json said = fleet::from_cbor(bytes);
  require(decode_uint(at(said, 0)) == kTalk);
  const uint64_t kind = decode_uint(at(said, 1));
  require(kind < std::size(kReaders));
  return kReaders[kind](at(said, 2));
}

}  // namespace umberhoist::feeds
