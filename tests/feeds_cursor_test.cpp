// Cursors, the table of reconcile.h, and the log of one origin.
#include <gtest/gtest.h>

#include "../fleet/records.h"
#include "memory_files.h"
#include "positions_codec.h"

namespace umberhoist::feeds {
namespace {

const std::string kCluster = "c";
const Feed kFeed{"acme", "billing"};

std::string shown(Positions taken) { return text_of(Cursor{kCluster, kFeed, 3, std::move(taken)}); }

std::string code_of(const std::string& text, const std::string& cluster, const Feed& feed) {
  try {
    (void)read_cursor(text, cluster, feed);
    return "";
  } catch (const OperatorError& fault) {
    return fault.code();
  }
}

TEST(FeedCursor, IsReadBackAndRefusedByName) {
  const Cursor cursor{kCluster, kFeed, 7, {{{"n1", 5}, 40}, {{"n2", ~uint64_t{0}}, 1}}};
  const std::string text = text_of(cursor);
  EXPECT_EQ(read_cursor(text, kCluster, kFeed), cursor);
  EXPECT_EQ(code_of(text, "d", kFeed), "cursor_of_other_cluster");
  EXPECT_EQ(code_of(text, kCluster, {"acme", "support"}), "cursor_of_other_feed");
  EXPECT_EQ(code_of(text, kCluster, {"other", "billing"}), "cursor_of_other_feed");
  EXPECT_EQ(code_of("", kCluster, kFeed), "cursor_malformed");
  for (size_t i = 0; i < text.size(); ++i) {  // each letter counts, and each length
    std::string bad = text;
    bad[i] = bad[i] == 'A' ? 'B' : 'A';
    EXPECT_EQ(code_of(bad, kCluster, kFeed), "cursor_malformed") << i;
    EXPECT_EQ(code_of(text.substr(0, i), kCluster, kFeed), "cursor_malformed") << i;
  }
}

TEST(FeedCursor, OfANewerBuildIsToldApart) {
  EXPECT_EQ(code_of(sealed(fleet::to_cbor({kCursorFormat + 1, "all else is its own"})), kCluster, kFeed),
            "cursor_of_newer_build");
}

const Origin kA{"n1", 1}, kB{"n2", 2};
Holdings held(uint64_t a_trimmed, uint64_t a_last, uint64_t b_last = 100) {
  return {{"n1", {{Log{1, a_trimmed, a_last}}}}, {"n2", {{Log{2, 0, b_last}}}}};
}
Start go(std::optional<Positions> show, const Positions& remembered, const Holdings& holdings) {
  return reconcile(show ? std::optional(shown(*show)) : std::nullopt, kCluster, kFeed, remembered, holdings);
}

struct Case {
  const char* name;
  std::optional<Positions> show;
  Positions remembered;
  Holdings holdings;
  Positions start, after;  // and what is remembered from then on
  std::vector<Gap> gaps;
  std::vector<Missing> missing;
};

TEST(FeedReconcile, Table) {
  const std::optional<std::vector<Log>> down;
  const Case cases[] = {
      {"nothing shown", {}, {{kA, 5}}, held(0, 9), {{kA, 5}, {kB, 0}}, {{kA, 5}}, {}, {}},
      {"a new subscription", {}, {}, held(0, 9), {{kA, 0}, {kB, 0}}, {}, {}, {}},
      {"shown ahead", {{{kA, 7}}}, {{kA, 5}}, held(0, 9), {{kA, 7}, {kB, 0}}, {{kA, 7}}, {}, {}},
      {"shown behind: sent again", {{{kA, 2}}}, {{kA, 5}}, held(0, 9), {{kA, 2}, {kB, 0}}, {{kA, 5}}, {}, {}},
      {"an origin not shown: sent again",
       {Positions{}},
       {{kA, 5}},
       held(0, 9),
       {{kA, 0}, {kB, 0}},
       {{kA, 5}},
       {},
       {}},
      {"ahead in one, behind in another",
       {{{kA, 7}, {kB, 1}}},
       {{kA, 5}, {kB, 8}},
       held(0, 9),
       {{kA, 7}, {kB, 1}},
       {{kA, 7}, {kB, 8}},
       {},
       {}},
      {"trimmed past",
       {{{kA, 3}, {kB, 4}}},
       {},
       held(6, 9),
       {{kA, 6}, {kB, 4}},
       {{kA, 3}, {kB, 4}},
       {{kA, 4, 6, Why::kTrimmed}},
       {}},
      {"a new subscription after a trim",
       {},
       {},
       held(6, 9),
       {{kA, 6}, {kB, 0}},
       {},
       {{kA, 1, 6, Why::kTrimmed}},
       {}},
      {"emptied since",
       {{{kA, 3}}},
       {{kA, 2}},
       {{"n1", {{Log{9, 0, 4}}}}},
       {{{"n1", 9}, 0}},
       {{kA, 3}},
       {{kA, 4, {}, Why::kGone}},
       {}},
      {"ahead of the origin",
       {{{kA, 30}}},
       {{kA, 2}},
       {{"n1", {{Log{1, 0, 9}}}}},
       {{kA, 30}},
       {{kA, 2}},
       {},
       {{kA, Why::kRolledBack}}},
      {"does not answer",
       {{{kA, 3}}},
       {},
       {{"n1", down}, {"n2", down}},
       {{kA, 3}},
       {{kA, 3}},
       {},
       {{kA, Why::kUnreachable}, {{"n2", 0}, Why::kUnreachable}}},
      {"unknown to the view", {{{kA, 3}}}, {}, {}, {{kA, 3}}, {{kA, 3}}, {}, {{kA, Why::kLeft}}},
  };
  for (const Case& c : cases) {
    const Start got = go(c.show, c.remembered, c.holdings);
    EXPECT_EQ(got.positions, c.start) << c.name;
    EXPECT_EQ(got.remembered, c.after) << c.name;
    EXPECT_EQ(got.gaps, c.gaps) << c.name;
    EXPECT_EQ(got.missing, c.missing) << c.name;
  }
  EXPECT_THROW(reconcile("x", kCluster, kFeed, {}, {}), OperatorError);
}

TEST(FeedReconcile, OriginsThatLeftGoWhereThereIsNoRoom) {
  Positions taken{{kA, 3}};
  for (uint64_t i = 1; i < kMostOrigins; ++i) taken[{"gone", i}] = 10;
  const Start got = settle(taken, held(0, 9));
  EXPECT_EQ(got.positions.size(), kMostOrigins);
  ASSERT_EQ(got.gaps.size(), 1U);  // for kB
  EXPECT_EQ(got.gaps[0], (Gap{{"gone", 1}, 11, {}, Why::kLeft}));
}

Outcome outcome(uint64_t number, int64_t time = 0, std::string customer = "acme",
                std::string region = "dc1") {
  return {
      number,           "m" + std::to_string(number), std::move(customer), "k", Answer::kDelivered, time, "",
      std::move(region)};
}
std::vector<uint64_t> numbers(const Slice& slice) {
  std::vector<uint64_t> out;
  for (const Outcome& o : slice.outcomes) out.push_back(o.number);
  return out;
}
using Numbers = std::vector<uint64_t>;

TEST(FeedLog, TornAtEachByteHoldsWhatWasWholeAndGoesOn) {
  MemoryFiles whole;
  std::vector<size_t> ends;  // of the back, after each append
  OutcomeLog log(whole, {1 << 20, 1000}, 7);
  for (uint64_t n = 1; n <= 4; ++n) {
    ends.push_back(whole.back.size());
    ASSERT_TRUE(log.append(outcome(n), 0));
  }
  for (size_t size = ends[0]; size <= whole.back.size(); ++size) {
    MemoryFiles torn;
    torn.back = whole.back.substr(0, size);
    const auto kept = static_cast<uint64_t>(std::ranges::upper_bound(ends, size) - ends.begin()) - 1 +
                      (size == whole.back.size() ? 1 : 0);
    OutcomeLog again(torn, {1 << 20, 1000}, 8);
    EXPECT_EQ(again.number(), 7U);
    EXPECT_EQ(again.last(), kept);
    ASSERT_TRUE(again.append(outcome(kept + 1), 0));
    EXPECT_EQ(OutcomeLog(torn, {1 << 20, 1000}, 9).last(), kept + 1);
  }
  MemoryFiles corrupt = whole;
  corrupt.back[ends[1] + 20] ^= 1;
  const OutcomeLog other(corrupt, {1 << 20, 1000}, 8);
  EXPECT_EQ(other.number(), 8U);
  EXPECT_EQ(other.last(), 0U);
}

TEST(FeedLog, IsTrimmedBySizeAndAgeAndTellsWhatIsGone) {
  MemoryFiles files;
  OutcomeLog log(files, {2000, 1000}, 7);
  uint64_t n = 0;
  ASSERT_TRUE(log.append(outcome(++n, 0, "rare", "dc2"), 0));
  while (log.first() == 1) {
    ASSERT_TRUE(log.append(outcome(n + 1), 0));
    ++n;
    ASSERT_LE(log.bytes(), 2000U);
    ASSERT_LT(n, 100U);
  }
  EXPECT_EQ(log.trimmed_of("rare"), 1U);
  EXPECT_EQ(log.trimmed_of("acme"), log.first() - 1);
  EXPECT_EQ(log.trimmed_of("nobody"), 0U);
  const Slice all = log.read("acme", {}, log.first() - 1, 1000, 1 << 20);
  EXPECT_EQ(all.outcomes.size(), n + 1 - log.first());
  EXPECT_EQ(all.through, n);
  const Slice some = log.read("acme", {}, log.first() - 1, 2, 1 << 20);
  EXPECT_EQ(numbers(some), (Numbers{log.first(), log.first() + 1}));
  EXPECT_EQ(some.through, log.first() + 1);
  EXPECT_TRUE(log.read("acme", {"dc2"}, 0, 1000, 1 << 20).outcomes.empty());
  // A crash between the two steps of a trim, and a start from what is there then.
  MemoryFiles between = files;
  ASSERT_TRUE(between.promote());
  OutcomeLog again(between, {2000, 1000}, 8);
  EXPECT_EQ(again.number(), 7U);
  EXPECT_EQ(again.last(), n);
  // By age: within two ages all is gone, and the numbers go on.
  log.trim(1001);
  log.trim(2002);
  EXPECT_EQ(log.trimmed_of("acme"), n);
  OutcomeLog later(files, {2000, 1000}, 8);
  EXPECT_EQ(later.next(), n + 1);
  EXPECT_EQ(later.trimmed_of("acme"), n);
  EXPECT_EQ(later.trimmed_of("rare"), 1U);
}

TEST(FeedLog, WithoutRoomOnDiskNothingIsLost) {
  MemoryFiles files;
  OutcomeLog log(files, {2000, 1000}, 7);
  ASSERT_TRUE(log.append(outcome(1), 0));
  files.full = true;
  EXPECT_FALSE(log.append(outcome(2), 0));
  EXPECT_EQ(log.next(), 2U);
  files.full = false;
  EXPECT_TRUE(log.append(outcome(2), 0));
  EXPECT_EQ(numbers(log.read("acme", {}, 0, 10, 1 << 20)), (Numbers{1, 2}));
}

}  // namespace
}  // namespace umberhoist::feeds
