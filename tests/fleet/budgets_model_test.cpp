// A model checker over the real division: two relays and one leader at a time, renewals and answers that are
// lost, repeated or wait on the way, processes that begin anew, leaders that follow one another, a whole that
// falls, clocks whose rates differ as far as leases allow. Breadth first: the first trace found is a shortest
// one.
//
// Taken from fleet/agreement as promised (its own model checker looks at that): a lease lasts a term from
// when it was asked for on its relay's clock, a leader takes it for over a term and 2/500 after it answered,
// and a new one takes all as granted at its election. What of an older reign is still on the way may come at
// any time.
#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <unordered_set>

#include "budgets_world.h"

namespace umberhoist::fleet {
namespace {

struct Checked {
  size_t states = 0, depth = 0;
  std::string trace;  // to the first state that breaks the promise
};

Checked check(size_t most, const World& begin) {
  Checked out;
  struct Open {
    World world;
    std::string trace;
    size_t depth;
  };
  std::deque<Open> open;
  open.push_back({begin, "", 0});
  std::unordered_set<uint64_t> seen;
  while (!open.empty() && out.states < most) {
    const Open from = std::move(open.front());
    open.pop_front();
    for (const Step& step : from.world.steps()) {
      Open next{from.world, from.trace + step.text() + "\n", from.depth + 1};
      next.world.take(step);
      if (!seen.insert(next.world.fingerprint()).second) continue;
      ++out.states;
      out.depth = next.depth;
      if (next.world.broken()) {
        out.trace = next.trace + std::to_string(next.world.sum()) + " may be spent\n";
        return out;
      }
      open.push_back(std::move(next));
    }
  }
  return out;
}

// Both hold their parts of the whole.
World settled(Divider::Plant plant) {
  World world(plant);
  for (int n = 0; n < 12; ++n) {
    for (int i = 0; i < 2; ++i) world.take({Step::kExchange, i});
    world.take({Step::kTime});
    world.take({Step::kTime});
  }
  EXPECT_GT(world.sum(), 0.95 * kWhole);
  world.restarts = world.elections = world.repeats = world.lowerings = 1;
  return world;
}

TEST(BudgetsModel, NoStateReachedIsOverTheWhole) {
  const char* wanted = std::getenv("MODEL_STATES");
  const Checked c = check(wanted == nullptr ? 30'000 : std::strtoul(wanted, nullptr, 10),
                          settled(Divider::Plant::kNothing));
  EXPECT_EQ(c.trace, "");
  std::printf("%zu states, depth %zu\n", c.states, c.depth);
}

TEST(BudgetsModel, PlantedFaultsAreFound) {
  // Floors that are left out of the sum need no fault to be seen.
  for (const World& begin : {settled(Divider::Plant::kEarly), World(Divider::Plant::kFloorsLeftOut)}) {
    const Checked c = check(200'000, begin);
    EXPECT_NE(c.trace, "") << c.states;
    std::printf("found after %zu states, %zu steps:\n%s", c.states, c.depth, c.trace.c_str());
  }
}

}  // namespace
}  // namespace umberhoist::fleet
