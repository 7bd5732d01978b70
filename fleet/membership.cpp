#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace umberhoist::fleet {
namespace {

constexpr int kHelpers = 3;      // that are asked to ping for one (SWIM's k)
constexpr size_t kDoubters = 3;  // confirmations that bring a suspicion to its least time (Lifeguard's K)
constexpr double kSuspicionPart = 3;    // periods, for each power of ten of members; one power at least
constexpr double kSuspicionMost = 3;    // times the least
constexpr int kTellPart = 3;            // a rumour is told so often for each doubling of the members
constexpr size_t kFanOut = 3;           // further ones are told at once of what cannot wait
constexpr uint64_t kCompareEvery = 10;  // periods
constexpr uint64_t kReachEvery = 4;     // periods between attempts at one that is not live
constexpr size_t kMostRelayed = 64;
constexpr size_t kMostRecordPackets = 4;  // in answer to one comparison
constexpr int kLeaveTells = 8;
constexpr uint32_t kLastCompared = 0xffff;
constexpr uint32_t kLastFew = 0xf;
constexpr double kDisagreePart = 3;  // periods for each doubling, and four: longer than settling takes

State settled(State state) { return state == State::kSuspect ? State::kAlive : state; }

uint64_t hash_of(const std::string& name, State state, uint64_t incarnation) {
  if (state == State::kUnknown) return 0;
  return XXH64(name.data(), name.size(), incarnation * 8 + static_cast<uint64_t>(settled(state)));
}

bool lives(State state) { return state == State::kAlive || state == State::kSuspect; }

// Whether one word about a member replaces another.
bool newer(State state, uint64_t incarnation, State than, uint64_t than_incarnation) {
  if (than == State::kUnknown) return true;
  return incarnation != than_incarnation ? incarnation > than_incarnation : state > than;
}

}  // namespace

Membership::Membership(Settings settings, uint64_t seed)
    : settings_(std::move(settings)), chance_(seed, 5), incarnation_(settings_.incarnation + 1) {
  std::sort(settings_.names.begin(), settings_.names.end());
  names_ = std::make_shared<const std::vector<std::string>>(std::move(settings_.names));
  records_.resize(names_->size());
  counts_[0] = names_->size();
  self_ = index(settings_.name);
}

size_t Membership::index(const std::string& name) const {
  const auto it = std::lower_bound(names_->begin(), names_->end(), name);
  return it != names_->end() && *it == name ? static_cast<size_t>(it - names_->begin()) : names_->size();
}

const Membership::Record* Membership::find(const std::string& name) const {
  const size_t i = index(name);
  return i < records_.size() ? &records_[i] : nullptr;
}

Time Membership::suspicion_least() const {
  const double powers = std::max(1.0, std::log10(static_cast<double>(std::max<size_t>(1, live()))));
  return static_cast<Time>(kSuspicionPart * powers * static_cast<double>(settings_.period));
}

int Membership::most_sent() const {
  return kTellPart * static_cast<int>(std::ceil(std::log2(static_cast<double>(live()) + 1)));
}

uint64_t Membership::digest() const { return digest_; }

void Membership::event(Event::What what, size_t i, const std::string& by) {
  if (events_.size() >= kMostEvents) events_.erase(events_.begin());
  events_.push_back({what, (*names_)[i], by});
}

Update Membership::update_of(size_t i) const {
  const Record& r = records_[i];
  Update out{(*names_)[i], r.state, r.incarnation, "", "", 0};
  if (r.state == State::kSuspect && !r.doubters.empty()) out.by = *r.doubters.begin();
  if (r.state == State::kAlive) {
    out.version = r.version;
    out.started_ms = r.started_ms;
  }
  return out;
}

Update Membership::self() const {
  return {settings_.name,      leaving_ ? State::kLeft : State::kAlive, incarnation_, "", settings_.version,
          settings_.started_ms};
}

// ---- What is held of a member ----

void Membership::set_state(Time now, size_t i, State state, const std::string& by) {
  Record& r = record(i);
  const State was = r.state;
  --counts_[static_cast<size_t>(was)];
  ++counts_[static_cast<size_t>(state)];
  if (was != state) r.since = now;
  r.state = state;
  if (state != State::kSuspect) {
    deadline(i, kNever);
    r.doubters.clear();
  }
  if (was == state) return;
  if (state == State::kAlive) event(was == State::kSuspect ? Event::What::kRefuted : Event::What::kJoined, i);
  if (state == State::kSuspect) event(Event::What::kSuspect, i, by);
  if (!lives(was)) return;  // what was over before this one came is no event
  if (state == State::kDead) event(Event::What::kDead, i);
  if (state == State::kLeft) event(Event::What::kLeft, i);
}

void Membership::deadline(size_t i, Time at) {
  Record& r = record(i);
  if (r.deadline != kNever) deadlines_.erase({r.deadline, i});
  r.deadline = at;
  if (at != kNever) deadlines_.insert({at, i});
}

bool Membership::hear(Time now, const Update& u) {
  const size_t i = index(u.name);
  if (i == names_->size()) return false;
  if (i == self_) {
    hear_of_self(u);
    return false;
  }
  Record& r = record(i);
  if (u.state == State::kSuspect && r.state == State::kSuspect && u.incarnation == r.incarnation) {
    if (r.doubters.contains(u.by)) return false;
    suspect(now, i, u.by);
    return true;
  }
  if (!newer(u.state, u.incarnation, r.state, r.incarnation)) return false;
  // One that nobody here knows may be told of as gone: it was a member before this one came.
  digest_ ^= hash_of(u.name, lives(r.state) ? r.state : State::kUnknown, r.incarnation);
  // In doubt at an earlier incarnation: that is over, and this doubt begins anew.
  if (r.state == State::kSuspect && u.state == State::kSuspect) set_state(now, i, State::kAlive, "");
  r.incarnation = u.incarnation;
  if (u.state == State::kAlive) {
    r.version = u.version;
    r.started_ms = u.started_ms;
  }
  if (u.state == State::kSuspect) {
    suspect(now, i, u.by);
  } else {
    set_state(now, i, u.state, "");
    rumour(update_of(i));
  }
  digest_ ^= hash_of(u.name, lives(r.state) ? r.state : State::kUnknown, r.incarnation);
  return true;
}

// A word of another about this member that does not suit it is answered with a higher incarnation.
void Membership::hear_of_self(const Update& u) {
  if (leaving_ || u.incarnation < incarnation_) return;
  const bool own =
      u.state == State::kAlive && u.incarnation == incarnation_ && u.started_ms == settings_.started_ms;
  if (!own) refute(u.incarnation);
}

void Membership::refute(uint64_t above) {
  if (planted_never_refutes) return;
  const size_t i = self_;
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  incarnation_ = std::min(above + 1, kMostIncarnation);
  records_[i].incarnation = incarnation_;
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  worse(1);
  rumour(self());
  for (const size_t to : some(kFanOut, self_)) tell_news((*names_)[to]);
}

void Membership::worse(int by) { health_ = std::clamp(health_ + by, 0, kWorstHealth); }

Time Membership::suspicion_of(const Record& r) const {
  const Time least = suspicion_least();
  Time lasts = least;
  if (settings_.health) {
    // Of those that are neither this one, nor in doubt themselves.
    const size_t others = count(State::kAlive) - std::min<size_t>(count(State::kAlive), 1);
    const size_t wanted = std::min(kDoubters, others);
    const double confirmed = std::log(static_cast<double>(r.doubters.size()));
    const double part =
        wanted == 0 ? 1 : std::min(1.0, confirmed / std::log(static_cast<double>(wanted) + 1));
    // One that doubts itself gives others up to twice as long.
    const double own = 1 + static_cast<double>(health_) / kWorstHealth;
    lasts =
        static_cast<Time>(static_cast<double>(least) * own * (kSuspicionMost - (kSuspicionMost - 1) * part));
  }
  return lasts;
}

// Each further doubter shortens the time in which it may be refuted.
void Membership::suspect(Time now, size_t i, const std::string& by) {
  Record& r = record(i);
  if (r.state != State::kSuspect) {
    set_state(now, i, State::kSuspect, by);
    r.doubted = now;
    r.doubters.clear();
  }
  const bool few = r.doubters.size() < kDoubters + 1;
  if (few) r.doubters.insert(by);
  deadline(i, r.doubted + suspicion_of(r));
  // The more are in doubt, the fewer are left to confirm it of the others.
  if (r.doubters.size() == 1 && deadlines_.size() <= kMostRelayed) {
    const auto others = deadlines_;
    for (const auto& [at, other] : others) {
      deadline(other, std::min(at, records_[other].doubted + suspicion_of(records_[other])));
    }
  }
  if (!few) return;
  Update word = update_of(i);
  word.by = by;
  rumour(word);
}

// ---- What is passed on ----

void Membership::rumour(const Update& update) {
  const size_t i = index(update.name);
  const auto old = rumours_.find(i);
  if (old != rumours_.end()) to_tell_.erase({old->second.sent, old->second.order, i});
  const uint64_t order = ++order_;
  rumours_[i] = {update, 0, order};
  to_tell_.insert({0, order, i});
}

// Fills what is left of a datagram with the rumours that were told least.
size_t Membership::dispatch(Packet packet, const std::string& to, std::span<const Update> first) {
  packet.cluster = settings_.cluster;
  packet.self = self();
  packet.digest = digest_;
  size_t size = room_of_head(packet);
  const auto add = [&](const Update& u) {
    const size_t more = room_of(u);
    if (size + more > kMostDatagram) return false;
    size += more;
    packet.updates.push_back(u);
    return true;
  };
  size_t taken = 0;
  while (taken < first.size() && add(first[taken])) ++taken;
  if (packet.kind != Kind::kRecords && packet.kind != Kind::kCompare) {
    const int most = most_sent();
    std::vector<std::tuple<int, uint64_t, size_t>> told;
    for (const auto& key : to_tell_) {
      const Update& u = rumours_.at(std::get<2>(key)).update;
      if (u.name == to && u.state == State::kAlive) continue;  // it knows
      if (!add(u)) break;
      told.push_back(key);
    }
    for (const auto& [sent, order, i] : told) {
      to_tell_.erase({sent, order, i});
      if (sent + 1 >= most) {
        rumours_.erase(i);
      } else {
        rumours_[i].sent = sent + 1;
        to_tell_.insert({sent + 1, order, i});
      }
    }
  }
  send(to, encode(packet));
  return taken;
}

void Membership::tell_news(const std::string& to) {
  Packet packet;
  packet.kind = Kind::kNews;
  dispatch(std::move(packet), to);
}

void Membership::reply(Kind kind, const std::string& to, uint64_t number, const std::vector<Update>& first) {
  Packet packet;
  packet.kind = kind;
  packet.number = number;
  dispatch(std::move(packet), to, first);
}

std::vector<size_t> Membership::some(size_t count, size_t but) const {
  std::vector<size_t> out;
  const auto n = static_cast<uint32_t>(records_.size());
  // Most live: a few draws do; where few do, all are looked at.
  for (uint32_t tries = 0; out.size() < count && tries < 4 * count + 8; ++tries) {
    const size_t i = chance_(n);
    if (i == self_ || i == but || !lives(records_[i].state)) continue;
    if (std::find(out.begin(), out.end(), i) == out.end()) out.push_back(i);
  }
  if (out.size() >= count || live() > 4 * count + 8) return out;
  for (size_t i = 0; i < records_.size() && out.size() < count; ++i) {
    if (i == self_ || i == but || !lives(records_[i].state)) continue;
    if (std::find(out.begin(), out.end(), i) == out.end()) out.push_back(i);
  }
  return out;
}

// ---- Whole views ----

uint64_t Membership::bucket_of(size_t i) const {
  const std::string& name = (*names_)[i];
  return XXH64(name.data(), name.size(), 1) % kBuckets;
}

std::vector<uint64_t> Membership::bucket_digests() const {
  std::vector<uint64_t> out(kBuckets, 0);
  for (size_t i = 0; i < records_.size(); ++i) {
    out[bucket_of(i)] ^= hash_of((*names_)[i], records_[i].state, records_[i].incarnation);
  }
  return out;
}

void Membership::compare_with(const std::string& to) {
  Packet packet;
  packet.kind = Kind::kCompare;
  packet.buckets = bucket_digests();
  dispatch(std::move(packet), to);
}

void Membership::answer_compare(const Packet& packet, const std::string& from) {
  const std::vector<uint64_t> own = bucket_digests();
  std::vector<Update> updates;
  // From a bucket at random on, as not all may fit.
  const uint32_t first = chance_(static_cast<uint32_t>(names_->size()));
  for (size_t n = 0; n < records_.size(); ++n) {
    const size_t i = (first + n) % records_.size();
    const uint64_t b = bucket_of(i);
    if (own[b] != packet.buckets[b] && records_[i].state != State::kUnknown) updates.push_back(update_of(i));
  }
  if (!updates.empty()) send_records(from, updates);
}

void Membership::send_records(const std::string& to, const std::vector<Update>& updates) {
  size_t next = 0;
  for (size_t packets = 0; next < updates.size() && packets < kMostRecordPackets; ++packets) {
    Packet packet;
    packet.kind = Kind::kRecords;
    packet.number = 1;  // answered with what is newer
    next += dispatch(std::move(packet), to, std::span(updates).subspan(next));
  }
}

// Views that differ are compared. Where more than one in the last sixteen datagrams told of another view, for
// longer than views take to settle, that is an event.
void Membership::note_digest(Time now, const std::string& from, uint64_t digest) {
  const bool differs = digest != digest_;
  compared_last_ = (compared_last_ << 1 | (differs ? 1u : 0u)) & kLastCompared;
  if (std::popcount(compared_last_) <= 1) agreed_ = now;
  // Where the last few hold the same view, who lives and who does not needs no more telling.
  if ((compared_last_ & kLastFew) == 0 && heard_ >= 4) {
    for (auto it = rumours_.begin(); it != rumours_.end();) {
      const auto& [i, one] = *it;
      if (one.update.state == State::kSuspect || one.sent == 0) {
        ++it;
        continue;
      }
      to_tell_.erase({one.sent, one.order, i});
      it = rumours_.erase(it);
    }
  }
  if (!differs || !settings_.compare || now - compared_ < settings_.period) return;
  compared_ = now;
  compare_with(from);
}

uint64_t Membership::fingerprint(Time now) const {
  std::string all;
  const auto add = [&](uint64_t value) { all.append(reinterpret_cast<const char*>(&value), sizeof value); };
  const auto age = [&](Time t) { add(t == kNever ? 0 : static_cast<uint64_t>(t - now)); };
  add(incarnation_);
  add(static_cast<uint64_t>(health_));
  add(leaving_ ? 1 : 0);
  age(tick_);
  for (const Record& r : records_) {
    add(static_cast<uint64_t>(r.state));
    add(r.incarnation);
    age(r.deadline);
    for (const std::string& by : r.doubters) all += by;
  }
  if (probe_) {
    add(probe_->target);
    age(probe_->until);
    add(probe_->asked ? 1 : 0);
  }
  for (const auto& [number, one] : relayed_) age(one.until);
  for (const auto& [i, one] : rumours_) {
    add(i);
    add(static_cast<uint64_t>(one.sent));
  }
  for (const size_t i : round_) add(i);
  return XXH64(all.data(), all.size(), 0);
}

// ---- The driver's calls ----

void Membership::start(Time now) {
  Record& own = records_[self_];
  own.state = State::kAlive;
  own.incarnation = incarnation_;
  own.since = now;
  own.version = settings_.version;
  own.started_ms = settings_.started_ms;
  --counts_[static_cast<size_t>(State::kUnknown)];
  ++counts_[static_cast<size_t>(State::kAlive)];
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  agreed_ = now;
  rumour(self());
  // Not all at one moment, where many start together.
  tick_ = now + static_cast<Time>(chance_(static_cast<uint32_t>(std::max<Time>(1, settings_.period / 4))));
  for (size_t tries = 0; tries < kFanOut && names_->size() > 1; ++tries) {
    const size_t i = chance_(static_cast<uint32_t>(names_->size()));
    if (i != self_) compare_with((*names_)[i]);
  }
  arm();
}

void Membership::leave() {
  if (std::exchange(leaving_, true)) return;
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  rumour(self());
  for (const size_t to : some(kLeaveTells, self_)) tell_news((*names_)[to]);
}

void Membership::rename(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  const auto old_names = names_;
  const auto old = std::move(records_);
  names_ = std::make_shared<const std::vector<std::string>>(std::move(names));
  records_.assign(names_->size(), {});
  counts_ = {};
  digest_ = 0;
  deadlines_.clear();
  round_.clear();
  rumours_.clear();
  to_tell_.clear();
  probe_.reset();
  for (size_t i = 0; i < names_->size(); ++i) {
    const auto it = std::lower_bound(old_names->begin(), old_names->end(), (*names_)[i]);
    if (it != old_names->end() && *it == (*names_)[i]) {
      records_[i] = old[static_cast<size_t>(it - old_names->begin())];
      if (records_[i].deadline != kNever) deadlines_.insert({records_[i].deadline, i});
    }
    const Record& r = records_[i];
    ++counts_[static_cast<size_t>(r.state)];
    digest_ ^= hash_of((*names_)[i], lives(r.state) ? r.state : State::kUnknown, r.incarnation);
  }
  self_ = index(settings_.name);
  rumour(self());
  arm();
}

void Membership::received(Time now, const std::string& from, std::string_view bytes) {
  const auto read = decode(bytes, settings_.cluster);
  if (const Fault* fault = std::get_if<Fault>(&read)) {
    ++dropped_.unreadable[static_cast<size_t>(*fault)];
    return;
  }
  const Packet& packet = std::get<Packet>(read);
  const size_t sender = index(from);
  if (sender == names_->size()) {
    ++dropped_.stranger;
    return;
  }
  if (packet.self.name != from || sender == self_) {
    ++(packet.self.name == settings_.name ? dropped_.itself : dropped_.other_name);
    return;
  }
  ++heard_;
  hear(now, packet.self);
  const Record& r = record(sender);
  std::vector<Update> first;
  // One that is held to be gone, in doubt, or another than it is hears so first, and may refute. While it is
  // held to be gone its words are not taken.
  const bool other = packet.self.incarnation < r.incarnation || packet.self.started_ms != r.started_ms;
  if (r.state != State::kAlive || other) first.push_back(update_of(sender));
  const bool trusted = lives(r.state);
  if (packet.self.state == State::kLeft) return;
  if (!trusted) {
    // But for those about this member: two that hold each other to be gone must both refute.
    const uint64_t before = incarnation_;
    for (const Update& u : packet.updates) {
      if (u.name == settings_.name) hear(now, u);
    }
    if (packet.kind == Kind::kPing) {
      reply(Kind::kAck, from, packet.number, first);
    } else if (packet.kind != Kind::kNews ||
               incarnation_ != before) {  // news in answer to news would never end
      reply(Kind::kNews, from, 0, first);
    }
    return arm();
  }
  std::vector<Update> newer_here;
  for (const Update& u : packet.updates) {
    const size_t i = index(u.name);
    if (hear(now, u) || packet.kind != Kind::kRecords || i == names_->size()) continue;
    const Record& own = records_[i];
    if (newer(own.state, own.incarnation, u.state, u.incarnation)) newer_here.push_back(update_of(i));
  }
  switch (packet.kind) {
    case Kind::kPing:
      reply(Kind::kAck, from, packet.number, first);
      break;
    case Kind::kAck:
      if (probe_ && probe_->number == packet.number) {
        probe_.reset();
        worse(-1);
      } else if (const auto it = relayed_.find(packet.number); it != relayed_.end()) {
        reply(Kind::kAck, it->second.origin, it->second.number);
        relayed_.erase(it);
      }
      break;
    case Kind::kPingFor: {
      const size_t target = index(packet.target);
      if (target == names_->size() || target == self_ || relayed_.size() >= kMostRelayed) break;
      const uint64_t number = ++last_number_;
      relayed_[number] = {from, packet.number, now + settings_.period / 4, now + 2 * settings_.period};
      reply(Kind::kPing, packet.target, number, {});
      break;
    }
    case Kind::kNack:  // it was heard, which is all that it is for
      break;
    case Kind::kCompare:
      answer_compare(packet, from);
      break;
    case Kind::kRecords:
      if (!newer_here.empty() && packet.number > 0) {
        Packet back;
        back.kind = Kind::kRecords;
        dispatch(std::move(back), from, newer_here);
      }
      break;
    case Kind::kNews:
      break;
  }
  note_digest(now, from, packet.digest);
  arm();
}

// ---- Probes ----

void Membership::next_probe(Time now) {
  ++periods_;
  tick_ = now + settings_.period;
  while (!round_.empty() && (round_.back() == self_ || !lives(records_[round_.back()].state)))
    round_.pop_back();
  if (round_.empty()) {
    for (size_t i = 0; i < records_.size(); ++i) {
      if (i != self_ && lives(records_[i].state)) round_.push_back(i);
    }
    std::shuffle(round_.begin(), round_.end(), chance_);
  }
  if (!round_.empty()) {
    const size_t target = round_.back();
    round_.pop_back();
    const uint64_t number = ++last_number_;
    probe_ = Probe{target, number, now + settings_.period / 3, tick_, heard_, false};
    // The suspect is told first, so that it can refute.
    std::vector<Update> first;
    if (settings_.health && records_[target].state == State::kSuspect) first.push_back(update_of(target));
    reply(Kind::kPing, (*names_)[target], number, first);
  }
  // News spreads by the probes; where there is much of it, by more.
  if (!to_tell_.empty()) {
    for (const size_t to : some(kFanOut - 1, self_)) tell_news((*names_)[to]);
  }
  if (settings_.compare && periods_ % kCompareEvery == chance_(kCompareEvery)) {
    for (const size_t to : some(1, self_)) compare_with((*names_)[to]);
  }
  // Members that are not live are tried for ever: halves that forgot each other meet again.
  const size_t away = records_.size() - live();
  if (away == 0 || leaving_) return;
  const bool alone = live() <= 1;
  if (!alone && chance_(kReachEvery) != 0) return;
  size_t pick = chance_(static_cast<uint32_t>(away));
  for (size_t i = 0; i < records_.size(); ++i) {
    if (lives(records_[i].state) || pick-- > 0) continue;
    std::vector<Update> first;
    if (records_[i].state != State::kUnknown) first.push_back(update_of(i));
    reply(Kind::kPing, (*names_)[i], ++last_number_, first);
    break;
  }
}

void Membership::ask_others() {
  probe_->asked = true;
  const std::string& target = (*names_)[probe_->target];
  for (const size_t helper : some(kHelpers, probe_->target)) {
    Packet packet;
    packet.kind = Kind::kPingFor;
    packet.number = probe_->number;
    packet.target = target;
    dispatch(std::move(packet), (*names_)[helper]);
  }
}

// Unanswered. Where nothing came from anyone meanwhile the fault may be here. (Lifeguard counts the helpers
// that did not say that they had no answer either; where seven in ten die at once these are dead too, and the
// few that are left would doubt themselves.)
void Membership::end_probe(Time now) {
  const Probe ended = *std::exchange(probe_, {});
  if (heard_ == ended.heard && live() > 2) worse(1);
  const Record& r = records_[ended.target];
  if (!lives(r.state)) return;
  if (r.state == State::kSuspect && r.doubters.contains(settings_.name)) return;
  suspect(now, ended.target, settings_.name);
}

void Membership::judge(Time now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const size_t i = deadlines_.begin()->second;
    hear(now, {(*names_)[i], State::kDead, records_[i].incarnation, "", "", 0});
  }
}

void Membership::woke(Time now) {
  // Much later than it wanted: it stood still. Nobody is judged by that time.
  const Time slept = next_ == kNever ? 0 : now - next_;
  if (slept > settings_.period) {
    probe_.reset();
    relayed_.clear();
    worse(kWorstHealth);
    const auto old = std::exchange(deadlines_, {});
    for (const auto& [at, i] : old) {
      records_[i].deadline = at + slept;
      records_[i].doubted += slept;
      deadlines_.insert({at + slept, i});
    }
    agreed_ += slept;
    tick_ = now;
  }
  if (probe_ && !probe_->asked && now >= probe_->direct_until) ask_others();
  if (probe_ && now >= probe_->until) end_probe(now);
  for (auto it = relayed_.begin(); it != relayed_.end();) {
    Relayed& one = it->second;
    if (now >= one.nack_at) {
      one.nack_at = kNever;
      if (settings_.health) reply(Kind::kNack, one.origin, one.number);
    }
    it = now >= one.until ? relayed_.erase(it) : std::next(it);
  }
  judge(now);
  if (now >= tick_) next_probe(now);
  const double doublings = std::log2(static_cast<double>(live()) + 1);
  const Time patience =
      static_cast<Time>((4 + kDisagreePart * doublings) * static_cast<double>(settings_.period));
  if (live() <= 1) agreed_ = now;
  const bool differs = now - agreed_ > patience;
  if (differs != disagrees()) {
    disagrees_since_ = differs ? agreed_ : kNever;
    event(differs ? Event::What::kDisagrees : Event::What::kAgrees, self_);
  }
  arm();
}

void Membership::arm() {
  next_ = tick_;
  if (probe_) next_ = std::min(next_, probe_->asked ? probe_->until : probe_->direct_until);
  if (!deadlines_.empty()) next_ = std::min(next_, deadlines_.begin()->first);
  for (const auto& [number, one] : relayed_) next_ = std::min({next_, one.nack_at, one.until});
}

}  // namespace umberhoist::fleet
