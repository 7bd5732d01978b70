#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace umberhoist::fleet {
namespace {

constexpr int kIndirectProbes = 3;  // members asked to ping on our behalf (k of SWIM)
// Confirmations that shorten a suspicion to its minimum timeout (K of Lifeguard).
constexpr size_t kSuspicionConfirmations = 3;
// Minimum timeout of a suspicion, in periods for each power of ten of the member count, at least one power.
constexpr double kSuspicionMultiplier = 3;
constexpr double kMaxSuspicionMultiplier = 3;  // maximum timeout, in minimum timeouts
constexpr int kRetransmitMultiplier = 3;       // transmissions of a rumor per doubling of the member count
constexpr size_t kGossipFanOut = 3;            // members that urgent rumors are sent to at once
constexpr uint64_t kDigestPeriods = 10;        // mean periods between two comparisons of views
constexpr uint64_t kReconnectPeriods = 4;      // mean periods between two pings to members that are not alive
constexpr size_t kMaxIndirectPings = 64;
constexpr size_t kMaxRecordPackets = 4;  // in the answer to one kDigests packet
constexpr int kLeaveFanOut = 8;
constexpr uint32_t kRecentDigestsMask = 0xffff;  // the last 16 datagrams
constexpr uint32_t kLatestDigestsMask = 0xf;     // the last 4 datagrams
// Views have diverged after 4 periods plus this many per doubling of the member count: the convergence bound.
constexpr double kDivergenceMultiplier = 3;

// Digests treat suspects as alive, so that a suspicion alone does not make views differ.
State digest_state(State state) { return state == State::kSuspect ? State::kAlive : state; }

uint64_t hash_of(const std::string& name, State state, uint64_t incarnation) {
  if (state == State::kUnknown) return 0;
  return XXH64(name.data(), name.size(), incarnation * 8 + static_cast<uint64_t>(digest_state(state)));
}

bool is_alive(State state) { return state == State::kAlive || state == State::kSuspect; }

// Whether an update replaces what is known about the member.
bool supersedes(State state, uint64_t incarnation, State other_state, uint64_t other_incarnation) {
  if (other_state == State::kUnknown) return true;
  return incarnation != other_incarnation ? incarnation > other_incarnation : state > other_state;
}

}  // namespace

Membership::Membership(Settings settings, uint64_t seed)
    : settings_(std::move(settings)), rng_(seed, 5), incarnation_(settings_.incarnation + 1) {
  std::sort(settings_.names.begin(), settings_.names.end());
  names_ = std::make_shared<const std::vector<std::string>>(std::move(settings_.names));
  records_.resize(names_->size());
  state_counts_[0] = names_->size();
  own_index_ = index_of(settings_.name);
}

size_t Membership::index_of(const std::string& name) const {
  const auto it = std::lower_bound(names_->begin(), names_->end(), name);
  return it != names_->end() && *it == name ? static_cast<size_t>(it - names_->begin()) : names_->size();
}

const Membership::Record* Membership::find(const std::string& name) const {
  const size_t i = index_of(name);
  return i < records_.size() ? &records_[i] : nullptr;
}

Time Membership::min_suspicion_timeout() const {
  const double decades = std::max(1.0, std::log10(static_cast<double>(std::max<size_t>(1, alive_count()))));
  return static_cast<Time>(kSuspicionMultiplier * decades * static_cast<double>(settings_.period));
}

int Membership::max_transmissions() const {
  return kRetransmitMultiplier *
         static_cast<int>(std::ceil(std::log2(static_cast<double>(alive_count()) + 1)));
}

uint64_t Membership::digest() const { return digest_; }

void Membership::add_event(Event::Type type, size_t i, const std::string& suspected_by) {
  if (events_.size() >= kMaxEvents) events_.erase(events_.begin());
  events_.push_back({type, (*names_)[i], suspected_by});
}

Update Membership::update_of(size_t i) const {
  const Record& r = records_[i];
  Update out{(*names_)[i], r.state, r.incarnation, "", "", 0};
  if (r.state == State::kSuspect && !r.suspected_by.empty()) out.suspected_by = *r.suspected_by.begin();
  if (r.state == State::kAlive) {
    out.version = r.version;
    out.started_ms = r.started_ms;
  }
  return out;
}

Update Membership::own_update() const {
  return {settings_.name,      leaving_ ? State::kLeft : State::kAlive, incarnation_, "", settings_.version,
          settings_.started_ms};
}

// ---- Records ----

void Membership::set_state(Time now, size_t i, State state, const std::string& suspected_by) {
  Record& r = record(i);
  const State was = r.state;
  --state_counts_[static_cast<size_t>(was)];
  ++state_counts_[static_cast<size_t>(state)];
  if (was != state) r.state_since = now;
  r.state = state;
  if (state != State::kSuspect) {
    set_suspicion_deadline(i, kNever);
    r.suspected_by.clear();
  }
  if (was == state) return;
  if (state == State::kAlive)
    add_event(was == State::kSuspect ? Event::Type::kRefuted : Event::Type::kJoined, i);
  if (state == State::kSuspect) add_event(Event::Type::kSuspect, i, suspected_by);
  if (!is_alive(was)) return;  // it was already gone when this member first learned of it
  if (state == State::kDead) add_event(Event::Type::kDead, i);
  if (state == State::kLeft) add_event(Event::Type::kLeft, i);
}

void Membership::set_suspicion_deadline(size_t i, Time at) {
  Record& r = record(i);
  if (r.suspicion_deadline != kNever) suspicion_deadlines_.erase({r.suspicion_deadline, i});
  r.suspicion_deadline = at;
  if (at != kNever) suspicion_deadlines_.insert({at, i});
}

bool Membership::apply_update(Time now, const Update& u) {
  const size_t i = index_of(u.name);
  if (i == names_->size()) return false;
  if (i == own_index_) {
    apply_update_about_self(u);
    return false;
  }
  Record& r = record(i);
  if (u.state == State::kSuspect && r.state == State::kSuspect && u.incarnation == r.incarnation) {
    if (r.suspected_by.contains(u.suspected_by)) return false;
    suspect(now, i, u.suspected_by);
    return true;
  }
  if (!supersedes(u.state, u.incarnation, r.state, r.incarnation)) return false;
  // An unknown member may be reported as dead or left: it was gone before this one started. Only alive
  // members are part of the digest.
  digest_ ^= hash_of(u.name, is_alive(r.state) ? r.state : State::kUnknown, r.incarnation);
  // A suspicion of an earlier incarnation has ended; this one starts with a new timeout.
  if (r.state == State::kSuspect && u.state == State::kSuspect) set_state(now, i, State::kAlive, "");
  r.incarnation = u.incarnation;
  if (u.state == State::kAlive) {
    r.version = u.version;
    r.started_ms = u.started_ms;
  }
  if (u.state == State::kSuspect) {
    suspect(now, i, u.suspected_by);
  } else {
    set_state(now, i, u.state, "");
    enqueue_rumor(update_of(i));
  }
  digest_ ^= hash_of(u.name, is_alive(r.state) ? r.state : State::kUnknown, r.incarnation);
  return true;
}

// Refutes an update of another member that contradicts the state of this one.
void Membership::apply_update_about_self(const Update& u) {
  if (leaving_ || u.incarnation < incarnation_) return;
  const bool matches =
      u.state == State::kAlive && u.incarnation == incarnation_ && u.started_ms == settings_.started_ms;
  if (!matches) refute(u.incarnation);
}

void Membership::refute(uint64_t incarnation) {
  if (inject_never_refutes) return;
  const size_t i = own_index_;
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  incarnation_ = std::min(incarnation + 1, kMaxIncarnation);
  records_[i].incarnation = incarnation_;
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  adjust_health_score(1);
  enqueue_rumor(own_update());
  for (const size_t to : random_alive_members(kGossipFanOut, own_index_)) send_gossip((*names_)[to]);
}

void Membership::adjust_health_score(int delta) {
  health_score_ = std::clamp(health_score_ + delta, 0, kMaxHealthScore);
}

Time Membership::suspicion_timeout(const Record& r) const {
  const Time min_timeout = min_suspicion_timeout();
  Time timeout = min_timeout;
  if (settings_.lifeguard) {
    // Only members other than this one that are not suspects themselves can confirm the suspicion.
    const size_t others = count(State::kAlive) - std::min<size_t>(count(State::kAlive), 1);
    const size_t max_confirmations = std::min(kSuspicionConfirmations, others);
    const double confirmed = std::log(static_cast<double>(r.suspected_by.size()));
    const double progress =
        max_confirmations == 0
            ? 1
            : std::min(1.0, confirmed / std::log(static_cast<double>(max_confirmations) + 1));
    // A member in bad health waits up to twice as long, as the fault may be its own.
    const double health_factor = 1 + static_cast<double>(health_score_) / kMaxHealthScore;
    timeout = static_cast<Time>(static_cast<double>(min_timeout) * health_factor *
                                (kMaxSuspicionMultiplier - (kMaxSuspicionMultiplier - 1) * progress));
  }
  return timeout;
}

// Every further member that suspects it shortens the timeout.
void Membership::suspect(Time now, size_t i, const std::string& suspected_by) {
  Record& r = record(i);
  if (r.state != State::kSuspect) {
    set_state(now, i, State::kSuspect, suspected_by);
    r.suspected_at = now;
    r.suspected_by.clear();
  }
  const bool counted = r.suspected_by.size() < kSuspicionConfirmations + 1;
  if (counted) r.suspected_by.insert(suspected_by);
  set_suspicion_deadline(i, r.suspected_at + suspicion_timeout(r));
  // A new suspect cannot confirm the other suspicions, which lowers the number of confirmations they need.
  if (r.suspected_by.size() == 1 && suspicion_deadlines_.size() <= kMaxIndirectPings) {
    const auto others = suspicion_deadlines_;
    for (const auto& [at, other] : others) {
      set_suspicion_deadline(other,
                             std::min(at, records_[other].suspected_at + suspicion_timeout(records_[other])));
    }
  }
  if (!counted) return;
  Update update = update_of(i);
  update.suspected_by = suspected_by;
  enqueue_rumor(update);
}

// ---- Gossip ----

void Membership::enqueue_rumor(const Update& update) {
  const size_t i = index_of(update.name);
  const auto old = rumors_.find(i);
  if (old != rumors_.end()) gossip_queue_.erase({old->second.transmissions, old->second.order, i});
  const uint64_t order = ++last_rumor_order_;
  rumors_[i] = {update, 0, order};
  gossip_queue_.insert({0, order, i});
}

// Fills the rest of the datagram with the rumors that were sent least often.
size_t Membership::send_with_gossip(Packet packet, const std::string& to, std::span<const Update> priority) {
  packet.cluster = settings_.cluster;
  packet.sender = own_update();
  packet.digest = digest_;
  size_t size = max_encoded_header_size(packet);
  const auto add = [&](const Update& u) {
    const size_t added = max_encoded_size(u);
    if (size + added > kMaxDatagramSize) return false;
    size += added;
    packet.updates.push_back(u);
    return true;
  };
  size_t taken = 0;
  while (taken < priority.size() && add(priority[taken])) ++taken;
  if (packet.type != PacketType::kRecords && packet.type != PacketType::kDigests) {
    const int limit = max_transmissions();
    std::vector<std::tuple<int, uint64_t, size_t>> sent_keys;
    for (const auto& key : gossip_queue_) {
      const Update& u = rumors_.at(std::get<2>(key)).update;
      if (u.name == to && u.state == State::kAlive) continue;  // the receiver knows that it is alive
      if (!add(u)) break;
      sent_keys.push_back(key);
    }
    for (const auto& [sent, order, i] : sent_keys) {
      gossip_queue_.erase({sent, order, i});
      if (sent + 1 >= limit) {
        rumors_.erase(i);
      } else {
        rumors_[i].transmissions = sent + 1;
        gossip_queue_.insert({sent + 1, order, i});
      }
    }
  }
  send(to, encode(packet));
  return taken;
}

void Membership::send_gossip(const std::string& to) {
  Packet packet;
  packet.type = PacketType::kGossip;
  send_with_gossip(std::move(packet), to);
}

void Membership::send_packet(PacketType type, const std::string& to, uint64_t sequence_number,
                             const std::vector<Update>& priority) {
  Packet packet;
  packet.type = type;
  packet.sequence_number = sequence_number;
  send_with_gossip(std::move(packet), to, priority);
}

std::vector<size_t> Membership::random_alive_members(size_t count, size_t excluded) const {
  std::vector<size_t> out;
  const auto n = static_cast<uint32_t>(records_.size());
  // If most members are alive, a few random draws suffice; if few are, the scan below finds them.
  for (uint32_t tries = 0; out.size() < count && tries < 4 * count + 8; ++tries) {
    const size_t i = rng_(n);
    if (i == own_index_ || i == excluded || !is_alive(records_[i].state)) continue;
    if (std::find(out.begin(), out.end(), i) == out.end()) out.push_back(i);
  }
  if (out.size() >= count || alive_count() > 4 * count + 8) return out;
  for (size_t i = 0; i < records_.size() && out.size() < count; ++i) {
    if (i == own_index_ || i == excluded || !is_alive(records_[i].state)) continue;
    if (std::find(out.begin(), out.end(), i) == out.end()) out.push_back(i);
  }
  return out;
}

// ---- Comparison of views ----

uint64_t Membership::bucket_of(size_t i) const {
  const std::string& name = (*names_)[i];
  return XXH64(name.data(), name.size(), 1) % kDigestBuckets;
}

std::vector<uint64_t> Membership::bucket_digests() const {
  std::vector<uint64_t> out(kDigestBuckets, 0);
  for (size_t i = 0; i < records_.size(); ++i) {
    out[bucket_of(i)] ^= hash_of((*names_)[i], records_[i].state, records_[i].incarnation);
  }
  return out;
}

void Membership::send_digests(const std::string& to) {
  Packet packet;
  packet.type = PacketType::kDigests;
  packet.buckets = bucket_digests();
  send_with_gossip(std::move(packet), to);
}

void Membership::answer_digests(const Packet& packet, const std::string& from) {
  const std::vector<uint64_t> own = bucket_digests();
  std::vector<Update> updates;
  // Starts at a random member, as not all updates may fit.
  const uint32_t first = rng_(static_cast<uint32_t>(names_->size()));
  for (size_t n = 0; n < records_.size(); ++n) {
    const size_t i = (first + n) % records_.size();
    const uint64_t b = bucket_of(i);
    if (own[b] != packet.buckets[b] && records_[i].state != State::kUnknown) updates.push_back(update_of(i));
  }
  if (!updates.empty()) send_records(from, updates);
}

void Membership::send_records(const std::string& to, const std::vector<Update>& updates) {
  size_t next = 0;
  for (size_t packets = 0; next < updates.size() && packets < kMaxRecordPackets; ++packets) {
    Packet packet;
    packet.type = PacketType::kRecords;
    packet.sequence_number = 1;  // any non-zero value asks for newer records in return
    next += send_with_gossip(std::move(packet), to, std::span(updates).subspan(next));
  }
}

// Compares views with the sender if the digests differ. on_timer() reports a divergence if for longer than
// views take to converge more than one of the last 16 datagrams carried a different digest.
void Membership::record_digest(Time now, const std::string& from, uint64_t digest) {
  const bool differs = digest != digest_;
  recent_differences_ = (recent_differences_ << 1 | (differs ? 1u : 0u)) & kRecentDigestsMask;
  if (std::popcount(recent_differences_) <= 1) last_agreement_ = now;
  // Once the last four senders hold the same view, rumors about alive, dead and left members need no further
  // transmission.
  if ((recent_differences_ & kLatestDigestsMask) == 0 && received_count_ >= 4) {
    for (auto it = rumors_.begin(); it != rumors_.end();) {
      const auto& [i, rumor] = *it;
      if (rumor.update.state == State::kSuspect || rumor.transmissions == 0) {
        ++it;
        continue;
      }
      gossip_queue_.erase({rumor.transmissions, rumor.order, i});
      it = rumors_.erase(it);
    }
  }
  if (!differs || !settings_.anti_entropy || now - last_digests_sent_ < settings_.period) return;
  last_digests_sent_ = now;
  send_digests(from);
}

uint64_t Membership::fingerprint(Time now) const {
  std::string state;
  const auto add = [&](uint64_t value) { state.append(reinterpret_cast<const char*>(&value), sizeof value); };
  const auto age = [&](Time t) { add(t == kNever ? 0 : static_cast<uint64_t>(t - now)); };
  add(incarnation_);
  add(static_cast<uint64_t>(health_score_));
  add(leaving_ ? 1 : 0);
  age(next_period_);
  for (const Record& r : records_) {
    add(static_cast<uint64_t>(r.state));
    add(r.incarnation);
    age(r.suspicion_deadline);
    for (const std::string& suspecter : r.suspected_by) state += suspecter;
  }
  if (probe_) {
    add(probe_->target);
    age(probe_->deadline);
    add(probe_->ping_requests_sent ? 1 : 0);
  }
  for (const auto& [sequence_number, ping] : indirect_pings_) age(ping.expires_at);
  for (const auto& [i, rumor] : rumors_) {
    add(i);
    add(static_cast<uint64_t>(rumor.transmissions));
  }
  for (const size_t i : probe_queue_) add(i);
  return XXH64(state.data(), state.size(), 0);
}

// ---- Calls of the driver ----

void Membership::start(Time now) {
  Record& own = records_[own_index_];
  own.state = State::kAlive;
  own.incarnation = incarnation_;
  own.state_since = now;
  own.version = settings_.version;
  own.started_ms = settings_.started_ms;
  --state_counts_[static_cast<size_t>(State::kUnknown)];
  ++state_counts_[static_cast<size_t>(State::kAlive)];
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  last_agreement_ = now;
  enqueue_rumor(own_update());
  // A random offset, so that members that start together do not send at the same time.
  next_period_ =
      now + static_cast<Time>(rng_(static_cast<uint32_t>(std::max<Time>(1, settings_.period / 4))));
  for (size_t tries = 0; tries < kGossipFanOut && names_->size() > 1; ++tries) {
    const size_t i = rng_(static_cast<uint32_t>(names_->size()));
    if (i != own_index_) send_digests((*names_)[i]);
  }
  schedule_wakeup();
}

void Membership::leave() {
  if (std::exchange(leaving_, true)) return;
  digest_ ^= hash_of(settings_.name, State::kAlive, incarnation_);
  enqueue_rumor(own_update());
  for (const size_t to : random_alive_members(kLeaveFanOut, own_index_)) send_gossip((*names_)[to]);
}

void Membership::set_members(std::vector<std::string> names) {
  std::sort(names.begin(), names.end());
  const auto old_names = names_;
  const auto old = std::move(records_);
  names_ = std::make_shared<const std::vector<std::string>>(std::move(names));
  records_.assign(names_->size(), {});
  state_counts_ = {};
  digest_ = 0;
  suspicion_deadlines_.clear();
  probe_queue_.clear();
  rumors_.clear();
  gossip_queue_.clear();
  probe_.reset();
  for (size_t i = 0; i < names_->size(); ++i) {
    const auto it = std::lower_bound(old_names->begin(), old_names->end(), (*names_)[i]);
    if (it != old_names->end() && *it == (*names_)[i]) {
      records_[i] = old[static_cast<size_t>(it - old_names->begin())];
      if (records_[i].suspicion_deadline != kNever)
        suspicion_deadlines_.insert({records_[i].suspicion_deadline, i});
    }
    const Record& r = records_[i];
    ++state_counts_[static_cast<size_t>(r.state)];
    digest_ ^= hash_of((*names_)[i], is_alive(r.state) ? r.state : State::kUnknown, r.incarnation);
  }
  own_index_ = index_of(settings_.name);
  enqueue_rumor(own_update());
  schedule_wakeup();
}

void Membership::on_datagram(Time now, const std::string& from, std::string_view bytes) {
  const auto decoded = decode(bytes, settings_.cluster);
  if (const PacketError* error = std::get_if<PacketError>(&decoded)) {
    ++dropped_.unreadable[static_cast<size_t>(*error)];
    return;
  }
  const Packet& packet = std::get<Packet>(decoded);
  const size_t sender_index = index_of(from);
  if (sender_index == names_->size()) {
    ++dropped_.unknown_sender;
    return;
  }
  if (packet.sender.name != from || sender_index == own_index_) {
    ++(packet.sender.name == settings_.name ? dropped_.own_name_claimed : dropped_.name_mismatch);
    return;
  }
  ++received_count_;
  apply_update(now, packet.sender);
  const Record& r = record(sender_index);
  std::vector<Update> priority;
  // A sender that is suspect, dead or left here, or recorded with another incarnation or start, is first sent
  // that record and can refute it. Updates from a sender that is dead or left here are ignored.
  const bool outdated = packet.sender.incarnation < r.incarnation || packet.sender.started_ms != r.started_ms;
  if (r.state != State::kAlive || outdated) priority.push_back(update_of(sender_index));
  const bool considered_alive = is_alive(r.state);
  if (packet.sender.state == State::kLeft) return;
  if (!considered_alive) {
    // Except updates about this member: two members that hold each other for dead must both refute.
    const uint64_t previous_incarnation = incarnation_;
    for (const Update& u : packet.updates) {
      if (u.name == settings_.name) apply_update(now, u);
    }
    if (packet.type == PacketType::kPing) {
      send_packet(PacketType::kAck, from, packet.sequence_number, priority);
    } else if (packet.type != PacketType::kGossip ||
               incarnation_ != previous_incarnation) {  // otherwise gossip would answer gossip forever
      send_packet(PacketType::kGossip, from, 0, priority);
    }
    return schedule_wakeup();
  }
  std::vector<Update> newer_records;
  for (const Update& u : packet.updates) {
    const size_t i = index_of(u.name);
    if (apply_update(now, u) || packet.type != PacketType::kRecords || i == names_->size()) continue;
    const Record& own = records_[i];
    if (supersedes(own.state, own.incarnation, u.state, u.incarnation)) newer_records.push_back(update_of(i));
  }
  switch (packet.type) {
    case PacketType::kPing:
      send_packet(PacketType::kAck, from, packet.sequence_number, priority);
      break;
    case PacketType::kAck:
      if (probe_ && probe_->sequence_number == packet.sequence_number) {
        probe_.reset();
        adjust_health_score(-1);
      } else if (const auto it = indirect_pings_.find(packet.sequence_number); it != indirect_pings_.end()) {
        send_packet(PacketType::kAck, it->second.origin, it->second.sequence_number);
        indirect_pings_.erase(it);
      }
      break;
    case PacketType::kPingRequest: {
      const size_t target = index_of(packet.target);
      if (target == names_->size() || target == own_index_ || indirect_pings_.size() >= kMaxIndirectPings)
        break;
      const uint64_t sequence_number = ++last_sequence_number_;
      indirect_pings_[sequence_number] = {from, packet.sequence_number, now + settings_.period / 4,
                                          now + 2 * settings_.period};
      send_packet(PacketType::kPing, packet.target, sequence_number, {});
      break;
    }
    case PacketType::kNack:  // counted in received_count_, which shows that the network works
      break;
    case PacketType::kDigests:
      answer_digests(packet, from);
      break;
    case PacketType::kRecords:
      if (!newer_records.empty() && packet.sequence_number > 0) {
        Packet reply;
        reply.type = PacketType::kRecords;
        send_with_gossip(std::move(reply), from, newer_records);
      }
      break;
    case PacketType::kGossip:
      break;
  }
  record_digest(now, from, packet.digest);
  schedule_wakeup();
}

// ---- Probes ----

void Membership::begin_period(Time now) {
  ++period_count_;
  next_period_ = now + settings_.period;
  while (!probe_queue_.empty() &&
         (probe_queue_.back() == own_index_ || !is_alive(records_[probe_queue_.back()].state)))
    probe_queue_.pop_back();
  if (probe_queue_.empty()) {
    for (size_t i = 0; i < records_.size(); ++i) {
      if (i != own_index_ && is_alive(records_[i].state)) probe_queue_.push_back(i);
    }
    std::shuffle(probe_queue_.begin(), probe_queue_.end(), rng_);
  }
  if (!probe_queue_.empty()) {
    const size_t target = probe_queue_.back();
    probe_queue_.pop_back();
    const uint64_t sequence_number = ++last_sequence_number_;
    probe_ = Probe{target, sequence_number, now + settings_.period / 3, next_period_, received_count_, false};
    // The ping reports the suspicion to a suspect, so that it can refute it.
    std::vector<Update> priority;
    if (settings_.lifeguard && records_[target].state == State::kSuspect)
      priority.push_back(update_of(target));
    send_packet(PacketType::kPing, (*names_)[target], sequence_number, priority);
  }
  // Rumors are piggybacked on pings; while some are pending, further members receive them too.
  if (!gossip_queue_.empty()) {
    for (const size_t to : random_alive_members(kGossipFanOut - 1, own_index_)) send_gossip((*names_)[to]);
  }
  if (settings_.anti_entropy && period_count_ % kDigestPeriods == rng_(kDigestPeriods)) {
    for (const size_t to : random_alive_members(1, own_index_)) send_digests((*names_)[to]);
  }
  // Members that are not alive are pinged from time to time forever, so that the two sides of a partition
  // find each other again however late it heals.
  const size_t not_alive = records_.size() - alive_count();
  if (not_alive == 0 || leaving_) return;
  const bool isolated = alive_count() <= 1;
  if (!isolated && rng_(kReconnectPeriods) != 0) return;
  size_t pick = rng_(static_cast<uint32_t>(not_alive));
  for (size_t i = 0; i < records_.size(); ++i) {
    if (is_alive(records_[i].state) || pick-- > 0) continue;
    std::vector<Update> priority;
    if (records_[i].state != State::kUnknown) priority.push_back(update_of(i));
    send_packet(PacketType::kPing, (*names_)[i], ++last_sequence_number_, priority);
    break;
  }
}

void Membership::send_ping_requests() {
  probe_->ping_requests_sent = true;
  const std::string& target = (*names_)[probe_->target];
  for (const size_t helper : random_alive_members(kIndirectProbes, probe_->target)) {
    Packet packet;
    packet.type = PacketType::kPingRequest;
    packet.sequence_number = probe_->sequence_number;
    packet.target = target;
    send_with_gossip(std::move(packet), (*names_)[helper]);
  }
}

// The probe was not answered. If no datagram at all has arrived since it began, the fault may be on this
// side, and this member's health score gets worse. Lifeguard also counts missing nacks. That is left out
// here: when seven members in ten crash at once, the helpers are dead as well, and the survivors would blame
// themselves.
void Membership::fail_probe(Time now) {
  const Probe ended = *std::exchange(probe_, {});
  if (received_count_ == ended.received_before && alive_count() > 2) adjust_health_score(1);
  const Record& r = records_[ended.target];
  if (!is_alive(r.state)) return;
  if (r.state == State::kSuspect && r.suspected_by.contains(settings_.name)) return;
  suspect(now, ended.target, settings_.name);
}

void Membership::expire_suspicions(Time now) {
  while (!suspicion_deadlines_.empty() && suspicion_deadlines_.begin()->first <= now) {
    const size_t i = suspicion_deadlines_.begin()->second;
    apply_update(now, {(*names_)[i], State::kDead, records_[i].incarnation, "", "", 0});
  }
}

void Membership::on_timer(Time now) {
  // The call came over a period late: this process was paused. The pause does not count against other
  // members.
  const Time paused = next_wakeup_ == kNever ? 0 : now - next_wakeup_;
  if (paused > settings_.period) {
    probe_.reset();
    indirect_pings_.clear();
    adjust_health_score(kMaxHealthScore);
    const auto old = std::exchange(suspicion_deadlines_, {});
    for (const auto& [at, i] : old) {
      records_[i].suspicion_deadline = at + paused;
      records_[i].suspected_at += paused;
      suspicion_deadlines_.insert({at + paused, i});
    }
    last_agreement_ += paused;
    next_period_ = now;
  }
  if (probe_ && !probe_->ping_requests_sent && now >= probe_->direct_deadline) send_ping_requests();
  if (probe_ && now >= probe_->deadline) fail_probe(now);
  for (auto it = indirect_pings_.begin(); it != indirect_pings_.end();) {
    IndirectPing& ping = it->second;
    if (now >= ping.nack_at) {
      ping.nack_at = kNever;
      if (settings_.lifeguard) send_packet(PacketType::kNack, ping.origin, ping.sequence_number);
    }
    it = now >= ping.expires_at ? indirect_pings_.erase(it) : std::next(it);
  }
  expire_suspicions(now);
  if (now >= next_period_) begin_period(now);
  const double doublings = std::log2(static_cast<double>(alive_count()) + 1);
  const Time divergence_time =
      static_cast<Time>((4 + kDivergenceMultiplier * doublings) * static_cast<double>(settings_.period));
  if (alive_count() <= 1) last_agreement_ = now;
  const bool diverged = now - last_agreement_ > divergence_time;
  if (diverged != views_diverged()) {
    diverged_since_ = diverged ? last_agreement_ : kNever;
    add_event(diverged ? Event::Type::kViewsDiverged : Event::Type::kViewsConverged, own_index_);
  }
  schedule_wakeup();
}

void Membership::schedule_wakeup() {
  next_wakeup_ = next_period_;
  if (probe_)
    next_wakeup_ =
        std::min(next_wakeup_, probe_->ping_requests_sent ? probe_->deadline : probe_->direct_deadline);
  if (!suspicion_deadlines_.empty())
    next_wakeup_ = std::min(next_wakeup_, suspicion_deadlines_.begin()->first);
  for (const auto& [sequence_number, ping] : indirect_pings_)
    next_wakeup_ = std::min({next_wakeup_, ping.nack_at, ping.expires_at});
}

}  // namespace umberhoist::fleet
