// The state space of the budget allocator's model checker: two relays and one leader at a time, messages in
// flight, and clocks whose rates differ as far as leases allow.
#pragma once

#include <array>
#include <deque>

#include "budgets_fleet.h"

namespace umberhoist::fleet {

constexpr double kCapacity = 30, kLoweredCapacity = 12;
// A relay's slow clock keeps its lease longest, the leader's fast clock expires it earliest.
constexpr std::array<double, 2> kRates = {1 - 0.9 / 500, 1 + 0.9 / 500};
constexpr double kLeaderRate = 1 + 0.9 / 500;

struct Step {
  enum Kind {
    kRenew,
    kAnswer,
    kDeliver,
    kExchange,
    kLose,
    kDuplicate,
    kHalfPeriod,
    kHalfLease,
    kRestart,
    kElect,
    kLowerCapacity
  } kind;
  int relay = 0;
  std::string text() const {
    constexpr std::array<const char*, 11> kTexts = {"renews",
                                                    "is answered",
                                                    "takes an answer",
                                                    "renews and takes its answer",
                                                    "'s answer is lost",
                                                    "'s answer comes twice",
                                                    "half a period passes",
                                                    "half a lease passes",
                                                    "restarts",
                                                    "another leader is elected",
                                                    "the capacity is lowered"};
    return (kind >= kHalfPeriod && kind != kRestart ? "" : "n" + std::to_string(relay) + " ") +
           std::string(kTexts[static_cast<size_t>(kind)]);
  }
};

class World {
 public:
  explicit World(BudgetAllocator::InjectedFault injected_fault)
      : allocator_({kPeriod, kLeaseDuration, 0.2, {"n0", "n1"}, injected_fault}),
        injected_fault_(injected_fault) {
    for (int i = 0; i < 2; ++i) relays_[at(i)].push_back(new_holder());
    elect();
  }

  void apply(const Step& s) {
    switch (s.kind) {
      case Step::kRenew:
        return renew(s.relay);
      case Step::kAnswer:
        return answer(s.relay);
      case Step::kDeliver:
        return deliver(s.relay, true);
      case Step::kExchange:
        renew(s.relay);
        answer(s.relay);
        return deliver(s.relay, true);
      case Step::kLose:
        return (void)channels_[at(s.relay)].answers.pop_front();
      case Step::kDuplicate:
        --duplicates;
        return deliver(s.relay, false);
      case Step::kHalfPeriod:
        now_ += kPeriod / 2;
        return;
      case Step::kHalfLease:
        now_ += kLeaseDuration / 2;
        return;
      case Step::kRestart:
        --restarts;
        relays_[at(s.relay)].push_back(new_holder());
        return;
      case Step::kElect:
        --elections;
        return elect();
      case Step::kLowerCapacity:
        --lowerings;
        capacity_ = kLoweredCapacity;
        lowered_at_ = now_;
        for (auto& incarnations : relays_) incarnations.back().set_capacity("b", capacity_, true);
    }
  }

  std::vector<Step> enabled_steps() const {
    std::vector<Step> out;
    for (int i = 0; i < 2; ++i) {
      const Channel& channel = channels_[at(i)];
      out.push_back({Step::kExchange, i});
      if (channel.renewals.size() < 2) out.push_back({Step::kRenew, i});
      if (!channel.renewals.empty()) out.push_back({Step::kAnswer, i});
      if (!channel.answers.empty()) {
        out.push_back({Step::kDeliver, i});
        out.push_back({Step::kLose, i});
        if (duplicates > 0) out.push_back({Step::kDuplicate, i});
      }
      if (restarts > 0) out.push_back({Step::kRestart, i});
    }
    if (elections > 0) out.push_back({Step::kElect});
    if (lowerings > 0) out.push_back({Step::kLowerCapacity});
    out.push_back({Step::kHalfPeriod});
    out.push_back({Step::kHalfLease});
    return out;
  }

  // The rate of all processes together; the floor of a relay counts once.
  double total_rate() const {
    double out = 0;
    for (size_t i = 0; i < 2; ++i) {
      for (const BudgetHolder& h : relays_[i]) {
        const auto status = h.status(local(static_cast<int>(i)));
        if (!status.contains("b")) continue;
        out += status.at("b").share + (&h == &relays_[i].back() ? status.at("b").floor : 0);
      }
    }
    return out;
  }
  // A lowered capacity must hold one lease after a leader received it, with the first renewal since.
  bool broken() const {
    const bool lowered = lowered_at_ >= 0 && lowering_received_at_ >= 0 &&
                         now_ > lowering_received_at_ + kLeaseExpiry + kLeaseDuration / 100;
    return total_rate() > (lowered ? kLoweredCapacity : kCapacity) * (1 + 1e-6);
  }
  uint64_t fingerprint() const {
    uint64_t out = static_cast<uint64_t>(restarts * 1000 + elections * 100 + duplicates * 10 + lowerings);
    const auto mix = [&](uint64_t v) { out = (out ^ v) * 1099511628211u; };
    mix(allocator_.fingerprint(leader_now()));
    for (size_t i = 0; i < 2; ++i) {
      for (const BudgetHolder& h : relays_[i]) mix(h.fingerprint(local(static_cast<int>(i))));
      for (const Renewal& r : channels_[i].renewals) {
        mix(budget_hash(r.report));
        mix(static_cast<uint64_t>((now_ - r.requested_at) / kMs));
      }
      for (const Answer& a : channels_[i].answers) {
        mix(budget_hash(a.table.encode()));
        mix(static_cast<uint64_t>((now_ - a.requested_at) / kMs) + 1);
        mix(a.leader_term);
      }
    }
    mix(static_cast<uint64_t>(lowered_at_ < 0 ? 1
                                              : (now_ - std::max(lowered_at_, lowering_received_at_)) / kMs));
    return out;
  }

  int restarts = 0, elections = 0, duplicates = 0, lowerings = 0;

 private:
  struct Renewal {
    std::string report;
    Time requested_at_local = 0, requested_at = 0;
    size_t incarnation = 0;
  };
  struct Answer {
    ShareTable table;
    uint64_t leader_term = 0;
    Time requested_at_local = 0, requested_at = 0, sent_at = 0;
    size_t incarnation = 0;
  };
  struct Channel {
    std::deque<Renewal> renewals;
    std::deque<Answer> answers;
    Time acked_send_time = 0;
  };

  static size_t at(int i) { return static_cast<size_t>(i); }
  Time local(int i) const { return static_cast<Time>(static_cast<double>(now_) * kRates[at(i)]); }
  Time leader_now() const { return static_cast<Time>(static_cast<double>(now_) * kLeaderRate); }

  BudgetHolder new_holder() { return BudgetHolder({0.2, 2, kPeriod, kLeaseDuration, ++incarnations_}); }
  void elect() {
    allocator_ = BudgetAllocator({kPeriod, kLeaseDuration, 0.2, {"n0", "n1"}, injected_fault_});
    allocator_.begin_term(++leader_term_, leader_now() + kLeaseExpiry);
    for (Channel& channel : channels_) channel.acked_send_time = 0;
  }
  void renew(int i) {
    BudgetHolder& h = relays_[at(i)].back();
    h.set_capacity("b", capacity_, true);
    h.record_demand("b", 1e6);
    channels_[at(i)].renewals.push_back(
        {h.demand_report(local(i)).encode(), local(i), now_, relays_[at(i)].size()});
  }
  void answer(int i) {
    Channel& channel = channels_[at(i)];
    const Renewal r = channel.renewals.front();
    channel.renewals.pop_front();
    const DemandReport report = DemandReport::decode(r.report);
    if (capacity_ == kLoweredCapacity && lowering_received_at_ < 0 && r.requested_at >= lowered_at_)
      lowering_received_at_ = now_;
    const auto table = allocator_.answer(
        leader_now(), {"n" + std::to_string(i), leader_now() + kLeaseExpiry, channel.acked_send_time},
        report);
    if (table)
      channel.answers.push_back(
          {*table, leader_term_, r.requested_at_local, r.requested_at, leader_now(), r.incarnation});
  }
  void deliver(int i, bool remove) {
    Channel& channel = channels_[at(i)];
    if (channel.answers.empty()) return;  // the leader withheld it
    const Answer a = channel.answers.front();
    if (remove) channel.answers.pop_front();
    if (a.incarnation != relays_[at(i)].size()) return;  // of a process that was replaced
    if (a.leader_term == leader_term_) channel.acked_send_time = std::max(channel.acked_send_time, a.sent_at);
    relays_[at(i)].back().apply_table(local(i), a.leader_term, a.table,
                                      a.requested_at_local + kLeaseDuration);
  }

  BudgetAllocator allocator_;
  BudgetAllocator::InjectedFault injected_fault_;
  std::array<std::vector<BudgetHolder>, 2> relays_;
  std::array<Channel, 2> channels_;
  Time now_ = 100 * kSecond;
  double capacity_ = kCapacity;
  Time lowered_at_ = -1, lowering_received_at_ = -1;
  uint64_t leader_term_ = 0, incarnations_ = 0;
};

}  // namespace umberhoist::fleet
