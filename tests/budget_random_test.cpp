// The time budget of each message over random stages, restarts and clock steps.
#include <random>

#include "budget_process.h"

namespace firspool::relay {
namespace {

class RandomBudgets : public ::testing::TestWithParam<uint64_t> {};

// Within one boot, whatever the wall clock does: no attempt starts after the time that the client gave, each
// message ends once and in time, and its remaining budget never grows. Across boots the remaining budget is
// never larger than at the newest journal record.
TEST_P(RandomBudgets, HoldOverStagesRestartsAndClockSteps) {
  const uint64_t seed = GetParam();
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937_64 random(seed);
  const auto up_to = [&](Time limit) { return static_cast<Time>(random() % static_cast<uint64_t>(limit)); };
  const auto chance = [&](uint64_t percent) { return random() % 100 < percent; };
  const bool boots = seed % 3 == 0;

  Settings settings = testing::plain_settings();
  settings.classes.resize(3);
  for (size_t i = 0; i < 3; ++i) settings.classes[i].name = "c" + std::to_string(i);
  settings.classes[2] = settings.classes[0];
  settings.classes[2].name = "c2";
  settings.classes[2].effect = Effect::kKeyed;
  settings.classes[2].key_window = 3 * kSecond;
  settings.max_in_flight = 4;

  struct Known {
    Time due = 0;   // by the true time
    Time left = 0;  // as last reported
    Time recorded = 0;
    int ends = 0;
  };
  std::map<std::string, Known> known;
  SimulatedClocks clocks;
  TemporaryFolder folder;
  std::unique_ptr<Process> process;
  uint64_t incarnations = 0;
  Time started_at = 0;  // by the true time
  int starts = 0;
  constexpr Time kStep = 40 * kMs;
  const auto begin = [&] {
    process = std::make_unique<Process>(clocks, folder, settings, seed * 1000 + ++incarnations);
    started_at = clocks.true_time;
    process->on_remaining = [&](const std::string& id, Time left) {
      Known& k = known.at(id);
      EXPECT_LE(left, k.left) << id;
      k.left = left;
    };
    process->on_recorded = [&](const std::string& id, Time left) { known.at(id).recorded = left; };
    if (boots) {
      for (auto& [id, k] : known) k.left = k.recorded;
    }
    process->report_recorded();
    process->on_started = [&](const std::string& id) {
      ++starts;
      EXPECT_TRUE(boots || clocks.true_time < known.at(id).due) << id;
    };
    process->on_ended = [&](const std::string& id, char) {
      Known& k = known.at(id);
      EXPECT_EQ(++k.ends, 1) << id;
      EXPECT_TRUE(boots || clocks.true_time <= std::max(k.due, started_at) + kStep) << id;
    };
    process->plan_call = [&](Process::Call& call) {
      const Time now = clocks.steady();
      call.connected_at = now + (chance(70) ? 0 : up_to(kSecond));
      call.ends_at = std::min(call.connected_at + up_to(call.send.timeout), now + call.send.timeout);
      const uint64_t kind = random() % 10;
      call.outcome = kind < 5 ? Outcome::kOk : kind < 7 ? Outcome::kError : Outcome::kFull;
      if (kind == 9) call.retry_after = up_to(4 * kSecond);
      if (kind == 6) {
        call.outcome = Outcome::kTimeout;
        call.ends_at = now + call.send.timeout;
      }
    };
  };
  begin();
  int last = 0;
  for (int step = 0; step < 1500; ++step) {
    clocks.true_time += 1 + up_to(kStep);
    if (chance(2)) clocks.wall_offset += chance(50) ? kHour : -kHour;
    if (step < 1200 && chance(15) && process->held() < 30) {
      const std::string id = "m" + std::to_string(++last);
      const Time given = 1 + up_to(chance(10) ? 5 * kMs : 6 * kSecond);
      known[id] = {clocks.true_time + given, given, given, 0};
      process->put(id, static_cast<int>(random() % 3), given);
    } else {
      process->step();
    }
    if (!chance(1)) continue;
    // SIGKILL, half of the time in the middle of a journal record.
    process.reset();
    if (chance(50)) folder.write(folder.bytes() + std::string("\x40\0\0\0torn", 8));
    clocks.true_time += up_to(3 * kSecond);
    if (boots) {
      clocks.boot_time = clocks.true_time - up_to(kHour);
      ++clocks.boot_id;
    }
    begin();
  }
  for (int step = 0; step < 1000 && process->held() > 0; ++step) {
    clocks.true_time += 20 * kMs;
    process->step();
  }
  for (const auto& [id, k] : known) EXPECT_EQ(k.ends, 1) << id;
  EXPECT_GT(starts, 20);
  EXPECT_GT(incarnations, 2u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomBudgets, ::testing::Range<uint64_t>(1, 31));

}  // namespace
}  // namespace firspool::relay
