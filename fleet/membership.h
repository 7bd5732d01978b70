// A view of the fleet kept by its members: who lives, at which incarnation, of which version.
//
// SWIM (Das, Gupta, Motivala, 2002: ping, indirect ping, suspicion, refutation by incarnation, rumours
// carried by the probes) with Lifeguard's three parts (Dadgar, Phillips, Currey, 2018: a member's doubt in
// its own health, suspicion that lasts the shorter the more confirm it, the suspect told first), and a
// comparison of whole views by digest, so that halves of a healed split converge.
//
// States of a member, in another's view, and what moves them:
//   unknown -> alive    anything that says so
//   alive   -> suspect  a probe and its indirect ones went unanswered, here or at another (`by`)
//   suspect -> alive    the member says so, with a higher incarnation
//   suspect -> dead     nobody refuted for the suspicion time
//   any     -> left     the member said so; dead -> left at the same incarnation
//   dead, left -> alive the member says so, with a higher incarnation
// Of two words about one member the one with the higher incarnation holds; of equal ones the later in this
// order: alive, suspect, dead, left. Only a member raises its own incarnation.
//
// Promised, after the last fault and while most datagrams come through: all live members hold the same view
// (equal digest()) within 4 + 3 log2(n) periods; a member that stands still for less than suspicion_least()
// less one period is not declared dead; what a member sends per period does not grow with n; nothing grows
// with time: records are one a configured name, kept for as long as it is configured, so that old rumours of
// one long gone change nothing. Not promised: agreement at any moment, in a split or out of one; the truth
// about a member that is up but cannot be reached; anything where a member lies (datagrams are not
// authenticated).
//
// One that wakes late (stopped, or a busy core) doubts itself first: it judges nobody by the time that it
// slept.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <span>

#include "codec.h"
#include "machine.h"

namespace umberhoist::fleet {

class Membership : public Machine {
 public:
  struct Settings {
    std::string cluster;
    std::string name;                // this member's, one of `names`
    std::vector<std::string> names;  // of all members
    Time period = 500 * kMs;
    std::string version;
    uint64_t started_ms = 0;
    uint64_t incarnation = 0;  // the highest that this name is known to have had; 0: none is known
    // Parts that can be left out, to see what each buys.
    bool health = true;   // Lifeguard's three
    bool compare = true;  // whole views
  };
  struct Event {
    enum class What { kJoined, kSuspect, kRefuted, kLeft, kDead, kDisagrees, kAgrees };
    What what;
    std::string name;
    std::string by;
  };
  struct Record {
    State state = State::kUnknown;
    uint64_t incarnation = 0;
    Time since = 0;  // in this state
    std::string version;
    uint64_t started_ms = 0;
    // While it is a suspect: by whom, and until when.
    std::set<std::string> doubters;
    Time doubted = 0;
    Time deadline = kNever;
  };
  struct Dropped {  // datagrams, by reason
    std::array<uint64_t, kFaultNames.size()> unreadable = {};
    uint64_t stranger = 0;    // from a name that is not configured
    uint64_t other_name = 0;  // it says that it is another than its address is configured for
    uint64_t itself = 0;      // it says that it is this member
  };

  Membership(Settings settings, uint64_t seed);

  void start(Time now) override;
  void received(Time now, const std::string& from, std::string_view bytes) override;
  void woke(Time now) override;
  Time next() const override { return next_; }

  // Tells some that it leaves; it still answers until it is gone.
  void leave();
  // Other names from now on; records of those that stay are kept.
  void rename(std::vector<std::string> names);

  // What has happened since it was last asked for; at most kMostEvents, the oldest are lost.
  static constexpr size_t kMostEvents = 10'000;
  std::vector<Event> events() { return std::exchange(events_, {}); }

  const std::vector<std::string>& names() const { return *names_; }
  const std::string& own_name() const { return settings_.name; }
  const Record* find(const std::string& name) const;
  size_t count(State state) const { return counts_[static_cast<size_t>(state)]; }
  size_t live() const { return count(State::kAlive) + count(State::kSuspect); }
  uint64_t digest() const;  // of who lives and at which incarnation; suspects live
  uint64_t incarnation() const { return incarnation_; }
  int health() const { return health_; }  // 0: good; up to kWorstHealth
  Time suspicion_least() const;
  const Dropped& dropped() const { return dropped_; }
  bool disagrees() const { return disagrees_since_ != kNever; }
  Time disagrees_since() const { return disagrees_since_; }

  // All that decides what it does next, times counted from now: two with the same behave the same but for
  // chance.
  uint64_t fingerprint(Time now) const;

  static constexpr int kWorstHealth = 8;

  // Planted for the model checker: refutations are not sent.
  bool planted_never_refutes = false;

 private:
  struct Probe {
    size_t target;
    uint64_t number;
    Time direct_until;  // then others are asked
    Time until;
    uint64_t heard;  // datagrams until then
    bool asked = false;
  };
  struct Relayed {  // a ping for another
    std::string origin;
    uint64_t number;
    Time nack_at;
    Time until;
  };
  struct Rumour {
    Update update;
    int sent = 0;
    uint64_t order = 0;
  };

  size_t index(const std::string& name) const;  // names().size(): not configured
  Record& record(size_t i) { return records_[i]; }
  Update update_of(size_t i) const;
  Update self() const;
  // Takes a word about a member in; answers whether it was news.
  bool hear(Time now, const Update& update);
  void hear_of_self(const Update& update);
  void set_state(Time now, size_t i, State state, const std::string& by);
  void suspect(Time now, size_t i, const std::string& by);
  void deadline(size_t i, Time at);
  Time suspicion_of(const Record& r) const;  // how long it lasts
  void rumour(const Update& update);
  void refute(uint64_t above);
  void tell_news(const std::string& to);
  void reply(Kind kind, const std::string& to, uint64_t number, const std::vector<Update>& first = {});
  // Answers how many of `first` had room.
  size_t dispatch(Packet packet, const std::string& to, std::span<const Update> first = {});
  void answer_compare(const Packet& packet, const std::string& from);
  void send_records(const std::string& to, const std::vector<Update>& updates);
  void compare_with(const std::string& to);
  void next_probe(Time now);
  void end_probe(Time now);
  void ask_others();
  void judge(Time now);
  void arm();
  void worse(int by);
  std::vector<size_t> some(size_t count, size_t but) const;  // live members at random
  int most_sent() const;
  uint64_t bucket_of(size_t i) const;
  std::vector<uint64_t> bucket_digests() const;
  void note_digest(Time now, const std::string& from, uint64_t digest);
  void event(Event::What what, size_t i, const std::string& by = "");

  Settings settings_;
  std::shared_ptr<const std::vector<std::string>> names_;  // sorted
  size_t self_;
  mutable pcg32 chance_;
  uint64_t incarnation_;
  bool leaving_ = false;
  int health_ = 0;
  std::vector<Record> records_;
  std::array<size_t, kStateNames.size()> counts_ = {};
  uint64_t digest_ = 0;
  std::set<std::pair<Time, size_t>> deadlines_;  // of suspects
  std::vector<size_t> round_;                    // to be probed, the next last
  std::optional<Probe> probe_;
  uint64_t last_number_ = 0;
  std::map<uint64_t, Relayed> relayed_;
  std::map<size_t, Rumour> rumours_;                     // by member
  std::set<std::tuple<int, uint64_t, size_t>> to_tell_;  // the least told first
  uint64_t order_ = 0;
  Time tick_ = kNever;  // the next period's beginning
  Time next_ = kNever;
  uint64_t periods_ = 0;
  uint64_t heard_ = 0;
  uint32_t compared_last_ = 0;  // of the last datagrams: whether their views differed, a bit each
  Time agreed_ = 0;             // when they last did not
  Time disagrees_since_ = kNever;
  Time compared_ = 0;  // when views were last compared for a digest that differed
  std::vector<Event> events_;
  Dropped dropped_;
};

}  // namespace umberhoist::fleet
