// budget_kept on streams of calls by hand: one that keeps to its whole passes, one that does not is seen.
#include <gtest/gtest.h>

#include "figures.h"
#include "oracle_budgets.h"

namespace umberhoist::lab {
namespace {

BudgetKept judge(double per_s, const std::function<void(BudgetKept&)>& course) {
  BudgetKept out({}, 3);
  out.whole(-1000, "dest/7", per_s);
  out.serving(0, true);
  course(out);
  return out;
}

void evenly(BudgetKept& to, double from, double until, double per_s) {
  int i = 0;
  for (double t = from; t < until; t += 1 / per_s) to.call(t, "dest/7", i++ % 3);
}

TEST(BudgetOracleTest, TheWholeAndItsBurstAreKept) {
  const BudgetKept kept = judge(10, [](BudgetKept& o) {
    for (int i = 0; i < 20; ++i) o.call(5, "dest/7", 0);  // what was saved up and what was on its way
    evenly(o, 5, 40, 10);
  });
  EXPECT_TRUE(kept.verdict().held()) << kept.verdict().first;
  EXPECT_GT(kept.verdict().checked, 1000u);
  EXPECT_GT(kept.largest_ratio(), 0.9);
  EXPECT_GT(kept.over_whole(), 5u);  // beyond the plain bucket
}

// Two relays that each spend the whole: within two seconds nothing shows, within five it does.
TEST(BudgetOracleTest, AWholeThatIsSpentTwiceIsSeen) {
  const BudgetKept twice = judge(10, [](BudgetKept& o) { evenly(o, 0, 15, 20); });
  EXPECT_FALSE(twice.verdict().held());
  EXPECT_NE(twice.verdict().first.find("dest/7"), std::string::npos);
  EXPECT_GT(twice.largest_ratio(), 1);
}

TEST(BudgetOracleTest, HalfACallASecondIsCountedInWholeCalls) {
  EXPECT_TRUE(judge(0.5, [](BudgetKept& o) { evenly(o, 0, 60, 0.5); }).verdict().held());
  // Three relays that save up a half each, and spend it at one moment.
  EXPECT_FALSE(judge(0.5,
                     [](BudgetKept& o) {
                       for (int i = 0; i < 4; ++i) o.call(20, "dest/7", i % 3);
                     })
                   .verdict()
                   .held());
}

TEST(BudgetOracleTest, ALoweredWholeHasATermAndSixSecondsToBeHeardOf) {
  const auto lowered = [](double until) {
    return judge(20, [until](BudgetKept& o) {
      evenly(o, 0, 10, 20);
      o.whole(10, "dest/7", 5);
      evenly(o, 10, until, 20);
      evenly(o, until, 60, 5);
    });
  };
  EXPECT_TRUE(lowered(18).verdict().held()) << lowered(18).verdict().first;
  EXPECT_FALSE(lowered(25).verdict().held());
}

TEST(BudgetOracleTest, SharesAreOfScarceWholesWhileAllServe) {
  const BudgetKept even = judge(10, [](BudgetKept& o) { evenly(o, 0, 40, 10); });
  EXPECT_GT(jain(even.shares()), 0.99);
  const BudgetKept one = judge(10, [](BudgetKept& o) {
    for (double t = 0; t < 40; t += 0.1) o.call(t, "dest/7", 1);
  });
  EXPECT_LT(jain(one.shares()), 0.4);
  const BudgetKept away = judge(10, [](BudgetKept& o) {
    o.serving(1, false);
    evenly(o, 1, 40, 10);
  });
  EXPECT_EQ(away.shares(), std::vector<double>(3, 0));
}

}  // namespace
}  // namespace umberhoist::lab
