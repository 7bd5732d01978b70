// One time budget for each message, over stages, restarts and steps of the clocks.
#include "budget.h"

#include <boost/crc.hpp>
#include <cstring>

#include "budget_machine.h"
#include "gtest/gtest.h"

namespace firspool::relay {
namespace {

TEST(Budget, BeginsWhereTheRequestWasRead) {
  const Budget budget = Budget::begin(10 * kSecond, 3 * kSecond);
  EXPECT_EQ(budget.due(), 13 * kSecond - 2 * kMs);  // its way here took some
  EXPECT_EQ(budget.left(12 * kSecond), kSecond - 2 * kMs);
  EXPECT_EQ(budget.left(14 * kSecond), 0);
  EXPECT_TRUE(budget.over(13 * kSecond));
  EXPECT_EQ(budget.cap(20 * kSecond), budget.due());
  EXPECT_EQ(Budget::begin(kSecond, 1).left(kSecond), 0);
  EXPECT_EQ(Budget::begin(kSecond, std::numeric_limits<Time>::max()).left(kSecond), Budget::kMost - 2 * kMs);
}

TEST(Budget, IsToldInAUnitThatIsNeverMoreThanIsLeft) {
  EXPECT_EQ(budget_text(0), "0u");
  EXPECT_EQ(budget_text(1), "1u");
  EXPECT_EQ(budget_text(9'999), "9999u");
  EXPECT_EQ(budget_text(10'999), "10m");
  EXPECT_EQ(budget_text(kHour), "3600000m");
  EXPECT_EQ(budget_text(-5), "0u");
}

TEST(Clocks, InOneBootOnlyTheSteadyOneCounts) {
  const Instant then{100 * kSecond, 1'000 * kHour, 7};
  for (const Time step : {-kHour, Time{0}, kHour}) {
    EXPECT_EQ(here(then, {105 * kSecond, 1'000 * kHour + 5 * kSecond + step, 7}), 100 * kSecond);
  }
}

TEST(Clocks, AfterAnotherBootTheWallClockCountsButNeverBackwards) {
  const Instant then{100 * kSecond, 1'000 * kHour, 7};
  EXPECT_EQ(here(then, {3 * kSecond, 1'000 * kHour + 5 * kSecond, 8}), -2 * kSecond);
  EXPECT_EQ(here(then, {3 * kSecond, 999 * kHour, 8}), 3 * kSecond);
  EXPECT_EQ(here({100, 5, 0}, {200, 6, 0}), 199);  // not known: no boot is the same
}

class JournalTimes : public ::testing::Test {
 protected:
  Clock clock() {
    return [this] { return machine_.now(); };
  }
  // A message that is given so long now, and a first attempt.
  void take(Time given) {
    Journal journal(folder_.place(), 500'000, clock());
    Handed message{"a", "keyed", "key", 7, Budget::begin(machine_.steady(), given), "body", "acme", rules_};
    ASSERT_TRUE(journal.accepted(message));
    ASSERT_TRUE(journal.attempt("a", 0, 1));
  }
  Recovered recovered() {
    Journal journal(folder_.place(), 500'000, clock());
    return journal.recovered().at(0);
  }
  Time left() { return recovered().message.budget.left(machine_.steady()); }
  void reboot(Time down, Time step) {
    machine_.truth += down;
    machine_.booted = machine_.truth;
    machine_.wall_off += step;
    ++machine_.boot;
  }

  Folder folder_;
  Machine machine_;
  std::shared_ptr<const MessageRules> rules_ = [] {
    MessageRules rules;
    rules.time_to_live = 30 * kSecond;
    return std::make_shared<const MessageRules>(rules);
  }();
};

TEST_F(JournalTimes, AStepOfTheWallClockBetweenTwoProcessesChangesNothing) {
  for (const Time step : {-kHour, kHour}) {
    take(20 * kSecond);
    const Time sent = machine_.steady();
    machine_.truth += 4 * kSecond;
    machine_.wall_off += step;
    EXPECT_EQ(left(), 16 * kSecond - 2 * kMs);
    EXPECT_EQ(recovered().unsettled.at(0).first, sent);
    machine_.wall_off -= step;
    Journal(folder_.place(), 500'000, clock()).done("a");
  }
}

TEST_F(JournalTimes, AfterABootTheTimeDownCountsAsTheWallClockHasIt) {
  take(20 * kSecond);
  reboot(4 * kSecond, 0);
  EXPECT_EQ(left(), 16 * kSecond - 2 * kMs);
  EXPECT_EQ(machine_.steady() - recovered().unsettled.at(0).first, 4 * kSecond);
}

TEST_F(JournalTimes, NoBootLeavesMoreThanWasLeft) {
  take(20 * kSecond);
  reboot(4 * kSecond, -kHour);
  EXPECT_EQ(left(), 20 * kSecond - 2 * kMs);  // that much was left at the last record
  machine_.truth += 5 * kSecond;
  EXPECT_EQ(left(), 15 * kSecond - 2 * kMs);
  reboot(0, -kHour);
  EXPECT_LE(left(), 20 * kSecond - 2 * kMs);
}

TEST_F(JournalTimes, ABootThatSetsTheClockForwardEndsAMessageByNoMoreThanThat) {
  take(20 * kSecond);
  reboot(4 * kSecond, 10 * kSecond);
  EXPECT_EQ(left(), 6 * kSecond - 2 * kMs);
}

// Without its last `cut` bytes a record is one of the version before.
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

TEST_F(JournalTimes, RecordsOfTheVersionBeforeGoByTheWallClock) {
  take(20 * kSecond);
  folder_.write(shortened(shortened(folder_.bytes(), 'A', 32), 'T', 24));
  machine_.truth += 4 * kSecond;
  EXPECT_EQ(left(), 16 * kSecond - 2 * kMs);
  EXPECT_EQ(machine_.steady() - recovered().unsettled.at(0).first, 4 * kSecond);
  // And once read, by the steady one.
  machine_.wall_off += kHour;
  EXPECT_EQ(left(), 16 * kSecond - 2 * kMs);
}

TEST_F(JournalTimes, RecordsOfTheVersionBeforeHaveNoMoreThanTheirClassGives) {
  take(20 * kSecond);
  folder_.write(shortened(shortened(folder_.bytes(), 'A', 32), 'T', 24));
  machine_.wall_off -= kHour;
  EXPECT_EQ(left(), 30 * kSecond);
}

}  // namespace
}  // namespace firspool::relay
