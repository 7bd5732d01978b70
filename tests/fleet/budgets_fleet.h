// Simulates a few holders of one budget and the allocator of their leader, under simulated leases.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>

#include "budget_piggyback.h"

namespace umberhoist::fleet {

constexpr Time kPeriod = 500 * kMs;
constexpr Time kLeaseDuration = 3 * kSecond;
// Until the leader takes a lease for expired: 2 in 500 longer, for the difference of the clock rates.
constexpr Time kLeaseExpiry = kLeaseDuration + 2 * kLeaseDuration / 500;

// Holders and one leader at a time. Messages are delayed by up to half a period, lost and reordered; leases
// last as the agreement has them.
class Fleet {
 public:
  explicit Fleet(int relays, uint64_t seed = 1) : rng_(seed) {
    for (int i = 0; i < relays; ++i) names_.push_back("n" + std::to_string(i));
    for (int i = 0; i < relays; ++i) start(i);
    elect();
    run(2 * kLeaseDuration);  // a new leader grants nothing until earlier leases have expired
  }

  struct Process {
    std::unique_ptr<BudgetHolder> holder;
    bool isolated = false;          // neither sends nor receives
    bool receives_nothing = false;  // sends, but receives nothing
    Time acked_send_time = 0;       // the newest send time of the leader that it received
    double demand = 0;
    double capacity = 100;
  };

  void start(int i) {
    Process p;
    p.holder = std::make_unique<BudgetHolder>(
        BudgetHolder::Settings{0.2, names_.size(), kPeriod, kLeaseDuration, ++incarnations_});
    p.demand = processes.contains(i) ? processes.at(i).demand : 0;
    p.capacity = capacity;
    if (processes.contains(i)) replaced_.push_back(std::move(processes.at(i)));
    processes[i] = std::move(p);
  }
  void elect() {
    ++leader_term_;
    allocator = std::make_unique<BudgetAllocator>(
        BudgetAllocator::Settings{kPeriod, kLeaseDuration, 0.2, names_, injected_fault});
    allocator->begin_term(leader_term_, now + kLeaseExpiry);
    for (auto& [i, p] : processes) p.acked_send_time = 0;
  }
  void set_capacity(double to) {
    capacity = to;
    for (auto& [i, p] : processes) {
      if (!p.isolated) p.capacity = to;
    }
  }
  void set_demand(double each) {
    for (auto& [i, p] : processes) p.demand = each;
  }

  void run(Time duration) {
    for (const Time end = now + duration; now < end; now += kPeriod / 10) {
      for (auto& [i, p] : processes) {
        p.holder->set_capacity("b", p.capacity, true);
        p.holder->record_demand("b", p.demand * 0.05);
        if (now / (kPeriod / 10) % 10 == i % 10) renew(i, p);
      }
      std::vector<std::pair<Time, std::function<void()>>> due;
      std::erase_if(in_flight_, [&](auto& f) {
        if (f.first > now) return false;
        due.push_back(std::move(f));
        return true;
      });
      for (auto& [at, deliver] : due) deliver();
      if (audit) audit();
    }
  }
  double allowed_rate(int i) { return processes.at(i).holder->allowed_rate(now, "b"); }
  double total_rate() {  // of all processes, including replaced ones whose lease has not ended
    double out = 0;
    for (auto& [i, p] : processes) out += p.holder->allowed_rate(now, "b");
    for (auto& p : replaced_) out += p.holder->status(now)["b"].share;
    return out;
  }
  double jain_index() {
    double sum = 0, sum_of_squares = 0;
    for (auto& [i, p] : processes) {
      sum += allowed_rate(i);
      sum_of_squares += allowed_rate(i) * allowed_rate(i);
    }
    return sum * sum / (count() * sum_of_squares);
  }
  double count() const { return static_cast<double>(processes.size()); }

  std::map<int, Process> processes;
  std::unique_ptr<BudgetAllocator> allocator;
  BudgetAllocator::InjectedFault injected_fault = BudgetAllocator::InjectedFault::kNone;
  std::function<void()> audit;
  Time now = 100 * kSecond;
  double capacity = 100;
  double loss = 0;
  size_t report_bytes = 0, table_bytes = 0, renewals = 0;

 private:
  void renew(int i, Process& p) {
    const Time requested = now;
    const std::string report = p.holder->demand_report(now).encode();
    ++renewals;
    report_bytes += report.size();
    if (p.isolated || is_lost()) return;
    const uint64_t incarnation = DemandReport::decode(report).incarnation;
    deliver_later([=, this] {
      const auto table = allocator->answer(
          now, {names_[static_cast<size_t>(i)], now + kLeaseExpiry, processes[i].acked_send_time},
          DemandReport::decode(report));
      const uint64_t leader_term = leader_term_;
      const Time sent = now;
      if (is_lost()) return;
      deliver_later([=, this] {
        Process& to = processes[i];
        if (to.isolated || to.receives_nothing || leader_term != leader_term_ ||
            DemandReport::decode(to.holder->demand_report(now).encode()).incarnation != incarnation)
          return;
        to.acked_send_time = std::max(to.acked_send_time, sent);
        if (!table) return;
        table_bytes += table->encode().size();
        to.holder->apply_table(now, leader_term, ShareTable::decode(table->encode()),
                               requested + kLeaseDuration);
      });
    });
  }
  void deliver_later(std::function<void()> deliver) {
    in_flight_.emplace_back(now + static_cast<Time>(rng_() % (kPeriod / 2)), std::move(deliver));
  }
  bool is_lost() { return std::uniform_real_distribution<double>(0, 1)(rng_) < loss; }

  std::vector<std::string> names_;
  std::vector<Process> replaced_;
  std::vector<std::pair<Time, std::function<void()>>> in_flight_;
  uint64_t leader_term_ = 0, incarnations_ = 0;
  pcg32 rng_;
};

}  // namespace umberhoist::fleet
