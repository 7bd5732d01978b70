// Which generations of the fleet's policy may have been in force at a relay as it took a message on: by what
// clients saw (policies.h), so it is a set, and never one too few as long as one_policy holds.
#pragma once

#include <map>
#include <vector>

namespace umberhoist::lab {

class Versions {
 public:
  // `mix`: two generations are in force at once for so many seconds at most.
  explicit Versions(double mix) : mix_(mix) { proposed_[0] = -1e9; }

  void proposed(double now, int generation) { proposed_.try_emplace(generation, now); }
  // A relay took on at `now`, asked at `asked`, what only that generation knows.
  void acted(double now, double asked, int relay, int generation);
  // The fleet says that it never took hold.
  void never(int generation) { proposed_.erase(generation); }

  // At `relay`, of a message that was sent at `asked` and taken on until `taken`.
  std::vector<int> possible(int relay, double asked, double taken) const;

 private:
  struct Seen {
    double first = 0;                  // by any relay, its answer
    std::map<int, double> at;          // relay: its first answer under it
    std::map<int, double> last_asked;  // relay: its last request under it
  };
  bool before(int a, int b) const;  // a was in force before b, as far as seen

  double mix_;
  std::map<int, double> proposed_;
  std::map<int, Seen> seen_;
};

}  // namespace umberhoist::lab
