// A model checker over the real state machine of the agreement, C-Raft's core in it: three relays, two
// changes, messages that come in any order of channels, are lost or repeated, processes that die between any
// two steps and come back with the same build or an older one, clocks that go at different rates.
//
// C-Raft's state cannot be copied, so that a state is reached again by doing again what led to it (as CHESS
// does, Musuvathi and others, 2008); states are told apart by a hash of all that decides what comes next.
// Breadth first: the first trace found is a shortest one. Invariants: the audit's P1, P2, P4, P6.
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
constexpr Time kTerm = 2400 * kMs;
constexpr Time kStep = kPeriod / 2;

struct Step {
  enum Kind {
    kDeliver,
    kExchange,
    kLose,
    kRepeat,
    kTime,
    kAlone,
    kCrash,
    kDieIn,
    kStart,
    kStartOld,
    kPropose
  } kind;
  int a = 0;
  int b = 0;
  std::string text() const {
    const std::string x = member_name(a), y = member_name(b);
    switch (kind) {
      case kDeliver:
        return "all from " + x + " comes to " + y;
      case kExchange:
        return x + " and " + y + " exchange all that they say";
      case kLose:
        return "all from " + x + " to " + y + " is lost";
      case kRepeat:
        return "the oldest from " + x + " to " + y + " comes twice";
      case kAlone:
        return x + " is cut off while a term and a half passes for all";
      case kTime:
        return "half a period passes";
      case kCrash:
        return x + " is killed";
      case kDieIn:
        return x + " will die in its step " + std::to_string(b + 1);
      case kStart:
        return x + " starts";
      case kStartOld:
        return x + " starts with an older build";
      default:
        return "a change " + std::string(b == 0 ? "that the older build cannot hold " : "") +
               "is proposed at " + x;
    }
  }
};

struct Budget {  // of what may go wrong
  int crashes = 1;
  int losses = 2;
  int repeats = 1;
  int proposals = 2;
  bool coarse = false;  // whole exchanges between two relays, and no deaths between two steps
};

class World {
 public:
  World(int voters, Agreement::Plant plant, int build = 2) : voters_(voters), plant_(plant), audit_(kTerm) {
    for (int i = 0; i < kRelays; ++i) {
      folders_[at(i)].build = i == 2 ? build : 2;
      start(i);
    }
  }

  // All hold version 1 and are open.
  void settle() {
    for (int n = 0; n < 200 && !quiet(); ++n) round();
    EXPECT_TRUE(quiet());
  }
  void round() {
    for (int pass = 0; pass < 4; ++pass) {
      for (int i = 0; i < kRelays; ++i) {
        for (int j = 0; j < kRelays; ++j) deliver(i, j);
      }
    }
    pass_time();
  }
  int leader() const {
    for (int i = 0; i < kRelays; ++i) {
      if (guests_[at(i)] && guests_[at(i)]->agreement().leads()) return i;
    }
    return -1;
  }

  void take(const Step& s) {
    switch (s.kind) {
      case Step::kDeliver:
        return deliver(s.a, s.b);
      case Step::kExchange:
        for (int n = 0; n < 6; ++n) {
          deliver(s.a, s.b);
          deliver(s.b, s.a);
        }
        return;
      case Step::kLose:
        --budget.losses;
        return ways_[at(s.a)][at(s.b)].clear();
      case Step::kRepeat: {
        --budget.repeats;
        auto& way = ways_[at(s.a)][at(s.b)];
        way.push_front(way.front());
        return deliver(s.a, s.b);
      }
      case Step::kAlone:
        --budget.losses;
        for (Time t = 0; t < 3 * kTerm / 2; t += kStep) {
          for (int k = 0; k < kRelays; ++k) {
            ways_[at(s.a)][at(k)].clear();
            ways_[at(k)][at(s.a)].clear();
          }
          round();
        }
        return;
      case Step::kTime:
        return pass_time();
      case Step::kCrash:
        --budget.crashes;
        return crash(s.a);
      case Step::kDieIn:
        --budget.crashes;
        guests_[at(s.a)]->dies_after = s.b;
        return;
      case Step::kStart:
        return start(s.a);
      case Step::kStartOld:
        folders_[at(s.a)].build = 1;
        return start(s.a);
      case Step::kPropose: {
        --budget.proposals;
        AgreementGuest& g = *guests_[at(s.a)];
        const std::string id = s.b == 0 ? "newer" : "other";
        g.agreement().propose(g.local(now_), id, (s.b == 0 ? "need=2 " : "need=1 ") + id, 0);
        g.carry_out(now_);
        ring(s.a);
      }
    }
  }

  std::vector<Step> steps() const {
    std::vector<Step> out;
    for (int i = 0; i < kRelays; ++i) {
      for (int j = 0; j < kRelays; ++j) {
        if (ways_[at(i)][at(j)].empty() && (!budget.coarse || ways_[at(j)][at(i)].empty())) continue;
        if (budget.coarse) {
          if (i < j) out.push_back({Step::kExchange, i, j});
          if (budget.losses > 0 && !ways_[at(i)][at(j)].empty()) out.push_back({Step::kLose, i, j});
          continue;
        }
        out.push_back({Step::kDeliver, i, j});
        if (budget.losses > 0) out.push_back({Step::kLose, i, j});
        if (budget.repeats > 0) out.push_back({Step::kRepeat, i, j});
      }
      if (!guests_[at(i)]) {
        out.push_back({Step::kStart, i});
        if (folders_[at(i)].build == 2) out.push_back({Step::kStartOld, i});
        continue;
      }
      if (budget.crashes > 0) {
        out.push_back({Step::kCrash, i});
        for (int k = 0; k < 3 && !budget.coarse; ++k) out.push_back({Step::kDieIn, i, k});
      }
      if (budget.proposals > 0) out.push_back({Step::kPropose, i, budget.proposals % 2});
    }
    for (int i = 0; i < kRelays && budget.coarse && budget.losses > 0; ++i) out.push_back({Step::kAlone, i});
    out.push_back({Step::kTime});
    return out;
  }

  uint64_t fingerprint() const {
    uint64_t out = static_cast<uint64_t>(budget.crashes * 1000 + budget.losses * 100 + budget.repeats * 10 +
                                         budget.proposals);
    const auto mix = [&](uint64_t v) { out = (out ^ v) * 1099511628211u; };
    for (int i = 0; i < kRelays; ++i) {
      const auto& g = guests_[at(i)];
      mix(static_cast<uint64_t>(folders_[at(i)].build));
      mix(g ? g->agreement().fingerprint(g->local(now_)) : std::hash<std::string>()(folders_[at(i)].file));
      mix(g ? static_cast<uint64_t>(g->dies_after + 1) : 0);
      mix(audit_.open(i, now_));
      for (const auto& way : ways_[at(i)]) {
        mix(way.size());
        for (const std::string& bytes : way) mix(std::hash<std::string>()(bytes));
      }
    }
    return out;
  }

  const std::string& broken() const { return audit_.broken(); }
  uint64_t newest() const { return audit_.newest(); }

  Budget budget;

 private:
  static size_t at(int i) { return static_cast<size_t>(i); }

  bool quiet() const {
    for (int i = 0; i < kRelays; ++i) {
      if (audit_.version(i) == 0 || !audit_.open(i, now_)) return false;
    }
    return leader() >= 0;
  }

  void start(int i) {
    auto s = agreement_settings(i, kRelays, voters_, kPeriod, kTerm, folders_[at(i)].build);
    s.plant = plant_;
    // Rates lie at the bound: of two clocks one goes 1 in 500 faster.
    const double rate = i == 0 ? 1 : i == 1 ? 1 + 1.0 / fleet::kDriftOne : 1 - 0.9 / fleet::kDriftOne;
    ++lives_;
    guests_[at(i)] = std::make_unique<AgreementGuest>(i, std::move(s), folders_[at(i)], audit_,
                                                      AgreementGuest::Clock{fleet::kSecond * (i + 1), rate},
                                                      static_cast<uint64_t>(lives_));
    guests_[at(i)]->start(now_);
    collect(i);
  }

  void crash(int i) { guests_[at(i)].reset(); }

  void collect(int i) {
    AgreementGuest& g = *guests_[at(i)];
    for (auto& d : g.take_datagrams()) ways_[at(i)][at(d.to.back() - '0')].push_back(std::move(d.bytes));
    if (g.dead()) crash(i);
  }

  void ring(int i) {
    // What is due at once is due a microsecond later on a clock of another rate.
    for (int n = 0; n < 4 && guests_[at(i)] && guests_[at(i)]->next_wakeup() <= now_ + 2; ++n) {
      now_ = std::max(now_, guests_[at(i)]->next_wakeup());
      guests_[at(i)]->on_timer(now_);
      collect(i);
    }
  }

  void deliver(int from, int to) {
    for (const std::string& bytes : std::exchange(ways_[at(from)][at(to)], {})) {
      if (!guests_[at(to)]) return;
      guests_[at(to)]->on_datagram(now_, member_name(from), bytes);
      collect(to);
      ring(to);
    }
  }

  void pass_time() {
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
  Agreement::Plant plant_;
  PolicyAudit audit_;
  Time now_ = 0;
  int lives_ = 0;
  std::array<AgreementGuest::Folder, kRelays> folders_;
  std::array<std::unique_ptr<AgreementGuest>, kRelays> guests_;
  std::array<std::array<std::deque<std::string>, kRelays>, kRelays> ways_;
};

struct Checked {
  size_t states = 0;
  size_t depth = 0;
  uint64_t newest = 0;             // version in force in any state
  std::vector<std::string> trace;  // to the first state that breaks an invariant
  std::string broken;
};

// `begin` leads to the state from which it is searched.
Checked check(size_t most_states, const std::function<std::unique_ptr<World>()>& begin) {
  Checked out;
  std::deque<std::vector<Step>> open = {{}};
  std::unordered_set<uint64_t> seen;
  const auto again = [&](const std::vector<Step>& path) {
    auto world = begin();
    for (const Step& s : path) world->take(s);
    return world;
  };
  while (!open.empty() && out.states < most_states) {
    const std::vector<Step> path = std::move(open.front());
    open.pop_front();
    const std::vector<Step> steps = again(path)->steps();
    for (const Step& step : steps) {
      std::vector<Step> next = path;
      next.push_back(step);
      const auto world = again(next);
      if (!seen.insert(world->fingerprint()).second) continue;
      ++out.states;
      out.depth = next.size();
      out.newest = std::max(out.newest, world->newest());
      if (!world->broken().empty()) {
        for (const Step& s : next) out.trace.push_back(s.text());
        out.broken = world->broken();
        return out;
      }
      open.push_back(std::move(next));
    }
  }
  return out;
}

std::unique_ptr<World> settled(int voters, Agreement::Plant plant, Budget budget, int build = 2) {
  auto world = std::make_unique<World>(voters, plant, build);
  world->settle();
  world->budget = budget;
  return world;
}

// A change that an older build cannot hold is in the voters' log; relay 2, no voter, has not heard of it.
std::unique_ptr<World> under_way(Agreement::Plant plant, Budget budget, int build = 2) {
  auto world = settled(2, plant, budget, build);
  world->take({Step::kPropose, world->leader(), 0});
  world->take({Step::kExchange, 0, 1});
  world->budget = budget;
  return world;
}

// And relay 2 has said yes to the leader.
std::unique_ptr<World> answered(Agreement::Plant plant, Budget budget) {
  auto world = under_way(plant, budget);
  for (int n = 0; n < 2; ++n) {
    world->take({Step::kTime});
    world->take({Step::kExchange, std::min(world->leader(), 2), 2});
  }
  return world;
}

size_t states(size_t usual) {
  const char* wanted = std::getenv("MODEL_STATES");
  return wanted == nullptr ? usual : std::strtoul(wanted, nullptr, 10);
}

void expect_clean(const std::string& what, const Checked& c) {
  std::string trace;
  for (const std::string& step : c.trace) trace += step + "\n";
  EXPECT_EQ(trace + c.broken, "") << what;
  std::printf("%s: %zu states, depth %zu, version %llu\n", what.c_str(), c.states, c.depth,
              static_cast<unsigned long long>(c.newest));
}

void expect_found(const Checked& c) {
  ASSERT_FALSE(c.trace.empty()) << c.states << " states, depth " << c.depth;
  std::printf("found after %zu states: %s\n", c.states, c.broken.c_str());
  for (const std::string& step : c.trace) std::printf("  %s\n", step.c_str());
}

TEST(AgreementModel, NoStateReachedBreaksAPromise) {
  const auto nothing = Agreement::Plant::kNothing;
  const size_t most = states(400);
  for (const bool coarse : {false, true}) {
    const Budget all{1, 2, 1, 2, coarse};
    const std::string how = coarse ? ", whole exchanges" : ", every message";
    for (const int voters : {3, 2}) {
      expect_clean(std::to_string(voters) + " of 3 vote, from rest" + how,
                   check(most, [&] { return settled(voters, nothing, all); }));
    }
    expect_clean("a change under way" + how, check(most, [&] { return under_way(nothing, all); }));
    expect_clean("a change to which one has said yes" + how,
                 check(most, [&] { return answered(nothing, all); }));
    expect_clean("a change under way that one cannot hold" + how,
                 check(most, [&] { return under_way(nothing, all, 1); }));
  }
}

TEST(AgreementModel, ADecisionThatDoesNotWaitForLeasesIsFound) {
  expect_found(check(20000, [] { return under_way(Agreement::Plant::kNoLeaseWait, {0, 0, 0, 0, true}, 1); }));
}

TEST(AgreementModel, AYesThatIsNotWrittenIsFound) {
  expect_found(check(20000, [] { return answered(Agreement::Plant::kYesNotWritten, {1, 0, 0, 0, true}); }));
}

TEST(AgreementModel, ALeaseThatIsKeptOverARestartIsFound) {
  expect_found(check(20000, [] { return answered(Agreement::Plant::kLeaseKept, {1, 0, 0, 0, true}); }));
}

}  // namespace
}  // namespace umberhoist::lab
