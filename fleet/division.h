// The leader's part of the fleet's budgets: divides each whole among the relays that ask for their parts.
//
// Each renewal of a lease that is granted is answered by a table of parts, which lasts as long as that lease.
// A table is made out of the one that the relay has shown that it holds, by differences, and a relay takes no
// other: so once it shows table N, all that was made out of an earlier one is void.
//
// Counted as out of a budget, for each life of a relay: the largest part in the table that it has shown and
// in those made out of that since, until the last lease granted to it is surely over; and the floor of each
// configured name, whether it lives or not. A life that is told by nobody any more is counted so, too.
//
// Promised, where leases are as fleet/agreement promises: B1 what is out sums to at most the whole, or, where
// the whole was lowered below it, to what it was, and no part is raised until it fits. B5 one that renews
// gets a part within the lower whole with its next answer, one that does not has none within a term. B2
// max-min by need above the floor, of what no other life may still hold. Nothing is granted in a reign until
// the leases of those before it are surely over.
// Hysteresis: a part is lowered where it is 5% above what is due, or another that lives has 7% less than what
// it needs of its due, or the whole does not hold it; raised where that is 2% or more.
// Turns: where even parts would be under one call a term, as many relays as can have that have the whole,
// those whose last turn is longest ago first. A turn lasts kTurnTerms, and as many calls as it began.
//
// The whole in force: the lowest of what the policy says and what relays tell that are heard or have a lease.
// Not promised: anything of a budget whose whole nobody knows (no parts); floors of relays that are
// configured with another share or other names, beyond what they tell.
//
// Bounds: kMostBudgets budgets; of each name kMostLives lives with a part out, and kMostOut tables that were
// not shown (then no more until one is, or they are over). Memory: names x budgets x about 100 bytes. Cost of
// an answer: the relay's own budgets; of a change, the relays that ask for that budget.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "budget_wire.h"

namespace umberhoist::fleet {

constexpr size_t kMostLives = 4;
constexpr size_t kMostOut = 8;
constexpr int kTurnTerms = 4;

class Divider {
 public:
  // Faults planted for the model checker.
  enum class Plant { kNothing, kEarly, kFloorsLeftOut };

  struct Settings {
    Time period = 500 * kMs;
    Time term = 3000 * kMs;
    double floor = 0.2;  // of names that have not told theirs
    std::vector<std::string> names;
    Plant plant = Plant::kNothing;
  };
  struct Asked {
    std::string relay;
    Time over = 0;   // the lease that is granted now is surely over after
    Time heard = 0;  // what this leader said at this time has reached the relay; 0: nothing in this reign
  };
  struct Counts {
    uint64_t budgets = 0;
    uint64_t out = 0;  // parts that may be held now
    uint64_t lowered = 0;
    uint64_t lapsed = 0;    // parts whose lease ended before they were given back
    uint64_t held_off = 0;  // answers without parts
  };

  explicit Divider(Settings settings);

  // A reign begins: what leaders before granted is surely over at `clear`.
  void begin(uint64_t reign, Time clear);
  void configure(std::vector<std::string> names, double floor);
  // Of the policy, by hash; in place of those before.
  void wholes(std::unordered_map<uint64_t, double> wholes);
  // The answer to a renewal whose lease is granted; none: the relay keeps what it has until its lease ends.
  std::optional<Parts> answer(Time now, const Asked& asked, const Demands& told);

  uint64_t reign() const { return reign_; }
  Counts counts() const;
  uint64_t fingerprint(Time now) const;  // of all that decides what comes next

 private:
  struct Share {  // of one life in one budget
    double told_whole = 0, per_s = 0;
    double held = 0, held_whole = 0;  // in the table that it has shown
    double last = 0, last_whole = 0;  // in the newest one
    double most = 0, most_whole = 0;  // in any that it may hold
    double due = 0, need = 0;
    Time turn_until = 0;  // 0: no turn; kNever: it has not begun
    Time served = -1;     // its last turn ended
  };
  struct Given {
    uint64_t number = 0;
    std::vector<Part> all;
  };
  struct Life {
    uint64_t id = 0;
    bool live = false;  // heard lately, and not followed by another life
    Time heard = 0;
    Time over = -1;  // of the last lease granted; -1: none
    double floor = 0;
    uint64_t words = 0;  // of its, heard
    uint64_t base = 0, newest = 0;
    bool fresh = false;
    std::deque<Given> out;  // made out of `base`, oldest first
    std::unordered_map<uint64_t, Share> shares;
  };
  struct Budget {
    double whole = 0;   // in force; 0: not known
    double floors = 0;  // of all names, or what is kept back for them
    double parts = 0;   // that may be held
    size_t asked = 0;   // lives with a share in it
    bool stale = true;
    bool starving = false;
    bool turns = false;
    Time until = kNever;  // stale then
  };

  Life* life_of(Time now, const Asked& asked, const Demands& told);
  void hear(Life& life, const Demands& told);
  void shown(Life& life, const Demands& told);
  void sweep(Time now);
  void lapse(Life& life);
  void stale(const Life& life);
  Share* share(Life& life, uint64_t budget);  // null: too many budgets
  void drop_idle(Life& life);

  Budget& fresh(Time now, uint64_t budget);
  void weigh(Time now, uint64_t budget, Budget& b);
  struct Wanting {
    const std::string* relay;
    Share* share;
  };
  void take_turns(Time now, Budget& b, double pool, std::vector<Wanting>& by) const;
  double floor_of(const std::vector<Life>& lives, uint64_t budget, double whole) const;
  void begin_turn(Time now, uint64_t budget, Share& s);
  double least() const;  // a second: one call a term
  double reserve(double whole) const;
  double part_for(const Budget& b, const Share& s) const;
  std::optional<Parts> give(Time now, Life& life);

  Settings settings_;
  uint64_t reign_ = 0;
  Time clear_ = 0;
  Time swept_ = -1;
  std::unordered_map<uint64_t, double> policy_;
  std::map<std::string, std::vector<Life>> relays_;
  std::unordered_map<uint64_t, Budget> budgets_;
  Counts counts_;
};

}  // namespace umberhoist::fleet
