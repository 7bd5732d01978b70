// The fleet's state machines on a simulated clock and network: thousands of members in one process, the same
// course for the same seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <set>

#include "../fleet/state_machine.h"
#include "plan.h"

namespace umberhoist::lab {

using fleet::Time;

// The clock and the network between members, by number. A member that is down hears nothing; one that is
// stopped hears all of it once it is woken, as from a socket's buffer, of which it keeps the first
// `kMostBuffered`.
class SimNetwork {
 public:
  static constexpr size_t kMostBuffered = 200;

  struct Way {
    double loss = 0;
    Time delay = 500;  // at least; as much again at random
    double duplicate = 0;
    double reorder = 0;
  };
  using Make = std::function<std::unique_ptr<fleet::StateMachine>(int member, uint64_t seed, int life)>;

  SimNetwork(int members, uint64_t seed, Make make);

  void start(int member);  // again after a crash: a new machine, one life more
  void crash(int member);
  void pause(int member);
  void resume(int member);
  void nudge(int member) { flush(member); }  // after a call on machine() from outside
  void at(Time when, std::function<void()> then);
  void run(Time until);

  Way way;                                           // of every pair that has none of its own
  std::function<const Way*(int from, int to)> ways;  // null: `way`
  std::function<bool(int from, int to)> blocked;     // a cut, by direction
  std::function<void(int from, int to, const std::string& bytes)>
      seen;  // all that is sent, where somebody looks

  Time now() const { return now_; }
  int members() const { return static_cast<int>(members_.size()); }
  bool up(int member) const { return of(member).machine && !of(member).paused; }
  fleet::StateMachine* machine(int member) { return of(member).machine.get(); }
  uint64_t bytes(int member) const { return of(member).bytes; }
  uint64_t all_bytes() const;
  uint64_t datagrams() const { return datagrams_; }
  int number(const std::string& name) const;

 private:
  struct Member {
    std::unique_ptr<fleet::StateMachine> machine;
    bool paused = false;
    int life = 0;
    uint64_t bytes = 0;
    Time armed = fleet::kNever;
    std::vector<std::pair<int, std::string>> buffered;  // by whom
  };
  struct Event {
    Time at;
    uint64_t order;
    std::function<void()> then;
    bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };

  Member& of(int member) { return members_.at(static_cast<size_t>(member)); }
  const Member& of(int member) const { return members_.at(static_cast<size_t>(member)); }
  void flush(int member);
  void deliver(int member, int from, const std::string& bytes);

  std::vector<Member> members_;
  uint64_t seed_;
  Make make_;
  Chance chance_;
  Time now_ = 0;
  uint64_t order_ = 0;
  uint64_t datagrams_ = 0;
  std::priority_queue<Event> events_;
};

inline std::string member_name(int number) { return "n" + std::to_string(number); }

inline Time time_of(double seconds) { return static_cast<Time>(seconds * 1e6); }

Time lay_faults(SimNetwork& network, const Plan& plan, std::set<int>& cut, bool& one_way,
                const std::function<void(int, const std::string&)>& start);
// With everything in it that is the same for each protocol.
nlohmann::json sim_result(const Scenario& scenario, const Plan& plan, double length);
nlohmann::json simulate_membership(const Scenario& scenario, uint64_t seed);

// Plays a scenario's faults of relays and network; result.json's form, like play().
nlohmann::json simulate(const Scenario& scenario, uint64_t seed);

}  // namespace umberhoist::lab
