// The cost of a step with a list of thousands of endpoints. It depends on what changed, not on the length of
// the list: guards against work per listed endpoint in each step.
#include <time.h>

#include <algorithm>
#include <memory>

#include "relay.h"

namespace firspool::testing {
namespace {

constexpr int kDestinations = 20;
constexpr int kFew = 200;
constexpr int kMany = 3200;
constexpr int kSteps = 6000;
constexpr int kRuns = 5;
constexpr Time kStepInterval = 25'000;
constexpr double kMaxCostRatio = 4;  // of kMany to kFew endpoints, for the module alone

double cpu_seconds() {
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

std::vector<Member> make_list(int endpoints) {
  std::vector<Member> out;
  for (int i = 0; i < endpoints; ++i) out.push_back(member(static_cast<uint32_t>(i + 1), i % kDestinations));
  return out;
}

// CPU seconds of kSteps steps. Each receives a message and the outcomes of the previous calls; every 50th
// also replaces an endpoint by another.
double cost_of_steps(int endpoints) {
  Settings settings = plain_settings();
  settings.price_handshake = 0.03;
  settings.max_in_flight = 64;
  Policy policy(settings, 1);
  std::vector<Action> actions;
  policy.step(0, std::vector<Event>{members(make_list(endpoints))}, actions);
  std::vector<Event> events;
  const double began = cpu_seconds();
  for (int i = 1; i <= kSteps; ++i) {
    const Time now = i * kStepInterval;
    MessageReceived in;
    in.id = static_cast<uint64_t>(i);
    in.destination = i % kDestinations;
    in.due = now + 20 * kSecond;
    events.push_back(in);
    if (i % 50 == 0) {
      const auto at = static_cast<uint32_t>(i / 50);
      events.push_back(members({member(at, static_cast<int>(at - 1) % kDestinations, 0, Listing::kGone),
                                member(at + kMany, static_cast<int>(at - 1) % kDestinations)},
                               MembersChanged::Form::kDelta));
    }
    actions.clear();
    policy.step(now, events, actions);
    events.clear();
    for (const Send& send : all_of<Send>(actions)) events.push_back(ended(send, 0, Outcome::kOk));
  }
  return cpu_seconds() - began;
}

TEST(LargeList, CostOfAStepDoesNotGrowWithTheList) {
  // The minimum of several runs: other load on the machine only adds to the cost.
  double few = cost_of_steps(kFew);
  double many = cost_of_steps(kMany);
  for (int i = 1; i < kRuns; ++i) {
    few = std::min(few, cost_of_steps(kFew));
    many = std::min(many, cost_of_steps(kMany));
  }
  EXPECT_LT(many, kMaxCostRatio * few) << many << " s, with few endpoints " << few << " s";
}

}  // namespace
}  // namespace firspool::testing
