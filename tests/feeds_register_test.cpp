// A model checker over the real registers and sessions: three voters, two sessions of one subscription, one
// of which acknowledges twice. Messages come in any order, one may be lost, one repeated, one voter killed,
// one emptied. Breadth first over copies of the objects: the first trace found is a shortest one.
#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <pcg_random.hpp>
#include <unordered_set>

#include "feeds_register_world.h"

namespace umberhoist::feeds {
namespace {

struct Result {
  size_t states = 0;
  size_t ends = 0;  // in which all was done
  std::vector<std::string> trace;
  std::string broken;
};

Result explore(const World& first, size_t most) {
  std::deque<World> waiting{first};
  std::unordered_set<size_t> seen;  // hashes
  Result out;
  std::vector<std::pair<size_t, std::string>> steps{{0, ""}};  // of each state, with where it came from
  size_t at = 0;
  while (!waiting.empty() && out.states < most) {
    const World world = std::move(waiting.front());
    waiting.pop_front();
    const size_t me = at++;
    ++out.states;
    out.ends += world.done() ? 1 : 0;
    for (const Step& step : world.steps()) {
      World next = world;
      next.take(step);
      if (!next.broken.empty()) {
        out.broken = next.broken;
        out.trace = {step.text};
        for (size_t n = me; n != 0; n = steps[n].first) out.trace.insert(out.trace.begin(), steps[n].second);
        return out;
      }
      if (!seen.insert(std::hash<std::string>()(next.key())).second) continue;
      steps.emplace_back(me, step.text);
      waiting.push_back(std::move(next));
    }
  }
  return out;
}

std::string text_of(const Result& result) {
  std::string out = std::to_string(result.states) + " states, " + result.broken + "\n";
  for (const auto& step : result.trace) out += "  " + step + "\n";
  return out;
}

struct Faults {
  int losses, repeats, empties, kills;
};
World world_with(Faults faults, Register::Plant plant = Register::Plant::kNothing) {
  World out(plant);
  out.losses = faults.losses;
  out.repeats = faults.repeats;
  out.empties = faults.empties;
  out.kills = faults.kills;
  return out;
}

// One sequence drawn by chance, to its end.
void wander(World world, uint64_t seed, size_t most, Result& out) {
  pcg64 chance(seed);
  for (size_t n = 0; n < most && world.broken.empty(); ++n) {
    const std::vector<Step> steps = world.steps();
    if (steps.empty()) break;
    const Step& step = steps[chance(static_cast<uint32_t>(steps.size()))];
    out.trace.push_back(step.text);
    world.take(step);
    ++out.states;
  }
  out.broken = world.broken;
  if (world.done()) ++out.ends;
}

TEST(FeedRegister, NoAcknowledgementIsLostNorTakenFromAFencedSession) {
  for (const Faults faults :
       {Faults{1, 0, 0, 0}, Faults{0, 1, 0, 0}, Faults{0, 0, 1, 0}, Faults{0, 0, 0, 1}}) {
    const Result result = explore(world_with(faults), 15'000);
    EXPECT_TRUE(result.broken.empty()) << text_of(result);
  }
  // Deeper than breadth comes: sequences by chance with all faults.
  size_t ends = 0;
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    Result result;
    wander(world_with({2, 2, 1, 1}), seed, 300, result);
    ASSERT_TRUE(result.broken.empty()) << "seed " << seed << " " << text_of(result);
    ends += result.ends;
  }
  EXPECT_GT(ends, 1000U);
}

TEST(FeedRegister, APlantedFaultIsFound) {
  Result found;
  for (uint64_t seed = 1; seed <= 3000; ++seed) {
    Result result;
    wander(world_with({0, 0, 0, 0}, Register::Plant::kFencedTaken), seed, 300, result);
    if (result.broken.empty() || (!found.broken.empty() && found.trace.size() <= result.trace.size()))
      continue;
    found = result;
  }
  EXPECT_EQ(found.broken.empty(), false);
  EXPECT_LE(found.trace.size(), 40U) << text_of(found);
  std::cout << text_of(found);
}

}  // namespace
}  // namespace umberhoist::feeds
