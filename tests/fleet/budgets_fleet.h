// A few holders of a budget and a leader's division of it, under leases that are simulated here.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>

#include "budget_rider.h"

namespace umberhoist::fleet {

constexpr Time kPeriod = 500 * kMs;
constexpr Time kTerm = 3 * kSecond;
constexpr Time kOver = kTerm + 2 * kTerm / 500;

// Holders and one leader at a time. Messages are delayed up to half a period, lost, and overtaken; leases are
// counted as the agreement counts them.
class Fleet {
 public:
  explicit Fleet(int relays, uint64_t seed = 1) : chance_(seed) {
    for (int i = 0; i < relays; ++i) names_.push_back("n" + std::to_string(i));
    for (int i = 0; i < relays; ++i) start(i);
    elect();
    run(2 * kTerm);  // a new leader waits
  }

  struct Process {
    std::unique_ptr<BudgetHolder> holder;
    bool cut = false;   // hears and is heard by nobody
    bool deaf = false;  // hears nobody
    Time heard = 0;     // of the leader's time
    double demand = 0;
    double whole = 100;
  };

  void start(int i) {
    Process p;
    p.holder =
        std::make_unique<BudgetHolder>(BudgetHolder::Settings{0.2, names_.size(), kPeriod, kTerm, ++lives_});
    p.demand = processes.contains(i) ? processes.at(i).demand : 0;
    p.whole = whole;
    if (processes.contains(i)) dead_.push_back(std::move(processes.at(i)));
    processes[i] = std::move(p);
  }
  void elect() {
    ++reign_;
    divider = std::make_unique<Divider>(Divider::Settings{kPeriod, kTerm, 0.2, names_, plant});
    divider->begin(reign_, now + kOver);
    for (auto& [i, p] : processes) p.heard = 0;
  }
  void set_whole(double to) {
    whole = to;
    for (auto& [i, p] : processes) {
      if (!p.cut) p.whole = to;
    }
  }
  void demand(double each) {
    for (auto& [i, p] : processes) p.demand = each;
  }

  void run(Time more) {
    for (const Time end = now + more; now < end; now += kPeriod / 10) {
      for (auto& [i, p] : processes) {
        p.holder->whole("b", p.whole, true);
        p.holder->asked("b", p.demand * 0.05);
        if (now / (kPeriod / 10) % 10 == i % 10) renew(i, p);
      }
      std::vector<std::pair<Time, std::function<void()>>> due;
      std::erase_if(flying_, [&](auto& f) {
        if (f.first > now) return false;
        due.push_back(std::move(f));
        return true;
      });
      for (auto& [at, then] : due) then();
      if (audit) audit();
    }
  }
  double may(int i) { return processes.at(i).holder->may(now, "b"); }
  double sum() {  // that any process may spend now, dead ones that have not lapsed too
    double out = 0;
    for (auto& [i, p] : processes) out += p.holder->may(now, "b");
    for (auto& p : dead_) out += p.holder->standing(now)["b"].part;
    return out;
  }
  double jain() {
    double one = 0, two = 0;
    for (auto& [i, p] : processes) {
      one += may(i);
      two += may(i) * may(i);
    }
    return one * one / (count() * two);
  }
  double count() const { return static_cast<double>(processes.size()); }

  std::map<int, Process> processes;
  std::unique_ptr<Divider> divider;
  Divider::Plant plant = Divider::Plant::kNothing;
  std::function<void()> audit;
  Time now = 100 * kSecond;
  double whole = 100;
  double loss = 0;
  size_t told_bytes = 0, given_bytes = 0, renewals = 0;

 private:
  void renew(int i, Process& p) {
    const Time asked = now;
    const std::string told = p.holder->tell(now).packed();
    ++renewals;
    told_bytes += told.size();
    if (p.cut || lost()) return;
    const uint64_t life = Demands::of(told).life;
    later([=, this] {
      const auto parts = divider->answer(
          now, {names_[static_cast<size_t>(i)], now + kOver, processes[i].heard}, Demands::of(told));
      const uint64_t reign = reign_;
      const Time said = now;
      if (lost()) return;
      later([=, this] {
        Process& to = processes[i];
        if (to.cut || to.deaf || reign != reign_ || Demands::of(to.holder->tell(now).packed()).life != life)
          return;
        to.heard = std::max(to.heard, said);
        if (!parts) return;
        given_bytes += parts->packed().size();
        to.holder->took(now, reign, Parts::of(parts->packed()), asked + kTerm);
      });
    });
  }
  void later(std::function<void()> then) {
    flying_.emplace_back(now + static_cast<Time>(chance_() % (kPeriod / 2)), std::move(then));
  }
  bool lost() { return std::uniform_real_distribution<double>(0, 1)(chance_) < loss; }

  std::vector<std::string> names_;
  std::vector<Process> dead_;
  std::vector<std::pair<Time, std::function<void()>>> flying_;
  uint64_t reign_ = 0, lives_ = 0;
  pcg32 chance_;
};

}  // namespace umberhoist::fleet
