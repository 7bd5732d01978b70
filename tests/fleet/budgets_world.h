// The world that the model checker of the division looks at: two relays and one leader at a time, messages on
// the way, clocks whose rates differ as far as leases allow.
#pragma once

#include <array>
#include <deque>

#include "budgets_fleet.h"

namespace umberhoist::fleet {

constexpr double kWhole = 30, kLower = 12;
// One relay's clock is slow, so that its leases last; the leader's is fast.
constexpr std::array<double, 2> kRates = {1 - 0.9 / 500, 1 + 0.9 / 500};
constexpr double kLeaderRate = 1 + 0.9 / 500;

struct Step {
  enum Kind { kRenew, kAnswer, kTake, kExchange, kLose, kRepeat, kTime, kLong, kAgain, kElect, kLower } kind;
  int who = 0;
  std::string text() const {
    constexpr std::array<const char*, 11> kTexts = {"renews",
                                                    "is answered",
                                                    "takes an answer",
                                                    "renews and takes its answer",
                                                    "'s answer is lost",
                                                    "'s answer comes twice",
                                                    "half a period passes",
                                                    "half a term passes",
                                                    "begins anew",
                                                    "another leader is elected",
                                                    "the whole falls"};
    return (kind >= kTime && kind != kAgain ? "" : "n" + std::to_string(who) + " ") +
           std::string(kTexts[static_cast<size_t>(kind)]);
  }
};

class World {
 public:
  explicit World(Divider::Plant plant) : divider_({kPeriod, kTerm, 0.2, {"n0", "n1"}, plant}), plant_(plant) {
    for (int i = 0; i < 2; ++i) relays_[at(i)].push_back(holder());
    elect();
  }

  void take(const Step& s) {
    switch (s.kind) {
      case Step::kRenew:
        return renew(s.who);
      case Step::kAnswer:
        return answer(s.who);
      case Step::kTake:
        return deliver(s.who, true);
      case Step::kExchange:
        renew(s.who);
        answer(s.who);
        return deliver(s.who, true);
      case Step::kLose:
        return (void)ways_[at(s.who)].answers.pop_front();
      case Step::kRepeat:
        --repeats;
        return deliver(s.who, false);
      case Step::kTime:
        now_ += kPeriod / 2;
        return;
      case Step::kLong:
        now_ += kTerm / 2;
        return;
      case Step::kAgain:
        --restarts;
        relays_[at(s.who)].push_back(holder());
        return;
      case Step::kElect:
        --elections;
        return elect();
      case Step::kLower:
        --lowerings;
        whole_ = kLower;
        fell_ = now_;
        for (auto& lives : relays_) lives.back().whole("b", whole_, true);
    }
  }

  std::vector<Step> steps() const {
    std::vector<Step> out;
    for (int i = 0; i < 2; ++i) {
      const Way& way = ways_[at(i)];
      out.push_back({Step::kExchange, i});
      if (way.renewals.size() < 2) out.push_back({Step::kRenew, i});
      if (!way.renewals.empty()) out.push_back({Step::kAnswer, i});
      if (!way.answers.empty()) {
        out.push_back({Step::kTake, i});
        out.push_back({Step::kLose, i});
        if (repeats > 0) out.push_back({Step::kRepeat, i});
      }
      if (restarts > 0) out.push_back({Step::kAgain, i});
    }
    if (elections > 0) out.push_back({Step::kElect});
    if (lowerings > 0) out.push_back({Step::kLower});
    out.push_back({Step::kTime});
    out.push_back({Step::kLong});
    return out;
  }

  // What all processes may spend, a name's floor once.
  double sum() const {
    double out = 0;
    for (size_t i = 0; i < 2; ++i) {
      for (const BudgetHolder& h : relays_[i]) {
        const auto has = h.standing(local(static_cast<int>(i)));
        if (!has.contains("b")) continue;
        out += has.at("b").part + (&h == &relays_[i].back() ? has.at("b").floor : 0);
      }
    }
    return out;
  }
  // A lowered whole holds a term after a leader can have heard of it: after the first renewal since.
  bool broken() const {
    const bool fallen = fell_ >= 0 && heard_lower_ >= 0 && now_ > heard_lower_ + kOver + kTerm / 100;
    return sum() > (fallen ? kLower : kWhole) * (1 + 1e-6);
  }
  uint64_t fingerprint() const {
    uint64_t out = static_cast<uint64_t>(restarts * 1000 + elections * 100 + repeats * 10 + lowerings);
    const auto mix = [&](uint64_t v) { out = (out ^ v) * 1099511628211u; };
    mix(divider_.fingerprint(leader_now()));
    for (size_t i = 0; i < 2; ++i) {
      for (const BudgetHolder& h : relays_[i]) mix(h.fingerprint(local(static_cast<int>(i))));
      for (const Renewal& r : ways_[i].renewals) {
        mix(budget_hash(r.told));
        mix(static_cast<uint64_t>((now_ - r.at) / kMs));
      }
      for (const Answer& a : ways_[i].answers) {
        mix(budget_hash(a.parts.packed()));
        mix(static_cast<uint64_t>((now_ - a.asked_at) / kMs) + 1);
        mix(a.reign);
      }
    }
    mix(static_cast<uint64_t>(fell_ < 0 ? 1 : (now_ - std::max(fell_, heard_lower_)) / kMs));
    return out;
  }

  int restarts = 0, elections = 0, repeats = 0, lowerings = 0;

 private:
  struct Renewal {
    std::string told;
    Time asked = 0, at = 0;
    size_t life = 0;
  };
  struct Answer {
    Parts parts;
    uint64_t reign = 0;
    Time asked = 0, asked_at = 0, said = 0;
    size_t life = 0;
  };
  struct Way {
    std::deque<Renewal> renewals;
    std::deque<Answer> answers;
    Time heard = 0;
  };

  static size_t at(int i) { return static_cast<size_t>(i); }
  Time local(int i) const { return static_cast<Time>(static_cast<double>(now_) * kRates[at(i)]); }
  Time leader_now() const { return static_cast<Time>(static_cast<double>(now_) * kLeaderRate); }

  BudgetHolder holder() { return BudgetHolder({0.2, 2, kPeriod, kTerm, ++lives_}); }
  void elect() {
    divider_ = Divider({kPeriod, kTerm, 0.2, {"n0", "n1"}, plant_});
    divider_.begin(++reign_, leader_now() + kOver);
    for (Way& way : ways_) way.heard = 0;
  }
  void renew(int i) {
    BudgetHolder& h = relays_[at(i)].back();
    h.whole("b", whole_, true);
    h.asked("b", 1e6);
    ways_[at(i)].renewals.push_back({h.tell(local(i)).packed(), local(i), now_, relays_[at(i)].size()});
  }
  void answer(int i) {
    Way& way = ways_[at(i)];
    const Renewal r = way.renewals.front();
    way.renewals.pop_front();
    const Demands told = Demands::of(r.told);
    if (whole_ == kLower && heard_lower_ < 0 && r.at >= fell_) heard_lower_ = now_;
    const auto parts =
        divider_.answer(leader_now(), {"n" + std::to_string(i), leader_now() + kOver, way.heard}, told);
    if (parts) way.answers.push_back({*parts, reign_, r.asked, r.at, leader_now(), r.life});
  }
  void deliver(int i, bool gone) {
    Way& way = ways_[at(i)];
    if (way.answers.empty()) return;  // it was held off
    const Answer a = way.answers.front();
    if (gone) way.answers.pop_front();
    if (a.life != relays_[at(i)].size()) return;  // of a process that is no more
    if (a.reign == reign_) way.heard = std::max(way.heard, a.said);
    relays_[at(i)].back().took(local(i), a.reign, a.parts, a.asked + kTerm);
  }

  Divider divider_;
  Divider::Plant plant_;
  std::array<std::vector<BudgetHolder>, 2> relays_;
  std::array<Way, 2> ways_;
  Time now_ = 100 * kSecond;
  double whole_ = kWhole;
  Time fell_ = -1, heard_lower_ = -1;
  uint64_t reign_ = 0, lives_ = 0;
};

}  // namespace umberhoist::fleet
