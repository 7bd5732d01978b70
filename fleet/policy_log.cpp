#include "policy_log.h"

#include <xxhash.h>

#include <algorithm>

namespace umberhoist::fleet {

using nlohmann::json;

uint64_t digest_of(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

json encode(const Outcome& o) {
  return {o.id, static_cast<unsigned>(o.result), o.version, o.relay, o.reason, o.wall_ms};
}

Outcome decode_outcome(const json& from) {
  const uint64_t result = decode_uint(at(from, 1));
  require(result <= 2);
  return {decode_text(at(from, 0), kMaxIdBytes),
          static_cast<Outcome::Result>(result),
          decode_uint(at(from, 2)),
          decode_text(at(from, 3), kMaxIdBytes),
          decode_text(at(from, 4), kMaxReasonBytes),
          decode_uint(at(from, 5))};
}

namespace {

json encode(const Change& c) { return {c.id, c.proposed_by, c.base_version, c.text, c.wall_ms}; }

Change decode_change(const json& from) {
  return {decode_text(at(from, 0), kMaxIdBytes), decode_text(at(from, 1), kMaxIdBytes),
          decode_uint(at(from, 2)), decode_text(at(from, 3), kMaxPolicyBytes), decode_uint(at(from, 4))};
}

std::string command(json fields) { return to_cbor(fields); }

}  // namespace

std::string PolicyLog::start_leader_term(uint64_t term, const std::string& leader) {
  return command({"reign", term, leader});
}
std::string PolicyLog::initial_policy(const std::string& text, const std::vector<std::string>& voters) {
  return command({"first", text, voters});
}
std::string PolicyLog::propose(const Change& change) { return command({"propose", encode(change)}); }
std::string PolicyLog::decide(const std::string& id) { return command(json::array({"decide", id})); }
std::string PolicyLog::abort(const std::string& id, const std::string& relay, const std::string& reason) {
  return command({"abort", id, relay, reason});
}
std::string PolicyLog::replace_voter(const std::string& old_voter, const std::string& new_voter) {
  return command({"replace", old_voter, new_voter});
}

bool PolicyLog::knows(const std::string& id) const {
  return (change_ && change_->id == id) || std::ranges::find(outcomes_, id, &Outcome::id) != outcomes_.end();
}

void PolicyLog::record_outcome(Outcome outcome) {
  ++ended_count_;
  outcomes_.push_back(std::move(outcome));
  if (outcomes_.size() > kMaxOutcomes) outcomes_.pop_front();
}

void PolicyLog::apply(std::string_view bytes) try {
  using Result = Outcome::Result;
  const json c = from_cbor(bytes);
  const std::string tag = decode_text(at(c, 0), kMaxIdBytes);
  if (tag == "reign") {
    leader_term_ = decode_uint(at(c, 1));
  } else if (tag == "first") {
    if (version_ > 0) return;
    std::set<std::string> voters;
    for (const json& name : at(c, 2)) voters.insert(decode_text(name, kMaxIdBytes));
    texts_ = {decode_text(at(c, 1), kMaxPolicyBytes)};
    voters_ = std::move(voters);
    version_ = 1;
    id_ = "first";
  } else if (tag == "propose") {
    Change next = decode_change(at(c, 1));
    if (knows(next.id)) return;
    std::string refusal;
    if (change_) {
      refusal = "another change is under way: " + change_->id;
    } else if (next.base_version != version_ || version_ == 0) {
      refusal = "it was made for version " + std::to_string(next.base_version) + ", and " +
                std::to_string(version_) + " is in force";
    } else if (next.text == text()) {
      refusal = "it is already in force";
    }
    if (refusal.empty()) {
      change_ = std::move(next);
    } else {
      record_outcome({next.id, Result::kRefused, 0, next.proposed_by, refusal, next.wall_ms});
    }
  } else if (tag == "decide") {
    if (!change_ || change_->id != decode_text(at(c, 1), kMaxIdBytes)) return;
    texts_.push_back(change_->text);
    if (texts_.size() > kMaxTexts) texts_.pop_front();
    id_ = change_->id;
    record_outcome({change_->id, Result::kInForce, ++version_, change_->proposed_by, "", change_->wall_ms});
    change_.reset();
  } else if (tag == "abort") {
    const std::string id = decode_text(at(c, 1), kMaxIdBytes);
    const std::string relay = decode_text(at(c, 2), kMaxIdBytes),
                      reason = decode_text(at(c, 3), kMaxReasonBytes);
    const bool under_way = change_ && change_->id == id;
    if (!under_way && knows(id)) return;
    record_outcome({id, Result::kAborted, 0, relay, reason, under_way ? change_->wall_ms : 0});
    if (under_way) change_.reset();
  } else if (tag == "replace") {
    const std::string old_voter = decode_text(at(c, 1), kMaxIdBytes),
                      new_voter = decode_text(at(c, 2), kMaxIdBytes);
    if (!voters_.contains(old_voter) || voters_.contains(new_voter)) return;
    voters_.erase(old_voter);
    voters_.insert(new_voter);
  }
} catch (const DecodeError&) {
}

std::string PolicyLog::state() const {
  json outcomes = json::array();
  for (const Outcome& o : outcomes_) outcomes.push_back(encode(o));
  return to_cbor({version_, id_, texts_, change_ ? encode(*change_) : json(nullptr), outcomes, ended_count_,
                  leader_term_, voters_});
}

void PolicyLog::restore(std::string_view bytes) {
  const json s = from_cbor(bytes);
  PolicyLog out;
  out.version_ = decode_uint(at(s, 0));
  out.id_ = decode_text(at(s, 1), kMaxIdBytes);
  for (const json& text : at(s, 2)) out.texts_.push_back(decode_text(text, kMaxPolicyBytes));
  if (!at(s, 3).is_null()) out.change_ = decode_change(at(s, 3));
  for (const json& o : at(s, 4)) out.outcomes_.push_back(decode_outcome(o));
  out.ended_count_ = decode_uint(at(s, 5));
  out.leader_term_ = decode_uint(at(s, 6));
  for (const json& name : at(s, 7)) out.voters_.insert(decode_text(name, kMaxIdBytes));
  require(out.outcomes_.size() <= kMaxOutcomes && out.texts_.size() <= kMaxTexts &&
          (out.version_ == 0) == out.texts_.empty());
  *this = std::move(out);
}

}  // namespace umberhoist::fleet
