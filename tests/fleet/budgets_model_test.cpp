// Model checker of the real budget allocator: two relays and one leader at a time, renewals and answers that
// are lost, duplicated or delayed, processes that restart, leader changes, a lowered capacity, and clocks
// whose rates differ as far as leases allow. The search is breadth first, so the first trace found is a
// shortest one.
//
// Assumed of fleet/agreement, whose own model checker covers it: a lease lasts a lease duration from when it
// was requested, by its relay's clock. A leader takes it for expired a lease duration and 2/500 of it after
// its answer; a new leader takes all leases as granted at its election. Messages of an older leader term may
// arrive at any time.
#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <unordered_set>

#include "budgets_world.h"

namespace umberhoist::fleet {
namespace {

struct Result {
  size_t states = 0, depth = 0;
  std::string trace;  // to the first state over the capacity; empty: there is none
};

Result check(size_t max_states, const World& begin) {
  Result out;
  struct Pending {
    World world;
    std::string trace;
    size_t depth;
  };
  std::deque<Pending> queue;
  queue.push_back({begin, "", 0});
  std::unordered_set<uint64_t> seen;
  while (!queue.empty() && out.states < max_states) {
    const Pending from = std::move(queue.front());
    queue.pop_front();
    for (const Step& step : from.world.enabled_steps()) {
      Pending next{from.world, from.trace + step.text() + "\n", from.depth + 1};
      next.world.apply(step);
      if (!seen.insert(next.world.fingerprint()).second) continue;
      ++out.states;
      out.depth = next.depth;
      if (next.world.broken()) {
        out.trace = next.trace + std::to_string(next.world.total_rate()) + " may be spent\n";
        return out;
      }
      queue.push_back(std::move(next));
    }
  }
  return out;
}

// A world in which both relays hold their shares.
World settled(BudgetAllocator::InjectedFault injected_fault) {
  World world(injected_fault);
  for (int n = 0; n < 12; ++n) {
    for (int i = 0; i < 2; ++i) world.apply({Step::kExchange, i});
    world.apply({Step::kHalfPeriod});
    world.apply({Step::kHalfPeriod});
  }
  EXPECT_GT(world.total_rate(), 0.95 * kCapacity);
  world.restarts = world.elections = world.duplicates = world.lowerings = 1;
  return world;
}

TEST(BudgetsModel, NoReachedStateExceedsTheCapacity) {
  const char* wanted = std::getenv("MODEL_STATES");
  const Result result = check(wanted == nullptr ? 30'000 : std::strtoul(wanted, nullptr, 10),
                              settled(BudgetAllocator::InjectedFault::kNone));
  EXPECT_EQ(result.trace, "");
  std::printf("%zu states, depth %zu\n", result.states, result.depth);
}

TEST(BudgetsModel, InjectedFaultsAreFound) {
  // Ignored floors exceed the capacity without any restart, election, duplicate or lowering.
  for (const World& begin : {settled(BudgetAllocator::InjectedFault::kIgnorePriorLeases),
                             World(BudgetAllocator::InjectedFault::kIgnoreFloors)}) {
    const Result result = check(200'000, begin);
    EXPECT_NE(result.trace, "") << result.states;
    std::printf("found after %zu states, %zu steps:\n%s", result.states, result.depth, result.trace.c_str());
  }
}

}  // namespace
}  // namespace umberhoist::fleet
