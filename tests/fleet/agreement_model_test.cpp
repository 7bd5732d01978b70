// Model checker of the policy agreement on its real implementation, including C-Raft: three relays, two
// changes, channels that deliver in any order relative to each other, drop or duplicate messages, processes
// that crash between any two outputs and restart with the same or an older build, clocks of different rates.
//
// C-Raft's state cannot be copied, so a state is reached again by replaying the steps that led to it (as in
// CHESS, Musuvathi et al., 2008); states are compared by a hash of everything that determines what follows.
// The search is breadth-first, so the first trace found is a shortest one. Invariants: P1, P2, P4 and P6 of
// PolicyAudit.
#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <unordered_set>

#include "agreement_guest.h"

namespace umberhoist::lab {
namespace {

using fleet::Agreement;
using fleet::kMs;

constexpr int kRelays = 3;
constexpr Time kPeriod = 100 * kMs;
constexpr Time kLeaseDuration = 2400 * kMs;
constexpr Time kStep = kPeriod / 2;

struct Step {
  enum Kind {
    kDeliver,
    kExchange,
    kDrop,
    kDuplicate,
    kAdvanceTime,
    kIsolate,
    kCrash,
    kCrashAtOutput,
    kStart,
    kStartOldBuild,
    kPropose
  } kind;
  int a = 0;
  int b = 0;
  std::string text() const {
    const std::string x = member_name(a), y = member_name(b);
    switch (kind) {
      case kDeliver:
        return "all messages from " + x + " reach " + y;
      case kExchange:
        return x + " and " + y + " exchange all their messages";
      case kDrop:
        return "all messages from " + x + " to " + y + " are lost";
      case kDuplicate:
        return "the oldest message from " + x + " to " + y + " arrives twice";
      case kIsolate:
        return x + " is isolated for one and a half lease durations";
      case kAdvanceTime:
        return "half a period passes";
      case kCrash:
        return x + " is killed";
      case kCrashAtOutput:
        return x + " will crash at its output " + std::to_string(b + 1);
      case kStart:
        return x + " starts";
      case kStartOldBuild:
        return x + " starts with an older build";
      default:
        return "a change " + std::string(b == 0 ? "that the older build does not support " : "") +
               "is proposed at " + x;
    }
  }
};

struct FaultBudget {  // how many faults and proposals a trace may contain
  int crashes = 1;
  int drops = 2;
  int duplicates = 1;
  int proposals = 2;
  bool coarse = false;  // whole exchanges between two relays, and no crashes between outputs
};

class World {
 public:
  World(int voters, Agreement::InjectedFault injected_fault, int build = 2)
      : voters_(voters), injected_fault_(injected_fault), audit_(kLeaseDuration) {
    for (int i = 0; i < kRelays; ++i) {
      folders_[at(i)].build = i == 2 ? build : 2;
      start(i);
    }
  }

  // Runs until all relays accept messages under version 1 and there is a leader.
  void settle() {
    for (int n = 0; n < 200 && !is_settled(); ++n) round();
    EXPECT_TRUE(is_settled());
  }
  void round() {
    for (int pass = 0; pass < 4; ++pass) {
      for (int i = 0; i < kRelays; ++i) {
        for (int j = 0; j < kRelays; ++j) deliver(i, j);
      }
    }
    advance_time();
  }
  int leader() const {
    for (int i = 0; i < kRelays; ++i) {
      if (guests_[at(i)] && guests_[at(i)]->agreement().is_leader()) return i;
    }
    return -1;
  }

  void execute(const Step& s) {
    switch (s.kind) {
      case Step::kDeliver:
        return deliver(s.a, s.b);
      case Step::kExchange:
        for (int n = 0; n < 6; ++n) {
          deliver(s.a, s.b);
          deliver(s.b, s.a);
        }
        return;
      case Step::kDrop:
        --budget.drops;
        return channels_[at(s.a)][at(s.b)].clear();
      case Step::kDuplicate: {
        --budget.duplicates;
        auto& channel = channels_[at(s.a)][at(s.b)];
        channel.push_front(channel.front());
        return deliver(s.a, s.b);
      }
      case Step::kIsolate:
        --budget.drops;
        for (Time t = 0; t < 3 * kLeaseDuration / 2; t += kStep) {
          for (int k = 0; k < kRelays; ++k) {
            channels_[at(s.a)][at(k)].clear();
            channels_[at(k)][at(s.a)].clear();
          }
          round();
        }
        return;
      case Step::kAdvanceTime:
        return advance_time();
      case Step::kCrash:
        --budget.crashes;
        return crash(s.a);
      case Step::kCrashAtOutput:
        --budget.crashes;
        guests_[at(s.a)]->dies_after = s.b;
        return;
      case Step::kStart:
        return start(s.a);
      case Step::kStartOldBuild:
        folders_[at(s.a)].build = 1;
        return start(s.a);
      case Step::kPropose: {
        --budget.proposals;
        AgreementGuest& g = *guests_[at(s.a)];
        const std::string id = s.b == 0 ? "newer" : "other";
        g.agreement().propose(g.local(now_), id, (s.b == 0 ? "need=2 " : "need=1 ") + id, 0);
        g.carry_out(now_);
        run_timers(s.a);
      }
    }
  }

  std::vector<Step> enabled_steps() const {
    std::vector<Step> out;
    for (int i = 0; i < kRelays; ++i) {
      for (int j = 0; j < kRelays; ++j) {
        if (channels_[at(i)][at(j)].empty() && (!budget.coarse || channels_[at(j)][at(i)].empty())) continue;
        if (budget.coarse) {
          if (i < j) out.push_back({Step::kExchange, i, j});
          if (budget.drops > 0 && !channels_[at(i)][at(j)].empty()) out.push_back({Step::kDrop, i, j});
          continue;
        }
        out.push_back({Step::kDeliver, i, j});
        if (budget.drops > 0) out.push_back({Step::kDrop, i, j});
        if (budget.duplicates > 0) out.push_back({Step::kDuplicate, i, j});
      }
      if (!guests_[at(i)]) {
        out.push_back({Step::kStart, i});
        if (folders_[at(i)].build == 2) out.push_back({Step::kStartOldBuild, i});
        continue;
      }
      if (budget.crashes > 0) {
        out.push_back({Step::kCrash, i});
        for (int k = 0; k < 3 && !budget.coarse; ++k) out.push_back({Step::kCrashAtOutput, i, k});
      }
      if (budget.proposals > 0) out.push_back({Step::kPropose, i, budget.proposals % 2});
    }
    for (int i = 0; i < kRelays && budget.coarse && budget.drops > 0; ++i) out.push_back({Step::kIsolate, i});
    out.push_back({Step::kAdvanceTime});
    return out;
  }

  uint64_t fingerprint() const {
    uint64_t out = static_cast<uint64_t>(budget.crashes * 1000 + budget.drops * 100 + budget.duplicates * 10 +
                                         budget.proposals);
    const auto mix = [&](uint64_t v) { out = (out ^ v) * 1099511628211u; };
    for (int i = 0; i < kRelays; ++i) {
      const auto& g = guests_[at(i)];
      mix(static_cast<uint64_t>(folders_[at(i)].build));
      mix(g ? g->agreement().fingerprint(g->local(now_)) : std::hash<std::string>()(folders_[at(i)].file));
      mix(g ? static_cast<uint64_t>(g->dies_after + 1) : 0);
      mix(audit_.open(i, now_));
      for (const auto& channel : channels_[at(i)]) {
        mix(channel.size());
        for (const std::string& bytes : channel) mix(std::hash<std::string>()(bytes));
      }
    }
    return out;
  }

  const std::string& broken() const { return audit_.broken(); }
  uint64_t newest() const { return audit_.newest(); }

  FaultBudget budget;

 private:
  static size_t at(int i) { return static_cast<size_t>(i); }

  bool is_settled() const {
    for (int i = 0; i < kRelays; ++i) {
      if (audit_.version(i) == 0 || !audit_.open(i, now_)) return false;
    }
    return leader() >= 0;
  }

  void start(int i) {
    auto s = agreement_settings(i, kRelays, voters_, kPeriod, kLeaseDuration, folders_[at(i)].build);
    s.injected_fault = injected_fault_;
    // One clock is faster than n0's by the whole drift bound, another slower by 0.9 of it.
    const double rate = i == 0   ? 1
                        : i == 1 ? 1 + 1.0 / fleet::kInverseDriftBound
                                 : 1 - 0.9 / fleet::kInverseDriftBound;
    ++incarnations_;
    guests_[at(i)] = std::make_unique<AgreementGuest>(i, std::move(s), folders_[at(i)], audit_,
                                                      AgreementGuest::Clock{fleet::kSecond * (i + 1), rate},
                                                      static_cast<uint64_t>(incarnations_));
    guests_[at(i)]->start(now_);
    collect(i);
  }

  void crash(int i) { guests_[at(i)].reset(); }

  void collect(int i) {
    AgreementGuest& g = *guests_[at(i)];
    for (auto& d : g.take_datagrams()) channels_[at(i)][at(d.to.back() - '0')].push_back(std::move(d.bytes));
    if (g.dead()) crash(i);
  }

  void run_timers(int i) {
    // A timer that is due now may be due up to two microseconds later, as clocks of other rates round.
    for (int n = 0; n < 4 && guests_[at(i)] && guests_[at(i)]->next_wakeup() <= now_ + 2; ++n) {
      now_ = std::max(now_, guests_[at(i)]->next_wakeup());
      guests_[at(i)]->on_timer(now_);
      collect(i);
    }
  }

  void deliver(int from, int to) {
    for (const std::string& bytes : std::exchange(channels_[at(from)][at(to)], {})) {
      if (!guests_[at(to)]) return;
      guests_[at(to)]->on_datagram(now_, member_name(from), bytes);
      collect(to);
      run_timers(to);
    }
  }

  void advance_time() {
    const Time until = now_ + kStep;
    for (;;) {
      int first = -1;
      for (int i = 0; i < kRelays; ++i) {
        if (guests_[at(i)] && guests_[at(i)]->next_wakeup() <= until &&
            (first < 0 || guests_[at(i)]->next_wakeup() < guests_[at(first)]->next_wakeup())) {
          first = i;
        }
      }
      if (first < 0) break;
      now_ = std::max(now_, guests_[at(first)]->next_wakeup());
      guests_[at(first)]->on_timer(now_);
      collect(first);
    }
    now_ = until;
  }

  int voters_;
  Agreement::InjectedFault injected_fault_;
  PolicyAudit audit_;
  Time now_ = 0;
  int incarnations_ = 0;
  std::array<AgreementGuest::Folder, kRelays> folders_;
  std::array<std::unique_ptr<AgreementGuest>, kRelays> guests_;
  std::array<std::array<std::deque<std::string>, kRelays>, kRelays> channels_;
};

struct CheckResult {
  size_t states = 0;
  size_t depth = 0;
  uint64_t newest = 0;             // highest version in force in any state
  std::vector<std::string> trace;  // to the first state that violates an invariant
  std::string broken;
};

// Explores the states that are reachable from the one that make_world() returns.
CheckResult explore(size_t max_states, const std::function<std::unique_ptr<World>()>& make_world) {
  CheckResult out;
  std::deque<std::vector<Step>> frontier = {{}};
  std::unordered_set<uint64_t> seen;
  const auto replay = [&](const std::vector<Step>& path) {
    auto world = make_world();
    for (const Step& s : path) world->execute(s);
    return world;
  };
  while (!frontier.empty() && out.states < max_states) {
    const std::vector<Step> path = std::move(frontier.front());
    frontier.pop_front();
    const std::vector<Step> steps = replay(path)->enabled_steps();
    for (const Step& step : steps) {
      std::vector<Step> next = path;
      next.push_back(step);
      const auto world = replay(next);
      if (!seen.insert(world->fingerprint()).second) continue;
      ++out.states;
      out.depth = next.size();
      out.newest = std::max(out.newest, world->newest());
      if (!world->broken().empty()) {
        for (const Step& s : next) out.trace.push_back(s.text());
        out.broken = world->broken();
        return out;
      }
      frontier.push_back(std::move(next));
    }
  }
  return out;
}

std::unique_ptr<World> settled_world(int voters, Agreement::InjectedFault injected_fault, FaultBudget budget,
                                     int build = 2) {
  auto world = std::make_unique<World>(voters, injected_fault, build);
  world->settle();
  world->budget = budget;
  return world;
}

// A change that an older build does not support is in the voters' log; relay 2, not a voter, does not know
// it.
std::unique_ptr<World> world_with_change(Agreement::InjectedFault injected_fault, FaultBudget budget,
                                         int build = 2) {
  auto world = settled_world(2, injected_fault, budget, build);
  world->execute({Step::kPropose, world->leader(), 0});
  world->execute({Step::kExchange, 0, 1});
  world->budget = budget;
  return world;
}

// As above, and relay 2 has sent its acceptance to the leader.
std::unique_ptr<World> world_with_acceptance(Agreement::InjectedFault injected_fault, FaultBudget budget) {
  auto world = world_with_change(injected_fault, budget);
  for (int n = 0; n < 2; ++n) {
    world->execute({Step::kAdvanceTime});
    world->execute({Step::kExchange, std::min(world->leader(), 2), 2});
  }
  return world;
}

size_t state_limit(size_t default_limit) {
  const char* variable = std::getenv("MODEL_STATES");
  return variable == nullptr ? default_limit : std::strtoul(variable, nullptr, 10);
}

void expect_no_violation(const std::string& what, const CheckResult& c) {
  std::string trace;
  for (const std::string& step : c.trace) trace += step + "\n";
  EXPECT_EQ(trace + c.broken, "") << what;
  std::printf("%s: %zu states, depth %zu, version %llu\n", what.c_str(), c.states, c.depth,
              static_cast<unsigned long long>(c.newest));
}

void expect_violation(const CheckResult& c) {
  ASSERT_FALSE(c.trace.empty()) << c.states << " states, depth " << c.depth;
  std::printf("found after %zu states: %s\n", c.states, c.broken.c_str());
  for (const std::string& step : c.trace) std::printf("  %s\n", step.c_str());
}

TEST(AgreementModel, NoReachedStateBreaksAnInvariant) {
  const auto none = Agreement::InjectedFault::kNone;
  const size_t max_states = state_limit(400);
  for (const bool coarse : {false, true}) {
    const FaultBudget budget{1, 2, 1, 2, coarse};
    const std::string how = coarse ? ", whole exchanges" : ", every message";
    for (const int voters : {3, 2}) {
      expect_no_violation(std::to_string(voters) + " voters of 3, settled" + how,
                          explore(max_states, [&] { return settled_world(voters, none, budget); }));
    }
    expect_no_violation("a change under way" + how,
                        explore(max_states, [&] { return world_with_change(none, budget); }));
    expect_no_violation("a change that one relay has accepted" + how,
                        explore(max_states, [&] { return world_with_acceptance(none, budget); }));
    expect_no_violation("a change under way that one relay does not support" + how,
                        explore(max_states, [&] { return world_with_change(none, budget, 1); }));
  }
}

TEST(AgreementModel, DetectsADecisionThatDoesNotWaitForLeases) {
  expect_violation(explore(20000, [] {
    return world_with_change(Agreement::InjectedFault::kSkipLeaseWait, {0, 0, 0, 0, true}, 1);
  }));
}

TEST(AgreementModel, DetectsAnAcceptanceThatIsNotPersisted) {
  expect_violation(explore(20000, [] {
    return world_with_acceptance(Agreement::InjectedFault::kAcceptanceNotPersisted, {1, 0, 0, 0, true});
  }));
}

TEST(AgreementModel, DetectsALeaseThatSurvivesARestart) {
  expect_violation(explore(20000, [] {
    return world_with_acceptance(Agreement::InjectedFault::kLeaseSurvivesRestart, {1, 0, 0, 0, true});
  }));
}

}  // namespace
}  // namespace umberhoist::lab
