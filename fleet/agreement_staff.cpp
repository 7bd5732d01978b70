// Staff's calls, what came of them, and what this relay knows, for people and the model checker.
#include <xxhash.h>

#include <algorithm>

#include "agreement.h"
#include "agreement_parts.h"

namespace umberhoist::fleet {

using nlohmann::json;

void Agreement::note(Outcome outcome) {
  outcomes_.push_back(std::move(outcome));
  if (outcomes_.size() > PolicyLog::kMostOutcomes) outcomes_.pop_front();
}

const Outcome* Agreement::ended(const std::string& id) const {
  const auto it = std::ranges::find(outcomes_, id, &Outcome::id);
  return it == outcomes_.end() ? nullptr : &*it;
}

void Agreement::hear_outcomes(const Grant& g) {
  const uint64_t missed = g.ended > ended_ ? g.ended - ended_ : 0;
  const size_t fresh = std::min<size_t>(missed, g.outcomes.size());
  for (size_t i = g.outcomes.size() - fresh; i < g.outcomes.size(); ++i) note(g.outcomes[i]);
  ended_ = std::max(ended_, g.ended);
  settle_ask(g);
}

// The leader knows of it, or it is known that it never will.
void Agreement::settle_ask(const Grant& g) {
  if (!ask_) return;
  const auto& id = ask_->id;
  if (ended(id) != nullptr || (g.change && g.change->id == id && ask_->body[0] == "propose") ||
      (ask_->body[0] == "replace" && g.voters.contains(ask_->body[2].get<std::string>()))) {
    ask_.reset();
    return;
  }
  // What went out on an older leader's word, or too long ago, is taken up by none.
  const bool void_now =
      g.term > ask_->told_term || g.stamp > ask_->told_stamp + static_cast<uint64_t>(3 * settings_.term);
  if (!ask_->given_up || !void_now || g.busy == id) return;
  note({id, Outcome::What::kRefused, 0, settings_.name,
        "no majority of voters took it up in time; it never takes hold", 0});
  ask_.reset();
}

std::string Agreement::begin_ask(Time now, const std::string& id, json body) {
  if (!broken_.empty()) return "this relay stays out: " + broken_;
  if (heard_ < 0 || now - heard_ > settings_.term) {
    return "no leader of the voters heard" + (heard_ < 0 ? std::string() : " for " + ms_text(now - heard_));
  }
  if (ask_) return ask_->id + " is still being handed in here";
  ask_ = Ask{std::move(body), id, now, 0, 0, false};
  renew_at_ = now;
  return "";
}

std::string Agreement::propose(Time now, const std::string& id, const std::string& text, uint64_t wall_ms) {
  if (id.empty() || id.size() > kMostId) return "an id has 1 to 64 bytes";
  if (text.size() > kMostPolicy) return "the policy has more than " + std::to_string(kMostPolicy) + " bytes";
  if (held_.version == 0) return "no version is held here yet";
  if (std::string why = settings_.check(text); !why.empty()) return why;
  if (change_ && change_->id == id) return "";
  if (ended(id) != nullptr) return "";
  if (ask_ && ask_->id == id) return "";
  return begin_ask(now, id, {"propose", id, settings_.name, held_.version, text, wall_ms});
}

std::string Agreement::abort(Time now, const std::string& id) {
  if (id.empty() || id.size() > kMostId) return "an id has 1 to 64 bytes";
  if (const Outcome* end = ended(id)) {
    return std::string("it has ended: ") + kOutcomeNames[static_cast<int>(end->what)];
  }
  if (ask_ && ask_->id == id) ask_.reset();  // what has gone out already is met by the abort
  return begin_ask(now, id, {"abort", id, settings_.name});
}

std::string Agreement::replace(Time now, const std::string& old, const std::string& fresh) {
  if (!told_voters_.contains(old)) return old + " is no voter";
  if (told_voters_.contains(fresh)) return fresh + " is a voter already";
  if (std::ranges::find(settings_.names, fresh) == settings_.names.end()) return fresh + " is not configured";
  return begin_ask(now, "replace " + old, {"replace", old, fresh});
}

Agreement::View Agreement::view(Time now) const {
  View v;
  v.version = held_.version;
  v.id = held_.id;
  v.digest = digest_of(held_.text);
  v.closed = lease_until_ > now ? ""
             : !broken_.empty() ? broken_
             : closed_.empty()  ? "its lease is over"
                                : closed_;
  v.leader = leader_;
  v.heard = heard_;
  v.newest = newest_;
  v.term = leader_term_;
  v.change = change_;
  v.waiting = waiting_;
  if (ask_)
    v.asking = ask_->id + (ask_->given_up ? " (undecided: no majority of voters took it up yet)" : "");
  v.outcomes = outcomes_;
  return v;
}

std::optional<std::string> Agreement::text_of_version(uint64_t version) const {
  if (version == held_.version && version > 0) return held_.text;
  const auto& texts = log_.texts();
  if (version == 0 || version > log_.version() || log_.version() - version >= texts.size()) return {};
  return texts[texts.size() - 1 - static_cast<size_t>(log_.version() - version)];
}

uint64_t Agreement::fingerprint(Time now) const {
  uint64_t out = 7;
  const auto text = [&](const std::string& t) { out = XXH64(t.data(), t.size(), out + t.size()); };
  const auto mix = [&](uint64_t v) { out = XXH64(&v, sizeof v, out); };
  const auto time = [&](Time t) { mix(t <= now ? 0 : static_cast<uint64_t>((t - now) / kMs)); };
  text(whole_file());
  text(log_.state());
  if (raft_) mix(raft_->fingerprint(now));
  text(leader_);
  text(answer_);
  text(no_);
  text(cannot_);
  text(ask_ ? ask_->id : "");
  mix(leader_term_);
  mix(bound_);
  mix(newest_);
  time(lease_until_);
  time(renew_at_);
  if (leadership_) mix(leadership_->fingerprint(now));
  return out;
}

}  // namespace umberhoist::fleet
