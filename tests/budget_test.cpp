// The time budget of a message over stages, restarts and clock steps.
#include "budget.h"

#include <boost/crc.hpp>
#include <cstring>

#include "budget_clocks.h"
#include "gtest/gtest.h"

namespace firspool::relay {
namespace {

TEST(Budget, StartsWhenTheRequestIsRead) {
  const Budget budget = Budget::begin(10 * kSecond, 3 * kSecond);
  EXPECT_EQ(budget.due(), 13 * kSecond - 2 * kMs);  // 2 ms are deducted for the way here
  EXPECT_EQ(budget.left(12 * kSecond), kSecond - 2 * kMs);
  EXPECT_EQ(budget.left(14 * kSecond), 0);
  EXPECT_TRUE(budget.over(13 * kSecond));
  EXPECT_EQ(budget.cap(20 * kSecond), budget.due());
  EXPECT_EQ(Budget::begin(kSecond, 1).left(kSecond), 0);
  EXPECT_EQ(Budget::begin(kSecond, std::numeric_limits<Time>::max()).left(kSecond), Budget::kMost - 2 * kMs);
}

TEST(Budget, TextIsRoundedDownToItsUnit) {
  EXPECT_EQ(budget_text(0), "0u");
  EXPECT_EQ(budget_text(1), "1u");
  EXPECT_EQ(budget_text(9'999), "9999u");
  EXPECT_EQ(budget_text(10'999), "10m");
  EXPECT_EQ(budget_text(kHour), "3600000m");
  EXPECT_EQ(budget_text(-5), "0u");
}

TEST(Clocks, WithinOneBootOnlyTheSteadyClockCounts) {
  const Instant then{100 * kSecond, 1'000 * kHour, 7};
  for (const Time step : {-kHour, Time{0}, kHour}) {
    EXPECT_EQ(here(then, {105 * kSecond, 1'000 * kHour + 5 * kSecond + step, 7}), 100 * kSecond);
  }
}

TEST(Clocks, AfterAnotherBootTheWallClockCountsButNeverBackwards) {
  const Instant then{100 * kSecond, 1'000 * kHour, 7};
  EXPECT_EQ(here(then, {3 * kSecond, 1'000 * kHour + 5 * kSecond, 8}), -2 * kSecond);
  EXPECT_EQ(here(then, {3 * kSecond, 999 * kHour, 8}), 3 * kSecond);
  EXPECT_EQ(here({100, 5, 0}, {200, 6, 0}), 199);  // boot 0 is unknown and never matches
}

class JournalTimes : public ::testing::Test {
 protected:
  Clock clock() {
    return [this] { return clocks_.now(); };
  }
  // Journals a message with this time budget and its first attempt.
  void record_message(Time budget) {
    Journal journal(folder_.place(), 500'000, clock());
    Handed message{"a", "keyed", "key", 7, Budget::begin(clocks_.steady(), budget), "body", "acme", rules_};
    ASSERT_TRUE(journal.accepted(message));
    ASSERT_TRUE(journal.attempt("a", 0, 1));
  }
  Recovered recovered() {
    Journal journal(folder_.place(), 500'000, clock());
    return journal.recovered().at(0);
  }
  Time remaining() { return recovered().message.budget.left(clocks_.steady()); }
  void reboot(Time downtime, Time step) {
    clocks_.true_time += downtime;
    clocks_.boot_time = clocks_.true_time;
    clocks_.wall_offset += step;
    ++clocks_.boot_id;
  }

  TemporaryFolder folder_;
  SimulatedClocks clocks_;
  std::shared_ptr<const MessageRules> rules_ = [] {
    MessageRules rules;
    rules.time_to_live = 30 * kSecond;
    return std::make_shared<const MessageRules>(rules);
  }();
};

TEST_F(JournalTimes, AWallClockStepBetweenTwoProcessesChangesNothing) {
  for (const Time step : {-kHour, kHour}) {
    record_message(20 * kSecond);
    const Time sent = clocks_.steady();
    clocks_.true_time += 4 * kSecond;
    clocks_.wall_offset += step;
    EXPECT_EQ(remaining(), 16 * kSecond - 2 * kMs);
    EXPECT_EQ(recovered().unsettled.at(0).first, sent);
    clocks_.wall_offset -= step;
    Journal(folder_.place(), 500'000, clock()).done("a");
  }
}

TEST_F(JournalTimes, AfterABootTheDowntimeCountsByTheWallClock) {
  record_message(20 * kSecond);
  reboot(4 * kSecond, 0);
  EXPECT_EQ(remaining(), 16 * kSecond - 2 * kMs);
  EXPECT_EQ(clocks_.steady() - recovered().unsettled.at(0).first, 4 * kSecond);
}

TEST_F(JournalTimes, ABootNeverIncreasesTheRemainingBudget) {
  record_message(20 * kSecond);
  reboot(4 * kSecond, -kHour);
  EXPECT_EQ(remaining(), 20 * kSecond - 2 * kMs);  // as much as at the last record
  clocks_.true_time += 5 * kSecond;
  EXPECT_EQ(remaining(), 15 * kSecond - 2 * kMs);
  reboot(0, -kHour);
  EXPECT_LE(remaining(), 20 * kSecond - 2 * kMs);
}

TEST_F(JournalTimes, AForwardClockStepAtBootShortensABudgetByNoMoreThanTheStep) {
  record_message(20 * kSecond);
  reboot(4 * kSecond, 10 * kSecond);
  EXPECT_EQ(remaining(), 6 * kSecond - 2 * kMs);
}

// Removes the last `cut` bytes from records of this kind, which turns them into records of the previous
// version.
std::string shortened(const std::string& bytes, char kind, size_t cut) {
  std::string out;
  for (size_t at = 0; at < bytes.size();) {
    uint32_t head[2];
    std::memcpy(head, bytes.data() + at, sizeof head);
    std::string payload = bytes.substr(at + sizeof head, head[0]);
    at += sizeof head + head[0];
    if (payload[0] == kind) payload.resize(payload.size() - cut);
    boost::crc_32_type crc;
    crc.process_bytes(payload.data(), payload.size());
    head[0] = static_cast<uint32_t>(payload.size());
    head[1] = crc.checksum();
    out.append(reinterpret_cast<const char*>(head), sizeof head).append(payload);
  }
  return out;
}

TEST_F(JournalTimes, RecordsOfThePreviousVersionUseTheWallClock) {
  record_message(20 * kSecond);
  folder_.write(shortened(shortened(folder_.bytes(), 'A', 32), 'T', 24));
  clocks_.true_time += 4 * kSecond;
  EXPECT_EQ(remaining(), 16 * kSecond - 2 * kMs);
  EXPECT_EQ(clocks_.steady() - recovered().unsettled.at(0).first, 4 * kSecond);
  // Once read, it counts by the steady clock.
  clocks_.wall_offset += kHour;
  EXPECT_EQ(remaining(), 16 * kSecond - 2 * kMs);
}

TEST_F(JournalTimes, RecordsOfThePreviousVersionAreLimitedByTheirClass) {
  record_message(20 * kSecond);
  folder_.write(shortened(shortened(folder_.bytes(), 'A', 32), 'T', 24));
  clocks_.wall_offset -= kHour;
  EXPECT_EQ(remaining(), 30 * kSecond);
}

}  // namespace
}  // namespace firspool::relay
