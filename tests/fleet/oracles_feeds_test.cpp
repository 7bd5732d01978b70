// feed_exact on sessions by hand: one that is given all once passes, through old cursors, gaps and fences;
// each break is seen.
#include <gtest/gtest.h>

#include "oracle_feeds.h"

namespace umberhoist::lab {
namespace {

const std::string kLog = "n0/a1";

// Messages 1 to 4 of acme at relay 0 are outcomes 1, 2, 4, 5; another's is 3.
struct Feed {
  explicit Feed(bool all = false) : subscribed_to_all(all) {
    oracle.subscribed(1, "acme/s", "acme", {});
    if (all) oracle.subscribed(1, "other/s", "other", {});
    for (int i = 1; i <= 5; ++i) {
      oracle.handed_in(std::to_string(i), i == 3 ? "other" : "acme", "dc1", 0);
      oracle.delivered(i + 1, std::to_string(i));
    }
  }
  FeedOutcome outcome(uint64_t number) const { return {kLog, number, std::to_string(number), "delivered"}; }
  void gave(const std::vector<uint64_t>& numbers, const std::vector<FeedGap>& gaps = {}) {
    std::vector<FeedOutcome> list;
    for (const uint64_t n : numbers) list.push_back(outcome(n));
    oracle.gave(10, "acme/s", 1, list, gaps);
  }
  std::string end() {
    oracle.finish(60, 59, {0, 1, 2}, subscribed_to_all);
    return oracle.verdict().first;
  }
  FeedExact oracle;
  bool subscribed_to_all;
};

std::string after(const std::function<void(Feed&)>& course) {
  Feed feed;
  course(feed);
  return feed.end();
}

TEST(FeedOracleTest, EachOutcomeOnceHolds) {
  EXPECT_EQ(after([](Feed& f) { f.gave({1, 2}), f.gave({4, 5}); }), "");
  // An older state and its cursor: what came after it comes again.
  EXPECT_EQ(after([](Feed& f) {
              f.gave({1, 2, 4});
              f.oracle.went_back("acme/s", 1);
              f.oracle.opened(11, "acme/s", 2, {{kLog, 1}}, {}, true);
              f.gave({2, 4, 5});
            }),
            "");
  // No cursor: from the last acknowledgement on.
  EXPECT_EQ(after([](Feed& f) {
              f.gave({1, 2});
              f.oracle.acknowledged(10, "acme/s", 1, {{kLog, 2}}, false);
              f.gave({4});
              f.oracle.opened(11, "acme/s", 2, {{kLog, 2}}, {}, false);
              f.gave({4, 5});
            }),
            "");
  EXPECT_EQ(after([](Feed& f) { f.gave({1}), f.gave({4, 5}, {{kLog, 2, 3}}); }), "");
}

TEST(FeedOracleTest, EachBreakIsSeen) {
  EXPECT_NE(after([](Feed& f) { f.gave({1, 2, 5}); }).find("never given message 4"), std::string::npos);
  EXPECT_NE(after([](Feed& f) { f.gave({1, 2, 4, 5}), f.gave({5}); }), "");  // twice
  EXPECT_NE(after([](Feed& f) { f.gave({1, 4, 2, 5}); }), "");               // out of order
  EXPECT_NE(after([](Feed& f) { f.gave({1, 2, 3, 4, 5}); }), "");            // another's
  EXPECT_NE(after([](Feed& f) {                                              // a gap that it does not lie in
              f.oracle.subscribed(1, "acme/t", "acme", {});
              f.oracle.gave(10, "acme/t", 1, {f.outcome(1), f.outcome(2), f.outcome(4), f.outcome(5)}, {});
              f.gave({1, 4, 5}, {{kLog, 3, 3}});
            }),
            "");
  EXPECT_NE(after([](Feed& f) {
              f.gave({4, 5}, {{kLog, 1, 1}});
            }).find("gaps of 1 were said"),
            std::string::npos);  // said too small
  EXPECT_NE(after([](Feed& f) {
              f.gave({1, 2, 4});
              f.oracle.acknowledged(10, "acme/s", 1, {{kLog, 4}}, false);
              f.oracle.opened(11, "acme/s", 2, {{kLog, 2}}, {}, false);  // it went back
              f.gave({4, 5});
            }),
            "");
  EXPECT_NE(after([](Feed& f) {
              f.gave({1, 2, 4, 5});
              f.oracle.acknowledged(10, "acme/s", 1, {}, true);
            }).find("fenced"),
            std::string::npos);
  EXPECT_NE(after([](Feed& f) {
              f.oracle.noticed(9, "2", "returned");
              f.gave({1, 2, 4, 5});
            }).find("its notice said returned"),
            std::string::npos);
}

// A log that is gone is said once; after that the fleet forgets it, and what was taken of it stays taken.
TEST(FeedOracleTest, ALogThatIsGoneAndForgottenIsNotTakenBack) {
  EXPECT_EQ(after([](Feed& f) {
              f.gave({1, 2, 4});
              f.oracle.opened(11, "acme/s", 2, {}, {{kLog, 5, 0}}, true);
              f.oracle.opened(12, "acme/s", 1, {}, {}, false);
            }),
            "");
}

TEST(FeedOracleTest, WhatNobodyCanHaveIsCountedAndNotHeldAgainstAnyone) {
  Feed f;
  f.oracle.emptied(8, 0);
  EXPECT_EQ(f.end(), "");
  EXPECT_EQ(f.oracle.out_of_reach(), 4u);
}

TEST(FeedOracleTest, AHoleBetweenAllSubscriptionsIsSeen) {
  Feed whole(true), hole(true);
  for (Feed* f : {&whole, &hole}) f->gave({1, 2, 4, 5});
  whole.oracle.gave(10, "other/s", 1, {whole.outcome(3)}, {});
  EXPECT_EQ(whole.end(), "");
  EXPECT_NE(hole.end(), "");
}

}  // namespace
}  // namespace umberhoist::lab
