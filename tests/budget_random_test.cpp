// One time budget for each message, over random stages, restarts and steps of the clocks.
#include <random>

#include "budget_process.h"

namespace firspool::relay {
namespace {

class RandomBudgets : public ::testing::TestWithParam<uint64_t> {};

// In one boot, whatever the wall clock does: nothing starts past what the client gave, each message ends once
// and in time, and what is left never grows. Over boots it is never more than at the newest record.
TEST_P(RandomBudgets, HoldOverStagesRestartsAndClockSteps) {
  const uint64_t seed = GetParam();
  SCOPED_TRACE("seed " + std::to_string(seed));
  std::mt19937_64 random(seed);
  const auto up_to = [&](Time most) { return static_cast<Time>(random() % static_cast<uint64_t>(most)); };
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
    Time left = 0;  // as it was seen last
    Time recorded = 0;
    int ends = 0;
  };
  std::map<std::string, Known> known;
  Machine machine;
  Folder folder;
  std::unique_ptr<Process> process;
  uint64_t lives = 0;
  Time ready = 0;  // by the true time: when this process began
  int starts = 0;
  constexpr Time kTurn = 40 * kMs;
  const auto begin = [&] {
    process = std::make_unique<Process>(machine, folder, settings, seed * 1000 + ++lives);
    ready = machine.truth;
    process->seen = [&](const std::string& id, Time left) {
      Known& k = known.at(id);
      EXPECT_LE(left, k.left) << id;
      k.left = left;
    };
    process->recorded = [&](const std::string& id, Time left) { known.at(id).recorded = left; };
    if (boots) {
      for (auto& [id, k] : known) k.left = k.recorded;
    }
    process->wrote();
    process->started = [&](const std::string& id) {
      ++starts;
      EXPECT_TRUE(boots || machine.truth < known.at(id).due) << id;
    };
    process->ended = [&](const std::string& id, char) {
      Known& k = known.at(id);
      EXPECT_EQ(++k.ends, 1) << id;
      EXPECT_TRUE(boots || machine.truth <= std::max(k.due, ready) + kTurn) << id;
    };
    process->draw = [&](Process::Out& out) {
      const Time now = machine.steady();
      out.up = now + (chance(70) ? 0 : up_to(kSecond));
      out.ends = std::min(out.up + up_to(out.send.timeout), now + out.send.timeout);
      const uint64_t kind = random() % 10;
      out.outcome = kind < 5 ? Outcome::kOk : kind < 7 ? Outcome::kError : Outcome::kFull;
      if (kind == 9) out.wait = up_to(4 * kSecond);
      if (kind == 6) {
        out.outcome = Outcome::kTimeout;
        out.ends = now + out.send.timeout;
      }
    };
  };
  begin();
  int last = 0;
  for (int turn = 0; turn < 1500; ++turn) {
    machine.truth += 1 + up_to(kTurn);
    if (chance(2)) machine.wall_off += chance(50) ? kHour : -kHour;
    if (turn < 1200 && chance(15) && process->held() < 30) {
      const std::string id = "m" + std::to_string(++last);
      const Time given = 1 + up_to(chance(10) ? 5 * kMs : 6 * kSecond);
      known[id] = {machine.truth + given, given, given, 0};
      process->put(id, static_cast<int>(random() % 3), given);
    } else {
      process->step();
    }
    if (!chance(1)) continue;
    // SIGKILL, in the middle of a record or not.
    process.reset();
    if (chance(50)) folder.write(folder.bytes() + std::string("\x40\0\0\0torn", 8));
    machine.truth += up_to(3 * kSecond);
    if (boots) {
      machine.booted = machine.truth - up_to(kHour);
      ++machine.boot;
    }
    begin();
  }
  for (int turn = 0; turn < 1000 && process->held() > 0; ++turn) {
    machine.truth += 20 * kMs;
    process->step();
  }
  for (const auto& [id, k] : known) EXPECT_EQ(k.ends, 1) << id;
  EXPECT_GT(starts, 20);
  EXPECT_GT(lives, 2u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomBudgets, ::testing::Range<uint64_t>(1, 31));

}  // namespace
}  // namespace firspool::relay
