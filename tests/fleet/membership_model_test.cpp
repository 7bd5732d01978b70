// Model checker for the membership protocol. It runs the real state machine of three members and explores
// breadth first, to a given depth, every order in which datagrams are delivered, lost or duplicated and
// timers fire, with one crash and restart.
//
// Invariant of every state reached: if from there on all datagrams are delivered and no further fault occurs,
// all members that are up agree on one view that shows all of them alive, within twice the guaranteed time.
// So no member that is up stays dead in every view. The members' random generators are seeded and part of
// their state.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <deque>
#include <optional>
#include <unordered_set>

#include "membership.h"

namespace umberhoist::fleet {
namespace {

constexpr int kMembers = 3;
constexpr Time kPeriod = 500 * kMs;
constexpr Time kTransit = 2 * kMs;

struct InFlight {
  int from;
  int to;
  std::string bytes;
};

struct World {
  Time now = 0;
  std::vector<std::optional<Membership>> members;
  std::vector<uint64_t> stored = std::vector<uint64_t>(kMembers, 0);
  std::vector<InFlight> in_flight;
  int crashes_left = 1;
  int losses_left = 2;
  int duplicates_left = 1;

  static std::string name(int i) { return "n" + std::to_string(i); }

  void start(int i, bool inject_fault) {
    Membership::Settings s;
    s.cluster = "model";
    for (int n = 0; n < kMembers; ++n) s.names.push_back(name(n));
    s.name = name(i);
    s.period = kPeriod;
    s.version = "1";
    s.started_ms = stored[static_cast<size_t>(i)] + 1;
    s.incarnation = stored[static_cast<size_t>(i)];
    auto& m = members[static_cast<size_t>(i)];
    m.emplace(std::move(s), static_cast<uint64_t>(i) + 1);
    m->inject_never_refutes = inject_fault;
    m->start(now);
    collect(i);
  }

  void collect(int i) {
    auto& m = *members[static_cast<size_t>(i)];
    stored[static_cast<size_t>(i)] = std::max(stored[static_cast<size_t>(i)], m.incarnation());
    for (Datagram& d : m.take_datagrams()) in_flight.push_back({i, d.to.back() - '0', std::move(d.bytes)});
    (void)m.take_events();
  }

  void deliver(size_t index, bool duplicate) {
    const InFlight one = in_flight[index];
    if (!duplicate) in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    auto& m = members[static_cast<size_t>(one.to)];
    if (!m) return;
    m->on_datagram(now, name(one.from), one.bytes);
    collect(one.to);
  }

  std::optional<int> next_timer() const {
    std::optional<int> out;
    for (int i = 0; i < kMembers; ++i) {
      const auto& m = members[static_cast<size_t>(i)];
      if (m && (!out || m->next_wakeup() < members[static_cast<size_t>(*out)]->next_wakeup())) out = i;
    }
    return out;
  }

  void fire_timer(int i) {
    now = std::max(now, members[static_cast<size_t>(i)]->next_wakeup());
    members[static_cast<size_t>(i)]->on_timer(now);
    collect(i);
  }

  uint64_t fingerprint() const {
    uint64_t out = static_cast<uint64_t>(crashes_left * 100 + losses_left * 10 + duplicates_left);
    for (const auto& m : members) out = out * 1099511628211u ^ (m ? m->fingerprint(now) : 7);
    std::vector<uint64_t> hashes;
    for (const InFlight& f : in_flight)
      hashes.push_back(std::hash<std::string>()(f.bytes) + static_cast<uint64_t>(f.to));
    std::sort(hashes.begin(), hashes.end());
    for (const uint64_t h : hashes) out = out * 1099511628211u ^ h;
    return out;
  }

  bool agree() const {
    size_t up = 0;
    for (const auto& m : members) up += m ? 1 : 0;
    for (const auto& m : members) {
      if (m && m->alive_count() != up) return false;
    }
    for (const auto& a : members) {
      for (const auto& b : members) {
        if (a && b && a->digest() != b->digest()) return false;
      }
    }
    return true;
  }

  // Whether the members agree within the bound if every datagram is delivered from now on.
  bool converges() const {
    World w = *this;
    const Time until = now + 2 * static_cast<Time>((4 + 3 * std::log2(kMembers)) * kPeriod);
    while (w.now < until) {
      while (!w.in_flight.empty()) {
        w.now += kTransit;
        w.deliver(0, false);
      }
      const auto next = w.next_timer();
      if (!next) break;
      w.fire_timer(*next);
    }
    return w.agree();
  }
};

struct CheckResult {
  size_t states = 0;
  int depth = 0;
  std::vector<std::string> trace;  // actions that lead to the first state that violates the invariant
};

// Breadth-first search, so that the first trace found is a shortest one.
CheckResult check(int depth, size_t max_states, bool inject_fault, bool one_down) {
  struct Node {
    World world;
    int depth;
    std::vector<std::string> trace;
  };
  World first;
  first.members.resize(kMembers);
  for (int i = 0; i < kMembers; ++i) first.start(i, inject_fault);
  // Lets the members learn of each other first.
  for (int n = 0; n < 60; ++n) {
    while (!first.in_flight.empty()) first.deliver(0, false);
    first.fire_timer(*first.next_timer());
  }
  if (one_down) {
    first.members[2].reset();
    for (int n = 0; n < 200; ++n) {
      while (!first.in_flight.empty()) first.deliver(0, false);
      first.fire_timer(*first.next_timer());
    }
    first.crashes_left = first.duplicates_left = 0;
  }
  CheckResult out;
  std::deque<Node> queue;
  std::unordered_set<uint64_t> seen;
  const auto visit = [&](World world, const Node& from, std::string action) {
    if (!seen.insert(world.fingerprint()).second) return true;
    std::vector<std::string> trace = from.trace;
    trace.push_back(std::move(action));
    ++out.states;
    out.depth = from.depth + 1;
    if (!world.converges()) {
      out.trace = std::move(trace);
      return false;
    }
    if (from.depth + 1 < depth) queue.push_back({std::move(world), from.depth + 1, std::move(trace)});
    return true;
  };
  queue.push_back({std::move(first), 0, {}});
  while (!queue.empty() && out.states < max_states) {
    const Node node = std::move(queue.front());
    queue.pop_front();
    const auto move = [&](const std::string& action, auto apply) {
      World next = node.world;
      apply(next);
      return visit(std::move(next), node, action);
    };
    for (size_t f = 0; f < node.world.in_flight.size(); ++f) {
      const InFlight& one = node.world.in_flight[f];
      const std::string what = World::name(one.from) + " to " + World::name(one.to);
      if (!move("deliver " + what, [&](World& w) { w.deliver(f, false); })) return out;
      if (node.world.losses_left > 0 && !move("lose " + what, [&](World& w) {
            --w.losses_left;
            w.in_flight.erase(w.in_flight.begin() + static_cast<std::ptrdiff_t>(f));
          })) {
        return out;
      }
      if (node.world.duplicates_left > 0 && !move("duplicate " + what, [&](World& w) {
            --w.duplicates_left;
            w.deliver(f, true);
          })) {
        return out;
      }
    }
    if (const auto next = node.world.next_timer()) {
      if (!move("timer " + World::name(*next), [&](World& w) { w.fire_timer(*next); })) return out;
    }
    for (int i = 0; i < kMembers; ++i) {
      if (node.world.members[static_cast<size_t>(i)]) {
        if (node.world.crashes_left > 0 && !move("crash " + World::name(i), [&](World& w) {
              --w.crashes_left;
              w.members[static_cast<size_t>(i)].reset();
            })) {
          return out;
        }
      } else if (!one_down && !move("start " + World::name(i), [&](World& w) { w.start(i, inject_fault); })) {
        return out;
      }
    }
  }
  return out;
}

// Number of states to visit; the environment variable MODEL_STATES overrides the default that fits into CI.
size_t states(size_t default_count) {
  const char* requested = std::getenv("MODEL_STATES");
  return requested == nullptr ? default_count : std::strtoul(requested, nullptr, 10);
}

TEST(MembershipModel, EveryReachableStateConvergesOnceFaultsEnd) {
  const CheckResult c = check(30, states(4000), false, false);
  std::string trace;
  for (const std::string& step : c.trace) trace += step + "\n";
  EXPECT_EQ(trace, "");
  std::printf("%zu states, depth %d\n", c.states, c.depth);
  EXPECT_GE(c.states, 4000u);
  const CheckResult two = check(30, states(2000), false, true);
  EXPECT_TRUE(two.trace.empty());
  std::printf("one of three down: %zu states, depth %d\n", two.states, two.depth);
}

TEST(MembershipModel, FindsTheInjectedFaultOfMissingRefutations) {
  const CheckResult c = check(30, 5000, true, true);
  ASSERT_FALSE(c.trace.empty()) << c.states << " states, depth " << c.depth;
  std::printf("found after %zu states:\n", c.states);
  for (const std::string& step : c.trace) std::printf("  %s\n", step.c_str());
}

}  // namespace
}  // namespace umberhoist::fleet
