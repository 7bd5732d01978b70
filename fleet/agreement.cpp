#include "agreement.h"

#include <xxhash.h>

#include <algorithm>

#include "records.h"

namespace umberhoist::fleet {
namespace {

using nlohmann::json;

constexpr uint64_t kAgreementProtocol = 1;
constexpr uint64_t kFormat = 1;  // of the file
constexpr size_t kMostSent = 32;
constexpr size_t kMostWaiting = 32;  // names in a status
constexpr size_t kAppendRest = 64 * 1024;
constexpr Time kReanchor = 600 * kSecond;

uint64_t server_id(const std::string& name, uint64_t nonce) {
  return std::max<uint64_t>(1, XXH64(name.data(), name.size(), nonce));
}

std::string clipped(std::string text, size_t most) {
  if (text.size() > most) text.resize(most);
  return text;
}

std::string ms_text(Time t) { return std::to_string(std::max<Time>(0, t) / kMs) + " ms"; }

json list_of(const std::vector<std::pair<std::string, std::string>>& pairs) {
  json out = json::array();
  for (const auto& [a, b] : pairs) out.push_back({a, b});
  return out;
}

bool flag_of(const json& value) {
  want(value.is_boolean());
  return value.get<bool>();
}

}  // namespace

// ---- Messages ----

struct Agreement::Renew {
  std::string origin, via;
  uint64_t life = 0, nonce = 0, number = 0;
  std::string program;
  uint64_t raft_term = 0, echo_term = 0, echo_stamp = 0;  // its log's; what it heard of the leader last
  uint64_t version = 0, digest = 0;
  std::string cannot, answer, no;
  bool leaving = false;
  uint64_t ended = 0;
  json ask;

  json packed() const {
    return {origin,  via,    life,   nonce,  number, program, raft_term, echo_term, echo_stamp,
            version, digest, cannot, answer, no,     leaving, ended,     ask};
  }
  static Renew of(const json& r) {
    return {text_of(at(r, 0), kMostName),
            text_of(at(r, 1), kMostName),
            number_of(at(r, 2)),
            number_of(at(r, 3)),
            number_of(at(r, 4)),
            text_of(at(r, 5), kMostName),
            number_of(at(r, 6)),
            number_of(at(r, 7)),
            number_of(at(r, 8)),
            number_of(at(r, 9)),
            number_of(at(r, 10)),
            text_of(at(r, 11), kMostReason),
            text_of(at(r, 12), kMostId),
            text_of(at(r, 13), kMostReason),
            flag_of(at(r, 14)),
            number_of(at(r, 15)),
            at(r, 16)};
  }
};

struct Agreement::Grant {
  std::string leader, via, to;
  uint64_t founding = 0, life = 0, number = 0, term = 0, stamp = 0;
  Time lease = 0;
  uint64_t version = 0, digest = 0;
  std::string id;
  std::optional<std::string> text;  // where the relay has another
  std::optional<Change> change;     // its text is empty where the relay has answered
  bool change_text = false;
  std::string busy;
  uint64_t ended = 0;
  std::deque<Outcome> outcomes;  // the last of them
  std::set<std::string> voters;
  std::vector<std::pair<std::string, std::string>> waiting;

  json packed() const {
    json c, ends = json::array();
    if (change) c = {change->id, change->by, change->base, change->wall_ms, change->text, change_text};
    for (const Outcome& o : outcomes) ends.push_back(fleet::packed(o));
    return {leader,  via,
            to,      life,
            number,  term,
            stamp,   static_cast<uint64_t>(lease),
            version, digest,
            id,      text ? json(*text) : json(nullptr),
            c,       busy,
            ended,   ends,
            voters,  list_of(waiting)};
  }
  static Grant of(const json& g) {
    Grant out;
    out.leader = text_of(at(g, 0), kMostName);
    out.via = text_of(at(g, 1), kMostName);
    out.to = text_of(at(g, 2), kMostName);
    out.life = number_of(at(g, 3));
    out.number = number_of(at(g, 4));
    out.term = number_of(at(g, 5));
    out.stamp = number_of(at(g, 6));
    const uint64_t lease = number_of(at(g, 7));
    want(lease <= 3600u * kSecond);
    out.lease = static_cast<Time>(lease);
    out.version = number_of(at(g, 8));
    out.digest = number_of(at(g, 9));
    out.id = text_of(at(g, 10), kMostId);
    if (!at(g, 11).is_null()) out.text = text_of(at(g, 11), kMostPolicy);
    if (const json& c = at(g, 12); !c.is_null()) {
      out.change = Change{text_of(at(c, 0), kMostId), text_of(at(c, 1), kMostName), number_of(at(c, 2)),
                          text_of(at(c, 4), kMostPolicy), number_of(at(c, 3))};
      out.change_text = flag_of(at(c, 5));
    }
    out.busy = text_of(at(g, 13), kMostId);
    out.ended = number_of(at(g, 14));
    for (const json& o : at(g, 15)) out.outcomes.push_back(outcome_of(o));
    for (const json& v : at(g, 16)) out.voters.insert(text_of(v, kMostName));
    for (const json& w : at(g, 17)) {
      out.waiting.emplace_back(text_of(at(w, 0), kMostName), text_of(at(w, 1), kMostReason));
    }
    want(out.outcomes.size() <= PolicyLog::kMostOutcomes && out.waiting.size() <= kMostWaiting + 1);
    return out;
  }
};

// ---- The file ----

Agreement::Agreement(Settings settings, std::string_view file, uint64_t seed)
    : settings_(std::move(settings)), chance_(seed, 23) {
  try {
    load(file);
  } catch (const Bad&) {
    broken_ = "a record does not read";
  }
  life_ = draw();
}

void Agreement::load(std::string_view file) {
  const Records records = read_records(file);
  if (records.end == Records::End::kCorrupt) {
    broken_ = "the record at byte " + std::to_string(records.whole) + " fails its checksum";
    return;
  }
  torn_ = records.end == Records::End::kTorn;
  for (const std::string& body : records.bodies) {
    const json r = from_cbor(body);
    const std::string tag = text_of(at(r, 0), kMostName);
    if (tag == "format") {
      if (number_of(at(r, 1)) <= kFormat) continue;
      broken_ = "it was written by a newer version of the program";
      return;
    }
    if (tag == "folder") {
      nonce_ = number_of(at(r, 1));
    } else if (tag == "founding") {
      founding_ = Founding::of(r);
    } else if (tag == "voters") {
      told_voters_.clear();
      for (const json& name : at(r, 1)) told_voters_.insert(text_of(name, kMostName));
    } else if (tag == "policy") {
      held_ = {number_of(at(r, 1)), text_of(at(r, 2), kMostId), text_of(at(r, 3), kMostPolicy)};
    } else if (tag == "yes") {
      yes_ = text_of(at(r, 1), kMostId);
    } else if (tag == "lease") {
      kept_lease_ = static_cast<Time>(number_of(at(r, 1)));
    } else {
      want(stored_.take(r));
    }
  }
}

std::optional<std::string> Agreement::stored_policy(std::string_view file) {
  std::optional<std::string> out;
  try {
    for (const std::string& body : read_records(file).bodies) {
      const json r = from_cbor(body);
      if (text_of(at(r, 0), kMostName) == "policy") out = text_of(at(r, 3), kMostPolicy);
    }
  } catch (const Bad&) {
  }
  return out;
}

json Agreement::Founding::record() const {
  json list = json::array();
  for (const auto& [name, nonce] : voters) list.push_back({name, nonce});
  return {"founding", id, list};
}

Agreement::Founding Agreement::Founding::of(const json& record) {
  Founding out{number_of(at(record, 1)), {}};
  for (const json& v : at(record, 2)) {
    out.voters.emplace_back(text_of(at(v, 0), kMostName), number_of(at(v, 1)));
  }
  return out;
}

std::string Agreement::whole_file() const {
  std::vector<json> records = {json::array({"format", kFormat}), json::array({"folder", nonce_})};
  if (founding_) records.push_back(founding_->record());
  if (!told_voters_.empty()) records.push_back(json::array({"voters", told_voters_}));
  if (held_.version > 0) records.push_back({"policy", held_.version, held_.id, held_.text});
  if (!yes_.empty()) records.push_back(json::array({"yes", yes_}));
  const auto log = raft_ ? raft_->records() : stored_.records();
  records.insert(records.end(), log.begin(), log.end());
  std::string out;
  for (const json& r : records) out += framed(to_cbor(r));
  return out;
}

void Agreement::record(json record) {
  std::string bytes = framed(to_cbor(record));
  appended_ += bytes.size();
  out_.push_back(Write{std::move(bytes), false});
}

void Agreement::compacted() {
  appended_ = 0;
  out_.push_back(Write{whole_file(), true});
}

// ---- Between relays ----

void Agreement::send(const std::string& to, const char* kind, json body) {
  out_.push_back(Send{to, to_cbor({kAgreementProtocol, settings_.cluster, kind, founding_ ? founding_->id : 0,
                                   std::move(body)})});
}

void Agreement::carry(const std::string& to, json message) { send(to, "raft", std::move(message)); }

uint64_t Agreement::own_id() const { return server_id(settings_.name, nonce_); }

uint64_t Agreement::draw() { return std::max<uint64_t>(1, (uint64_t{chance_()} << 32) | chance_()); }

std::vector<std::string> Agreement::contacts() const {
  std::set<std::string> out(settings_.voters.begin(), settings_.voters.end());
  out.insert(told_voters_.begin(), told_voters_.end());
  out.erase(settings_.name);
  return {out.begin(), out.end()};
}

void Agreement::received(Time now, const std::string& from, std::string_view bytes) {
  if (!broken_.empty()) return;
  try {
    const json m = from_cbor(bytes);
    want(number_of(at(m, 0)) == kAgreementProtocol && text_of(at(m, 1), kMostName) == settings_.cluster);
    const std::string kind = text_of(at(m, 2), kMostName);
    const uint64_t founding = number_of(at(m, 3));
    const json& body = at(m, 4);
    if (kind == "fresh") {
      const uint64_t nonce = number_of(body);
      if (founding_ && !founding_->voters.empty()) {
        send(from, "founded", founding_->record());
      } else if (!founding_) {
        fresh_[from] = {nonce, now};
        found(now);
      }
    } else if (kind == "founded") {
      founded(now, Founding::of(body));
    } else if (kind == "raft") {
      if (!founding_ || founding_->id != founding) return;
      if (!raft_) start_log(now, {});
      raft_->received(now, body);
    } else if (kind == "renew") {
      Renew r = Renew::of(body);
      if (founding != 0 && founding_ && founding != founding_->id) return;
      want(r.via.empty() ? r.origin == from : r.via == from);
      if (std::ranges::find(settings_.names, r.origin) == settings_.names.end()) return;
      if (active()) {
        const Grant g = answer(now, r);
        send(from, "grant", g.packed());
      } else if (const std::string leader = raft_ ? raft_->leader() : "";
                 r.via.empty() && !leader.empty() && leader != settings_.name && leader != r.origin) {
        r.via = settings_.name;
        send(leader, "renew", r.packed());
        send(from, "elsewhere", leader);
      }
    } else if (kind == "grant") {
      Grant g = Grant::of(body);
      g.founding = founding;
      if (g.to != settings_.name) {
        if (g.via == settings_.name) send(g.to, "grant", body);
      } else {
        through_ = from;
        granted(now, g);
      }
    } else if (kind == "elsewhere") {
      const std::string leader = text_of(body, kMostName);
      const bool known = leader == through_;
      if (heard_ < 0 || now - heard_ > 2 * settings_.period) through_ = leader;
      if (!known && leader != settings_.name) send(leader, "renew", make_renew(now).packed());
    } else {
      throw Bad{};
    }
  } catch (const Bad&) {
    ++unreadable_;
  }
  lead(now);
}

// ---- The founding ----

void Agreement::start(Time now) {
  if (!broken_.empty()) {
    word("policy_broken",
         "the record of the fleet's policy cannot be used: " + broken_ + "; this relay stays out");
    return;
  }
  if (nonce_ == 0) {
    nonce_ = draw();
    compacted();
  } else if (torn_) {
    compacted();
  }
  if (settings_.plant == Plant::kLeaseKept && kept_lease_ > now)
    out_.push_back(Door{lease_until_ = kept_lease_});
  if (held_.version > 0) cannot_ = clipped(settings_.check(held_.text), kMostReason);
  if (founding_ && stored_.term > 0) start_log(now, std::exchange(stored_, {}));
  renew_at_ = now;
  woke(now);
}

void Agreement::start_log(Time now, Consensus::Stored stored) {
  Consensus::Settings s;
  s.id = own_id();
  s.name = settings_.name;
  // So that a leader's end, its election and the wait for its leases come to less than two terms.
  s.election = settings_.term / 6;
  s.heartbeat = std::max<Time>(kMs, settings_.term / 48);
  s.snapshot_after = 8;
  s.trailing = 2;
  Consensus::Host& host = *this;
  raft_ = std::make_unique<Consensus>(s, host, std::move(stored), draw());
  raft_->start(now);
}

// The first of the voters by name founds, once it has heard all of them, each with an empty folder.
void Agreement::found(Time now) {
  std::vector<std::string> voters = settings_.voters;
  std::ranges::sort(voters);
  if (founding_ || voters.empty() || voters.front() != settings_.name) return;
  Founding f{draw(), {{settings_.name, nonce_}}};
  for (const std::string& name : voters) {
    if (name == settings_.name) continue;
    const auto heard = fresh_.find(name);
    if (heard == fresh_.end() || now - heard->second.second > 4 * settings_.period) return;
    f.voters.emplace_back(name, heard->second.first);
  }
  founded(now, f);
  for (const auto& [name, nonce] : f.voters) {
    if (name != settings_.name) send(name, "founded", f.record());
  }
}

void Agreement::founded(Time now, Founding founding) {
  if (founding_) return;
  founding_ = std::move(founding);
  record(founding_->record());
  const auto& voters = founding_->voters;
  if (std::ranges::find(voters, std::pair(settings_.name, nonce_)) != voters.end()) {
    std::vector<Consensus::Server> servers;
    for (const auto& [name, nonce] : voters) servers.push_back({server_id(name, nonce), name, RAFT_VOTER});
    Consensus::Stored stored = Consensus::Stored::founded(servers);
    for (const json& r : stored.records()) record(r);
    start_log(now, std::move(stored));
  }
  renew_at_ = now;
}

// ---- Time ----

Time Agreement::next() const {
  if (!broken_.empty()) return kNever;
  return std::min(renew_at_, raft_ ? raft_->next() : kNever);
}

void Agreement::woke(Time now) {
  if (!broken_.empty()) return;
  if (raft_) {
    raft_->woke(now);
    if (!raft_->failed().empty()) {
      broken_ = raft_->failed();
      word("policy_broken", "the replicated log of the fleet's policy has failed: " + broken_);
      shut("its log has failed");
      return;
    }
  }
  if (now >= renew_at_) {
    if (!founding_ && std::ranges::find(settings_.voters, settings_.name) != settings_.voters.end()) {
      found(now);
      for (const std::string& name : settings_.voters) {
        if (!founding_ && name != settings_.name) send(name, "fresh", nonce_);
      }
    }
    renew(now);
    renew_at_ = now + (change_ ? settings_.period / 2 : settings_.period);
  }
  if (lease_until_ > 0 && now > lease_until_) {
    shut(heard_ < 0 ? "no leader was heard yet"
                    : "not heard for " + ms_text(settings_.term) + " that version " +
                          std::to_string(held_.version) + " is the newest");
  }
  lead(now);
  if (appended_ > 4 * held_.text.size() + kAppendRest) compacted();
}

// ---- A relay's part ----

void Agreement::shut(const std::string& why) {
  if (lease_until_ > 0) {
    out_.push_back(Door{0});
    word("policy_fenced", "takes on nothing new: " + why);
  }
  lease_until_ = 0;
  closed_ = why;
}

Agreement::Renew Agreement::make_renew(Time now) {
  Renew r;
  r.origin = settings_.name;
  r.life = life_;
  r.nonce = nonce_;
  r.number = ++number_;
  r.program = clipped(settings_.program, kMostName);
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
  sent_[number_] = now;
  if (sent_.size() > kMostSent) sent_.erase(sent_.begin());
  return r;
}

// To who passed the last grant on, or to all that may know the leader.
void Agreement::renew(Time now) {
  if (ask_ && !ask_->given_up && now - ask_->since > 2 * settings_.term) ask_->given_up = true;
  if (active()) {
    const Grant g = answer(now, make_renew(now));
    through_ = settings_.name;
    return granted(now, g);
  }
  const bool lost = heard_ < 0 || now - heard_ > 2 * settings_.period || through_ == settings_.name;
  const json body = make_renew(now).packed();
  if (!lost) return send(through_, "renew", body);
  for (const std::string& name : contacts()) send(name, "renew", body);
}

// Whether this clock and the leader's go at one rate, as far as two round trips can tell. A clock that is
// past the bound would make a lease last longer here than the leader counts.
bool Agreement::clocks_agree(Time sent, Time now, const Grant& g) {
  const bool fresh = anchor_.term != g.term || now - anchor_.heard > kReanchor || g.stamp < anchor_.stamp;
  if (fresh) {
    anchor_ = {g.term, g.stamp, sent, now};
    return !drifted_;
  }
  const Time theirs = static_cast<Time>(g.stamp - anchor_.stamp);
  const Time least = sent - anchor_.heard, most = now - anchor_.sent;
  const bool off = theirs > most + most / kDriftOne + kMs || theirs + theirs / kDriftOne + kMs < least;
  if (off && !drifted_) word("policy_clock", "this clock and the leader's differ by more than 1 in 500");
  drifted_ = off;
  return !off;
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
  const bool steady = clocks_agree(asked, now, g);
  hear_outcomes(g);
  consider(now, g);
  // A voter's next echo confirms the leader; the others wait for that a little.
  if (g.lease == 0) renew_at_ = std::min(renew_at_, news && raft_ ? now : now + settings_.period / 4);
  if (!take_hold(now, g) || leaving_) return;
  if (bound_) return shut("this folder said yes to " + answer_ + ", which this program cannot hold: " + no_);
  if (!steady) return shut("its clock and the leader's differ by more than 1 in 500");
  const Time until = asked + g.lease;
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

void Agreement::configure(Time now, std::vector<std::string> names, std::vector<std::string> voters) {
  for (const std::string& name : names) {
    // One that was not known here may have a lease of a leader that knew it.
    if (!peers_.contains(name) && reign_ != 0) peers_[name].lease_until = now + surely_over(settings_.term);
  }
  settings_.names = std::move(names);
  settings_.voters = std::move(voters);
}

void Agreement::leave(Time now) {
  if (!broken_.empty() || leaving_) return;
  leaving_ = true;
  shut("it leaves");
  renew(now);
  if (raft_) raft_->transfer();
}

// ---- A leader's part ----

bool Agreement::active() const {
  return raft_ && raft_->leads() && reign_ == raft_->term() && log_.reign_term() == reign_;
}

void Agreement::lead(Time now) {
  if (!raft_ || !raft_->leads()) {
    reign_ = 0;
    return;
  }
  if (reign_ != raft_->term()) {
    // Whatever leaders before have granted is over a term after this, as they were confirmed before it.
    reign_ = raft_->term();
    peers_.clear();
    for (const std::string& name : settings_.names)
      peers_[name].lease_until = now + surely_over(settings_.term);
    busy_.clear();
    deciding_.clear();
    first_proposed_ = false;
    raft_->propose(PolicyLog::reign(reign_, settings_.name));
  }
  if (!active()) return;
  if (log_.version() == 0 && !first_proposed_) {
    first_proposed_ = true;
    std::vector<std::string> voters;
    for (const auto& server : raft_->servers()) voters.push_back(server.name);
    raft_->propose(PolicyLog::first(settings_.own, voters));
  }
  if (!busy_.empty() && log_.knows(busy_)) busy_.clear();
  judge(now);
  arrange_voters(now);
}

// The latest moment by which a majority of voters still knew this reign, as they say.
std::optional<Time> Agreement::confirmed(Time now) const {
  std::vector<Time> known;
  size_t voters = 0;
  for (const auto& server : raft_->servers()) {
    if (server.role != RAFT_VOTER) continue;
    ++voters;
    if (server.id == own_id()) {
      known.push_back(now);
    } else if (const auto p = peers_.find(server.name);
               p != peers_.end() && p->second.echo > 0 &&
               server.id == server_id(server.name, p->second.nonce)) {
      known.push_back(static_cast<Time>(p->second.echo));
    }
  }
  std::ranges::sort(known, std::greater<>());
  if (known.size() < voters / 2 + 1) return {};
  return known[voters / 2];
}

Agreement::Grant Agreement::answer(Time now, const Renew& r) {
  Peer& p = peers_[r.origin];
  if (p.nonce != r.nonce) p.yes.clear();  // another folder: what the one before said is gone with it
  p.nonce = r.nonce;
  p.heard = now;
  p.version = r.version;
  p.cannot = r.cannot;
  if (r.raft_term == reign_ && r.echo_term == reign_) p.echo = std::max(p.echo, r.echo_stamp);
  if (r.leaving) p.lease_until = std::min(p.lease_until, now);
  const auto& change = log_.change();
  if (change && r.answer == change->id) {
    if (r.no.empty()) {
      p.yes = r.answer;
    } else {
      p.no = r.answer;
      p.why = r.no;
    }
  }
  take_ask(now, r);
  judge(now);

  Grant g;
  g.leader = settings_.name;
  g.via = r.via;
  g.to = r.origin;
  g.founding = founding_->id;
  g.life = r.life;
  g.number = r.number;
  g.term = reign_;
  g.stamp = static_cast<uint64_t>(now);
  g.version = log_.version();
  g.id = log_.id();
  g.digest = digest_of(log_.text());
  if (g.version > 0 && g.digest != r.digest) g.text = log_.text();
  g.busy = busy_;
  g.voters = log_.voters();
  g.ended = log_.ended();
  const size_t missed = g.ended > r.ended ? static_cast<size_t>(g.ended - r.ended) : 0;
  const auto& ends = log_.outcomes();
  g.outcomes.assign(ends.end() - static_cast<std::ptrdiff_t>(std::min(missed, ends.size())), ends.end());
  if (log_.change()) {
    g.change = *log_.change();
    g.change_text = r.answer != g.change->id;
    if (!g.change_text) g.change->text.clear();
    if (p.told != g.change->id) {
      p.told = g.change->id;
      p.told_at = now;
    }
  }
  g.waiting = waiting(now);
  const auto since = confirmed(now);
  const Time lease = since ? settings_.term - (now - *since) : 0;
  const bool silent = log_.change() && p.yes != p.told && p.no != p.told && now - p.told_at > settings_.term;
  const bool shut_out = !deciding_.empty() && p.yes != deciding_;
  if (lease > 0 && g.version > 0 && !r.leaving && r.cannot.empty() && !silent && !shut_out) {
    g.lease = lease;
    p.lease_until = std::max(p.lease_until, now + surely_over(lease));
  }
  return g;
}

void Agreement::take_ask(Time now, const Renew& r) {
  // One that is older than its relay waits for it has been given up there.
  if (!r.ask.is_array() || r.echo_term != reign_ || !busy_.empty()) return;
  if (now - static_cast<Time>(r.echo_stamp) > 2 * settings_.term) return;
  const std::string kind = text_of(at(r.ask, 0), kMostName);
  if (kind == "propose") {
    const Change c{text_of(at(r.ask, 1), kMostId), text_of(at(r.ask, 2), kMostName), number_of(at(r.ask, 3)),
                   text_of(at(r.ask, 4), kMostPolicy), number_of(at(r.ask, 5))};
    if (!log_.knows(c.id) && raft_->propose(PolicyLog::propose(c))) busy_ = log_.knows(c.id) ? "" : c.id;
  } else if (kind == "abort") {
    const std::string id = text_of(at(r.ask, 1), kMostId);
    const bool under_way = log_.change() && log_.change()->id == id;
    if (!under_way && log_.knows(id)) return;
    raft_->propose(PolicyLog::abort(id, text_of(at(r.ask, 2), kMostName), "staff aborted it"));
  } else if (kind == "replace") {
    const std::string old = text_of(at(r.ask, 1), kMostName), fresh = text_of(at(r.ask, 2), kMostName);
    if (log_.voters().contains(old)) raft_->propose(PolicyLog::replace(old, fresh));
  }
}

// Whom the change waits for.
std::vector<std::pair<std::string, std::string>> Agreement::waiting(Time now) const {
  std::vector<std::pair<std::string, std::string>> out;
  const auto& change = log_.change();
  size_t more = 0;
  for (const std::string& name : settings_.names) {
    const auto found = peers_.find(name);
    if (found == peers_.end()) continue;
    const Peer& p = found->second;
    std::string why;
    if (change && p.yes != change->id && p.lease_until >= now) {
      why = p.no == change->id ? "no: " + p.why : "no answer, lease for " + ms_text(p.lease_until - now);
    } else if (!p.cannot.empty()) {
      why = "stays out: " + p.cannot;
    } else if (!change && (p.heard < 0 || now - p.heard > settings_.term)) {
      why = "not heard";
    } else if (!change && p.version != log_.version()) {
      why = "holds version " + std::to_string(p.version);
    }
    if (why.empty()) continue;
    if (out.size() < kMostWaiting) {
      out.emplace_back(name, clipped(why, kMostReason));
    } else {
      ++more;
    }
  }
  if (more > 0) out.emplace_back("...", std::to_string(more) + " more");
  return out;
}

void Agreement::judge(Time now) {
  const auto& change = log_.change();
  if (!change) return deciding_.clear();
  if (deciding_ == change->id) return;
  for (const std::string& name : settings_.names) {
    const Peer& p = peers_[name];
    if (p.yes == change->id) continue;
    bool over = now > p.lease_until;
    if (settings_.plant == Plant::kNoLeaseWait) over = p.heard < 0 || now - p.heard > settings_.period;
    if (p.no == change->id && !over) {
      if (raft_->propose(PolicyLog::abort(change->id, name, p.why)) && log_.change())
        deciding_ = log_.change()->id;
      return;
    }
    if (!over) return;
  }
  const std::string id = change->id;
  deciding_ = id;  // before it is handed to the log: no lease goes to one that has not said yes
  raft_->propose(PolicyLog::decide(id));
  if (!log_.change()) deciding_.clear();
}

// One step at a time towards the voters that the log names, each by the folder that it has now.
void Agreement::arrange_voters(Time now) {
  if (log_.voters().empty()) return;
  const auto heard = [&](const std::string& name) {
    const auto p = peers_.find(name);
    return p != peers_.end() && p->second.heard >= 0 && now - p->second.heard <= 2 * settings_.period;
  };
  const auto servers = raft_->servers();
  for (const auto& server : servers) {
    const bool wanted = log_.voters().contains(server.name);
    if (server.name == settings_.name) {
      if (!wanted) return raft_->transfer();
    } else if (!wanted ||
               (heard(server.name) && server.id != server_id(server.name, peers_[server.name].nonce))) {
      raft_->remove(server.id);
      return;
    }
  }
  for (const std::string& name : log_.voters()) {
    const auto server = std::ranges::find(servers, name, &Consensus::Server::name);
    if (!heard(name)) continue;
    if (server == servers.end()) {
      raft_->add({server_id(name, peers_[name].nonce), name, RAFT_SPARE});
      return;
    }
    if (server->role != RAFT_VOTER) {
      raft_->promote(server->id);
      return;
    }
  }
}

// ---- For people and the model checker ----

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
  text(deciding_);
  text(busy_);
  text(ask_ ? ask_->id : "");
  mix(leader_term_);
  mix(reign_);
  mix(bound_);
  mix(newest_);
  time(lease_until_);
  time(renew_at_);
  for (const auto& [name, p] : peers_) {
    text(name);
    text(p.yes);
    text(p.no);
    time(p.lease_until);
    mix(p.echo == 0 ? 0 : static_cast<uint64_t>((now - static_cast<Time>(p.echo)) / kMs));
    mix(p.heard < 0 ? 1 : static_cast<uint64_t>((now - p.heard) / kMs) + 2);
  }
  return out;
}

}  // namespace umberhoist::fleet
