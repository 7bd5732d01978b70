// A model checker over the real state machine of the view: three members, every order in which datagrams
// come, are lost or repeated and clocks ring, one crash and restart, to a stated depth.
//
// Invariant on each state reached: from there, with all datagrams delivered and nothing further going wrong,
// all that are up agree on one view of all that are up, within the promised time twice over; so nobody that
// is up and answers stays dead in all views. Chance inside the members is part of their state (a seeded
// generator).
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

struct Flying {
  int from;
  int to;
  std::string bytes;
};

struct World {
  Time now = 0;
  std::vector<std::optional<Membership>> members;
  std::vector<uint64_t> stored = std::vector<uint64_t>(kMembers, 0);
  std::vector<Flying> flying;
  int crashes_left = 1;
  int losses_left = 2;
  int repeats_left = 1;

  static std::string name(int i) { return "n" + std::to_string(i); }

  void start(int i, bool planted) {
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
    m->planted_never_refutes = planted;
    m->start(now);
    collect(i);
  }

  void collect(int i) {
    auto& m = *members[static_cast<size_t>(i)];
    stored[static_cast<size_t>(i)] = std::max(stored[static_cast<size_t>(i)], m.incarnation());
    for (Datagram& d : m.take()) flying.push_back({i, d.to.back() - '0', std::move(d.bytes)});
    (void)m.events();
  }

  void deliver(size_t which, bool keep) {
    const Flying one = flying[which];
    if (!keep) flying.erase(flying.begin() + static_cast<std::ptrdiff_t>(which));
    auto& m = members[static_cast<size_t>(one.to)];
    if (!m) return;
    m->received(now, name(one.from), one.bytes);
    collect(one.to);
  }

  std::optional<int> earliest() const {
    std::optional<int> out;
    for (int i = 0; i < kMembers; ++i) {
      const auto& m = members[static_cast<size_t>(i)];
      if (m && (!out || m->next() < members[static_cast<size_t>(*out)]->next())) out = i;
    }
    return out;
  }

  void ring(int i) {
    now = std::max(now, members[static_cast<size_t>(i)]->next());
    members[static_cast<size_t>(i)]->woke(now);
    collect(i);
  }

  uint64_t fingerprint() const {
    uint64_t out = static_cast<uint64_t>(crashes_left * 100 + losses_left * 10 + repeats_left);
    for (const auto& m : members) out = out * 1099511628211u ^ (m ? m->fingerprint(now) : 7);
    std::vector<uint64_t> hashes;
    for (const Flying& f : flying)
      hashes.push_back(std::hash<std::string>()(f.bytes) + static_cast<uint64_t>(f.to));
    std::sort(hashes.begin(), hashes.end());
    for (const uint64_t h : hashes) out = out * 1099511628211u ^ h;
    return out;
  }

  bool agree() const {
    size_t up = 0;
    for (const auto& m : members) up += m ? 1 : 0;
    for (const auto& m : members) {
      if (m && m->live() != up) return false;
    }
    for (const auto& a : members) {
      for (const auto& b : members) {
        if (a && b && a->digest() != b->digest()) return false;
      }
    }
    return true;
  }

  // Everything comes through from here on.
  bool settles() const {
    World w = *this;
    const Time until = now + 2 * static_cast<Time>((4 + 3 * std::log2(kMembers)) * kPeriod);
    while (w.now < until) {
      while (!w.flying.empty()) {
        w.now += kTransit;
        w.deliver(0, false);
      }
      const auto next = w.earliest();
      if (!next) break;
      w.ring(*next);
    }
    return w.agree();
  }
};

struct Checked {
  size_t states = 0;
  int depth = 0;
  std::vector<std::string> trace;  // to the first state that breaks the invariant
};

// Breadth first, so that the first trace found is a shortest one.
Checked check(int depth, size_t most_states, bool planted, bool one_down) {
  struct Node {
    World world;
    int depth;
    std::vector<std::string> trace;
  };
  World first;
  first.members.resize(kMembers);
  for (int i = 0; i < kMembers; ++i) first.start(i, planted);
  // They know each other before it begins.
  for (int n = 0; n < 60; ++n) {
    while (!first.flying.empty()) first.deliver(0, false);
    first.ring(*first.earliest());
  }
  if (one_down) {
    first.members[2].reset();
    for (int n = 0; n < 200; ++n) {
      while (!first.flying.empty()) first.deliver(0, false);
      first.ring(*first.earliest());
    }
    first.crashes_left = first.repeats_left = 0;
  }
  Checked out;
  std::deque<Node> open;
  std::unordered_set<uint64_t> seen;
  const auto reach = [&](World world, const Node& from, std::string how) {
    if (!seen.insert(world.fingerprint()).second) return true;
    std::vector<std::string> trace = from.trace;
    trace.push_back(std::move(how));
    ++out.states;
    out.depth = from.depth + 1;
    if (!world.settles()) {
      out.trace = std::move(trace);
      return false;
    }
    if (from.depth + 1 < depth) open.push_back({std::move(world), from.depth + 1, std::move(trace)});
    return true;
  };
  open.push_back({std::move(first), 0, {}});
  while (!open.empty() && out.states < most_states) {
    const Node node = std::move(open.front());
    open.pop_front();
    const auto move = [&](const std::string& how, auto act) {
      World next = node.world;
      act(next);
      return reach(std::move(next), node, how);
    };
    for (size_t f = 0; f < node.world.flying.size(); ++f) {
      const Flying& one = node.world.flying[f];
      const std::string what = World::name(one.from) + " to " + World::name(one.to);
      if (!move("deliver " + what, [&](World& w) { w.deliver(f, false); })) return out;
      if (node.world.losses_left > 0 && !move("lose " + what, [&](World& w) {
            --w.losses_left;
            w.flying.erase(w.flying.begin() + static_cast<std::ptrdiff_t>(f));
          })) {
        return out;
      }
      if (node.world.repeats_left > 0 && !move("repeat " + what, [&](World& w) {
            --w.repeats_left;
            w.deliver(f, true);
          })) {
        return out;
      }
    }
    if (const auto next = node.world.earliest()) {
      if (!move("ring " + World::name(*next), [&](World& w) { w.ring(*next); })) return out;
    }
    for (int i = 0; i < kMembers; ++i) {
      if (node.world.members[static_cast<size_t>(i)]) {
        if (node.world.crashes_left > 0 && !move("crash " + World::name(i), [&](World& w) {
              --w.crashes_left;
              w.members[static_cast<size_t>(i)].reset();
            })) {
          return out;
        }
      } else if (!one_down && !move("start " + World::name(i), [&](World& w) { w.start(i, planted); })) {
        return out;
      }
    }
  }
  return out;
}

// MODEL_STATES in the environment asks for more than CI has time for.
size_t states(size_t usual) {
  const char* wanted = std::getenv("MODEL_STATES");
  return wanted == nullptr ? usual : std::strtoul(wanted, nullptr, 10);
}

TEST(MembershipModel, FromEachStateReachedQuietDeliverySettles) {
  const Checked c = check(30, states(4000), false, false);
  std::string trace;
  for (const std::string& step : c.trace) trace += step + "\n";
  EXPECT_EQ(trace, "");
  std::printf("%zu states, depth %d\n", c.states, c.depth);
  EXPECT_GE(c.states, 4000u);
  const Checked two = check(30, states(2000), false, true);
  EXPECT_TRUE(two.trace.empty());
  std::printf("one of three down: %zu states, depth %d\n", two.states, two.depth);
}

TEST(MembershipModel, ARefutationThatIsNotSentIsFound) {
  const Checked c = check(30, 5000, true, true);
  ASSERT_FALSE(c.trace.empty()) << c.states << " states, depth " << c.depth;
  std::printf("found after %zu states:\n", c.states);
  for (const std::string& step : c.trace) std::printf("  %s\n", step.c_str());
}

}  // namespace
}  // namespace umberhoist::fleet
