#include "policy_log.h"

#include <xxhash.h>

#include <algorithm>

namespace umberhoist::fleet {

using nlohmann::json;

uint64_t digest_of(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

json packed(const Outcome& o) {
  return {o.id, static_cast<unsigned>(o.what), o.version, o.by, o.reason, o.wall_ms};
}

Outcome outcome_of(const json& from) {
  const uint64_t what = decode_uint(at(from, 1));
  require(what <= 2);
  return {decode_text(at(from, 0), kMostId), static_cast<Outcome::What>(what),      decode_uint(at(from, 2)),
          decode_text(at(from, 3), kMostId), decode_text(at(from, 4), kMostReason), decode_uint(at(from, 5))};
}

namespace {

json packed(const Change& c) { return {c.id, c.by, c.base, c.text, c.wall_ms}; }

Change change_of(const json& from) {
  return {decode_text(at(from, 0), kMostId), decode_text(at(from, 1), kMostId), decode_uint(at(from, 2)),
          decode_text(at(from, 3), kMostPolicy), decode_uint(at(from, 4))};
}

std::string command(json fields) { return to_cbor(fields); }

}  // namespace

std::string PolicyLog::reign(uint64_t term, const std::string& leader) {
  return command({"reign", term, leader});
}
std::string PolicyLog::first(const std::string& text, const std::vector<std::string>& voters) {
  return command({"first", text, voters});
}
std::string PolicyLog::propose(const Change& change) { return command({"propose", packed(change)}); }
std::string PolicyLog::decide(const std::string& id) { return command(json::array({"decide", id})); }
std::string PolicyLog::abort(const std::string& id, const std::string& by, const std::string& reason) {
  return command({"abort", id, by, reason});
}
std::string PolicyLog::replace(const std::string& old, const std::string& fresh) {
  return command({"replace", old, fresh});
}

bool PolicyLog::knows(const std::string& id) const {
  return (change_ && change_->id == id) || std::ranges::find(outcomes_, id, &Outcome::id) != outcomes_.end();
}

void PolicyLog::end(Outcome outcome) {
  ++ended_;
  outcomes_.push_back(std::move(outcome));
  if (outcomes_.size() > kMostOutcomes) outcomes_.pop_front();
}

void PolicyLog::apply(std::string_view bytes) try {
  using What = Outcome::What;
  const json c = from_cbor(bytes);
  const std::string tag = decode_text(at(c, 0), kMostId);
  if (tag == "reign") {
    reign_ = decode_uint(at(c, 1));
  } else if (tag == "first") {
    if (version_ > 0) return;
    std::set<std::string> voters;
    for (const json& name : at(c, 2)) voters.insert(decode_text(name, kMostId));
    texts_ = {decode_text(at(c, 1), kMostPolicy)};
    voters_ = std::move(voters);
    version_ = 1;
    id_ = "first";
  } else if (tag == "propose") {
    Change next = change_of(at(c, 1));
    if (knows(next.id)) return;
    std::string no;
    if (change_) {
      no = "another change is under way: " + change_->id;
    } else if (next.base != version_ || version_ == 0) {
      no = "it was made for version " + std::to_string(next.base) + ", and " + std::to_string(version_) +
           " is in force";
    } else if (next.text == text()) {
      no = "it is what is in force";
    }
    if (no.empty()) {
      change_ = std::move(next);
    } else {
      end({next.id, What::kRefused, 0, next.by, no, next.wall_ms});
    }
  } else if (tag == "decide") {
    if (!change_ || change_->id != decode_text(at(c, 1), kMostId)) return;
    texts_.push_back(change_->text);
    if (texts_.size() > kMostTexts) texts_.pop_front();
    id_ = change_->id;
    end({change_->id, What::kInForce, ++version_, change_->by, "", change_->wall_ms});
    change_.reset();
  } else if (tag == "abort") {
    const std::string id = decode_text(at(c, 1), kMostId);
    const std::string by = decode_text(at(c, 2), kMostId), reason = decode_text(at(c, 3), kMostReason);
    const bool under_way = change_ && change_->id == id;
    if (!under_way && knows(id)) return;
    end({id, What::kAborted, 0, by, reason, under_way ? change_->wall_ms : 0});
    if (under_way) change_.reset();
  } else if (tag == "replace") {
    const std::string old = decode_text(at(c, 1), kMostId), fresh = decode_text(at(c, 2), kMostId);
    if (!voters_.contains(old) || voters_.contains(fresh)) return;
    voters_.erase(old);
    voters_.insert(fresh);
  }
} catch (const DecodeError&) {
}

std::string PolicyLog::state() const {
  json outcomes = json::array();
  for (const Outcome& o : outcomes_) outcomes.push_back(packed(o));
  return to_cbor(
      {version_, id_, texts_, change_ ? packed(*change_) : json(nullptr), outcomes, ended_, reign_, voters_});
}

void PolicyLog::restore(std::string_view bytes) {
  const json s = from_cbor(bytes);
  PolicyLog out;
  out.version_ = decode_uint(at(s, 0));
  out.id_ = decode_text(at(s, 1), kMostId);
  for (const json& text : at(s, 2)) out.texts_.push_back(decode_text(text, kMostPolicy));
  if (!at(s, 3).is_null()) out.change_ = change_of(at(s, 3));
  for (const json& o : at(s, 4)) out.outcomes_.push_back(outcome_of(o));
  out.ended_ = decode_uint(at(s, 5));
  out.reign_ = decode_uint(at(s, 6));
  for (const json& name : at(s, 7)) out.voters_.insert(decode_text(name, kMostId));
  require(out.outcomes_.size() <= kMostOutcomes && out.texts_.size() <= kMostTexts &&
          (out.version_ == 0) == out.texts_.empty());
  *this = std::move(out);
}

}  // namespace umberhoist::fleet
