// Group membership of the fleet: each member keeps a view of which members are alive, with their incarnation
// and version.
//
// The protocol is SWIM (Das, Gupta, Motivala, 2002: ping, indirect ping, suspicion, refutation by a higher
// incarnation, gossip piggybacked on the pings) with the three extensions of Lifeguard (Dadgar, Phillips,
// Currey, 2018: a local health score, a suspicion timeout that shrinks with the number of confirmations, and
// a ping that reports the suspicion to a suspect). Comparing digests of whole views (anti-entropy) lets both
// sides of a healed partition converge.
//
// States of a member in another member's view, and the transitions:
//   unknown -> alive    any update says that it is alive
//   alive   -> suspect  a ping and its indirect pings stayed unanswered, here or at another member
//   suspect -> alive    the member refutes with a higher incarnation
//   suspect -> dead     the suspicion timeout ends without a refutation
//   any     -> left     the member announced it; also dead -> left at the same incarnation
//   dead, left -> alive the member announces itself with a higher incarnation
// Of two updates about a member the one with the higher incarnation wins; at the same incarnation the later
// state in the order alive, suspect, dead, left. Only the member itself raises its incarnation.
//
// Guarantees, once faults have ended and while most datagrams arrive: all alive members hold the same view
// (equal digest()) within 4 + 3 log2(n) periods; a member that is paused for less than
// min_suspicion_timeout() minus one period is not declared dead; the traffic per member and period does not
// grow with n; memory does not grow with time. There is one record per configured name, kept for as long as
// the name is configured, so late rumors about a member that is long gone change nothing.
// Not guaranteed: agreement at every moment, during a partition or outside one; that a member which is up but
// unreachable is seen as alive; anything if a member lies (datagrams are not authenticated).
//
// A member whose timer fires late (stopped process, busy core) sets its own health score to the worst value
// and extends its pending suspicions by the length of the pause.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <span>

#include "membership_codec.h"
#include "state_machine.h"

namespace umberhoist::fleet {

class Membership : public StateMachine {
 public:
  struct Settings {
    std::string cluster;
    std::string name;                // of this member, one of `names`
    std::vector<std::string> names;  // of all members
    Time period = 500 * kMs;
    std::string version;
    uint64_t started_ms = 0;
    uint64_t incarnation = 0;  // highest one this name is known to have used; 0: none known
    // Can be disabled to measure the benefit of each.
    bool lifeguard = true;     // the three extensions of Lifeguard
    bool anti_entropy = true;  // periodic comparison of view digests
  };
  struct Event {
    enum class Type { kJoined, kSuspect, kRefuted, kLeft, kDead, kViewsDiverged, kViewsConverged };
    Type type;
    std::string name;
    std::string suspected_by;
  };
  struct Record {  // what this member knows about another
    State state = State::kUnknown;
    uint64_t incarnation = 0;
    Time state_since = 0;
    std::string version;
    uint64_t started_ms = 0;
    // Only for kSuspect.
    std::set<std::string> suspected_by;  // "doubted_by" in the reply to FLEET
    Time suspected_at = 0;
    Time suspicion_deadline = kNever;  // then it is declared dead
  };
  struct Dropped {  // dropped datagrams, by reason
    std::array<uint64_t, kPacketErrorNames.size()> unreadable = {};
    uint64_t unknown_sender = 0;    // "stranger" in METRICS: from a name that is not configured
    uint64_t name_mismatch = 0;     // "other_name": claims another name than its address is configured for
    uint64_t own_name_claimed = 0;  // "itself": claims the name of this member
  };

  Membership(Settings settings, uint64_t seed);

  void start(Time now) override;
  void on_datagram(Time now, const std::string& from, std::string_view bytes) override;
  void on_timer(Time now) override;
  Time next_wakeup() const override { return next_wakeup_; }

  // Announces to some members that this one leaves. It keeps answering until it is destroyed.
  void leave();
  // Replaces the configured names; records of names that stay are kept.
  void set_members(std::vector<std::string> names);

  // Events since the last call; only the newest kMaxEvents are kept.
  static constexpr size_t kMaxEvents = 10'000;
  std::vector<Event> take_events() { return std::exchange(events_, {}); }

  const std::vector<std::string>& names() const { return *names_; }
  const std::string& own_name() const { return settings_.name; }
  const Record* find(const std::string& name) const;
  size_t count(State state) const { return state_counts_[static_cast<size_t>(state)]; }
  // Including suspects.
  size_t alive_count() const { return count(State::kAlive) + count(State::kSuspect); }
  uint64_t digest() const;  // of the alive members (suspects count as alive) and their incarnations
  uint64_t incarnation() const { return incarnation_; }
  int health_score() const { return health_score_; }  // 0: healthy, up to kMaxHealthScore
  Time min_suspicion_timeout() const;
  const Dropped& dropped() const { return dropped_; }
  // Whether other members have held a different view for longer than views take to converge.
  bool views_diverged() const { return diverged_since_ != kNever; }
  Time diverged_since() const { return diverged_since_; }

  // Hash of the state that determines future behavior, with times relative to `now`: two members with equal
  // fingerprints behave alike except for their random choices.
  uint64_t fingerprint(Time now) const;

  static constexpr int kMaxHealthScore = 8;

  // Fault injected by the model checker's test: refutations are not sent.
  bool inject_never_refutes = false;

 private:
  struct Probe {
    size_t target;
    uint64_t sequence_number;
    Time direct_deadline;  // when to send ping requests to other members
    Time deadline;
    uint64_t received_before;  // received_count_ when the probe started
    bool ping_requests_sent = false;
  };
  struct IndirectPing {  // sent on behalf of `origin`
    std::string origin;
    uint64_t sequence_number;
    Time nack_at;
    Time expires_at;
  };
  struct Rumor {
    Update update;
    int transmissions = 0;
    uint64_t order = 0;  // the older first
  };

  size_t index_of(const std::string& name) const;  // names().size() if not configured
  Record& record(size_t i) { return records_[i]; }
  Update update_of(size_t i) const;
  Update own_update() const;
  // Applies an update received or made here. Returns whether it changed the view.
  bool apply_update(Time now, const Update& update);
  void apply_update_about_self(const Update& update);
  void set_state(Time now, size_t i, State state, const std::string& suspected_by);
  void suspect(Time now, size_t i, const std::string& suspected_by);
  void set_suspicion_deadline(size_t i, Time at);
  Time suspicion_timeout(const Record& r) const;
  void enqueue_rumor(const Update& update);
  void refute(uint64_t incarnation);
  void send_gossip(const std::string& to);
  void send_packet(PacketType type, const std::string& to, uint64_t sequence_number,
                   const std::vector<Update>& priority = {});
  // Sends `packet` with the updates in `priority` and as many rumors as fit. Returns how many of `priority`
  // fit.
  size_t send_with_gossip(Packet packet, const std::string& to, std::span<const Update> priority = {});
  void answer_digests(const Packet& packet, const std::string& from);
  void send_records(const std::string& to, const std::vector<Update>& updates);
  void send_digests(const std::string& to);
  void begin_period(Time now);
  void fail_probe(Time now);
  void send_ping_requests();
  void expire_suspicions(Time now);
  void schedule_wakeup();
  void adjust_health_score(int delta);
  std::vector<size_t> random_alive_members(size_t count, size_t excluded) const;
  int max_transmissions() const;
  uint64_t bucket_of(size_t i) const;
  std::vector<uint64_t> bucket_digests() const;
  void record_digest(Time now, const std::string& from, uint64_t digest);
  void add_event(Event::Type type, size_t i, const std::string& suspected_by = "");

  Settings settings_;
  std::shared_ptr<const std::vector<std::string>> names_;  // of all configured members, sorted
  size_t own_index_;
  mutable pcg32 rng_;
  uint64_t incarnation_;
  bool leaving_ = false;
  int health_score_ = 0;
  std::vector<Record> records_;
  std::array<size_t, kStateNames.size()> state_counts_ = {};
  uint64_t digest_ = 0;
  std::set<std::pair<Time, size_t>> suspicion_deadlines_;  // with the index of the suspect
  std::vector<size_t> probe_queue_;  // members still to be probed in this round; the next one is last
  std::optional<Probe> probe_;
  uint64_t last_sequence_number_ = 0;
  std::map<uint64_t, IndirectPing> indirect_pings_;
  std::map<size_t, Rumor> rumors_;                            // by member index
  std::set<std::tuple<int, uint64_t, size_t>> gossip_queue_;  // transmissions, order, member index
  uint64_t last_rumor_order_ = 0;
  Time next_period_ = kNever;
  Time next_wakeup_ = kNever;
  uint64_t period_count_ = 0;
  uint64_t received_count_ = 0;      // valid datagrams
  uint32_t recent_differences_ = 0;  // one bit for each of the last datagrams: 1 if its digest differed
  Time last_agreement_ = 0;          // the last time at which at most one of these bits was set
  Time diverged_since_ = kNever;
  Time last_digests_sent_ = 0;  // in response to a digest that differed
  std::vector<Event> events_;
  Dropped dropped_;
};

}  // namespace umberhoist::fleet
