// A relay's part: it renews its lease, takes hold of the version in force, says yes or no to a change, and
// keeps its door.
#include <algorithm>

#include "agreement.h"
#include "agreement_parts.h"

namespace umberhoist::fleet {
namespace {

constexpr size_t kMostSent = 32;

}  // namespace

using nlohmann::json;

void Agreement::shut(const std::string& why) {
  if (lease_until_ > 0) {
    out_.push_back(Door{0});
    word("policy_fenced", "takes on nothing new: " + why);
  }
  lease_until_ = 0;
  closed_ = why;
}

Renew Agreement::make_renew(Time now) {
  Renew r;
  r.origin = settings_.name;
  r.life = life_;
  r.nonce = nonce_;
  r.number = ++number_;
  r.program = clipped(settings_.program, kMaxNameSize);
  r.raft_term = raft_ ? raft_->term() : 0;
  r.echo_term = leader_term_;
  r.echo_stamp = leader_stamp_;
  r.version = held_.version;
  r.digest = digest_of(held_.text);
  r.cannot = cannot_;
  r.answer = answer_;
  r.no = no_;
  r.leaving = leaving_;
  r.ended = ended_;
  if (ask_ && !ask_->given_up) {
    r.ask = ask_->body;
    ask_->told_term = leader_term_;
    ask_->told_stamp = leader_stamp_;
  }
  if (settings_.rider != nullptr) r.ride = settings_.rider->ask(now);
  sent_[number_] = now;
  if (sent_.size() > kMostSent) sent_.erase(sent_.begin());
  return r;
}

// To who passed the last grant on, or to all that may know the leader.
void Agreement::renew(Time now) {
  if (ask_ && !ask_->given_up && now - ask_->since > 2 * settings_.term) ask_->given_up = true;
  if (leads()) {
    Grant g = leadership_->answer(now, make_renew(now));
    g.founding = founding_->id;
    through_ = settings_.name;
    return granted(now, g);
  }
  const bool lost = heard_ < 0 || now - heard_ > 2 * settings_.period || through_ == settings_.name;
  const json body = make_renew(now).packed();
  if (!lost) return send(through_, "renew", body);
  for (const std::string& name : contacts()) send(name, "renew", body);
}

void Agreement::granted(Time now, const Grant& g) {
  const auto sent = sent_.find(g.number);
  if (g.life != life_ || sent == sent_.end() || g.term < leader_term_) return;
  const Time asked = sent->second;
  if (founding_ && g.founding != 0 && founding_->id != g.founding) {
    return shut("the fleet was founded anew without this folder");
  }
  if (!founding_) {
    founding_ = Founding{g.founding, {}};
    record(founding_->record());
  }
  const bool news = leader_ != g.leader || leader_term_ != g.term;
  if (news) word("policy_leader", "the voters' leader is " + g.leader);
  leader_ = g.leader;
  leader_term_ = g.term;
  leader_stamp_ = g.stamp;
  heard_ = now;
  newest_ = g.version;
  if (!g.voters.empty() && g.voters != told_voters_) {
    told_voters_ = g.voters;
    record(json::array({"voters", told_voters_}));
  }
  const bool was_off = rates_.off();
  const bool steady = rates_.agree(asked, now, g.term, g.stamp);
  if (!steady && !was_off) word("policy_clock", "this clock and the leader's differ by more than 1 in 500");
  hear_outcomes(g);
  consider(now, g);
  // A voter's next echo confirms the leader; the others wait for that a little.
  if (g.lease == 0) renew_at_ = std::min(renew_at_, news && raft_ ? now : now + settings_.period / 4);
  if (!take_hold(now, g) || leaving_) return;
  if (bound_) return shut("this folder said yes to " + answer_ + ", which this program cannot hold: " + no_);
  if (!steady) return shut("its clock and the leader's differ by more than 1 in 500");
  const Time until = asked + g.lease;
  if (g.lease > 0 && !g.ride.empty() && settings_.rider != nullptr &&
      settings_.rider->took(now, g.term, g.ride, until)) {
    renew_at_ = std::min(renew_at_, now + settings_.period / 8);  // the leader hears that it is taken
  }
  if (g.lease == 0 || until <= lease_until_ || until <= now) return;
  if (lease_until_ == 0) {
    word("policy_open", "takes messages on under version " + std::to_string(held_.version));
  }
  closed_.clear();
  lease_until_ = until;
  out_.push_back(Door{until});
  if (settings_.plant == Plant::kLeaseKept) record(json::array({"lease", static_cast<uint64_t>(until)}));
}

// The version in force is held, or this relay stays out. Answers whether it is held.
bool Agreement::take_hold(Time now, const Grant& g) {
  if (g.version == 0) return false;
  if (g.version < held_.version) {
    shut("the leader tells an older version than this folder holds");
    return false;
  }
  const bool same = g.digest == digest_of(held_.text);
  if (g.version == held_.version && same && cannot_.empty()) return true;
  if (!same && !g.text) {  // asked for by telling what is held
    if (held_.version == 0 || g.version > held_.version) renew_at_ = std::min(renew_at_, now);
    return false;
  }
  const std::string text = same ? held_.text : *g.text;
  cannot_ = clipped(settings_.check(text), kMostReason);
  if (!cannot_.empty()) {
    const std::string why = "version " + std::to_string(g.version) + " cannot be held here: " + cannot_;
    if (closed_ != why) word("policy_cannot", "stays out: " + why);
    shut(why);
    return false;
  }
  held_ = {g.version, g.id, text};
  record({"policy", held_.version, held_.id, held_.text});
  out_.push_back(Adopt{held_.version, held_.id, held_.text});
  renew_at_ = std::min(renew_at_, now + settings_.period / 4);  // the leader hears that it is held
  return true;
}

// What this relay says of a change: written before it is said.
void Agreement::consider(Time now, const Grant& g) {
  waiting_ = g.waiting;
  if (!g.change) {
    change_.reset();
    answer_.clear();
    no_.clear();
    bound_ = false;
    return;
  }
  const Change& c = *g.change;
  change_ = Change{c.id, c.by, c.base, "", c.wall_ms};
  if (answer_ == c.id || !g.change_text) return;
  answer_ = c.id;
  no_ = clipped(settings_.check(c.text), kMostReason);
  bound_ = !no_.empty() && yes_ == c.id;
  if (no_.empty() && yes_ != c.id) {
    yes_ = c.id;
    if (settings_.plant != Plant::kYesNotWritten) record(json::array({"yes", yes_}));
  }
  renew_at_ = now;
}

}  // namespace umberhoist::fleet
