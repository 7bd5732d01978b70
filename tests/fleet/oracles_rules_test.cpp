// rules_kept and hits_exact on messages by hand: the lab's own reading of the rules, which policy may have
// been in force, and each break that a relay may commit.
#include <gtest/gtest.h>

#include "oracle_hits.h"
#include "oracle_rules.h"

namespace umberhoist::lab {
namespace {

// acme: class status not to dc2; partner 9 not at all from dc1; partner 4 at two calls a second.
struct World {
  World() {
    book.zones = {"dc1", "dc2"};
    book.kinds = {"principal", "agent"};
    CustomerRules acme;
    acme.otherwise = "allow";
    acme.rules = {{"no-south", "deny", {"status"}, {7}, {}, {}, {"dc2"}, 0},
                  {"shut", "deny", {}, {9}, {}, {"dc1"}, {}, 0},
                  {"slow", "limit", {}, {4}, {}, {}, {}, 2},
                  {"near", "prefer", {}, {5}, {}, {}, {"dc1"}, 0}};
    book.generations[0].access["acme"] = acme;
  }
  Ruling ruling(const std::string& message_class, int destination, const std::string& from = "dc1",
                const std::string& customer = "acme", int generation = 0) const {
    return book.ruling(generation, {customer, message_class, destination, from});
  }
  std::string came(const std::string& message_class, int destination, DoorRecord::How how,
                   const std::string& denied_by = "") {
    const std::string id = "m" + std::to_string(++count);
    door.handed_in(10, id, 0, {"acme", message_class, destination, "dc1"});
    const std::string lines[] = {"", "+OK", "-DENIED " + denied_by, "-BUSY 10"};
    door.answered(10.1, id, lines[static_cast<int>(how)]);
    return id;
  }
  std::string judged() const {
    RulesKept oracle(book, versions);
    for (const auto& [id, record] : door.records()) oracle.judge(id, record);
    EXPECT_GT(oracle.verdict().checked, 0u);
    return oracle.verdict().first;
  }

  PolicyBook book;
  Versions versions{3};
  Door door;
  int count = 0;
};
using How = DoorRecord::How;
using Names = std::vector<std::string>;

TEST(RuleReadingTest, TheFirstMatchDecidesEachWay) {
  const World w;
  const Ruling south = w.ruling("status", 7);
  EXPECT_TRUE(south.ways.at({"dc1", "agent"}).allowed);
  EXPECT_FALSE(south.ways.at({"dc2", "agent"}).allowed);
  EXPECT_EQ(south.hits, (Names{"default", "no-south"}));
  EXPECT_FALSE(south.denied);
  EXPECT_TRUE(w.ruling("status", 9).denied);
  EXPECT_EQ(w.ruling("status", 9).denying, Names{"shut"});
  EXPECT_FALSE(w.ruling("status", 9, "dc2").denied);
  EXPECT_EQ(w.ruling("record", 4).ways.at({"dc2", "agent"}).limit, "slow");
  EXPECT_EQ(w.ruling("record", 5).hits, Names{"near"});  // where it prefers is no condition
  EXPECT_TRUE(w.ruling("status", 9, "dc1", "other").hits.empty());
}

TEST(RulesOracleTest, WhatTheRulesHaveHolds) {
  World w;
  w.door.call(11, 11, w.came("status", 7, How::kTaken), "dc1", "agent");
  w.came("status", 9, How::kDenied, "shut");
  w.came("record", 7, How::kRefused);
  EXPECT_EQ(w.judged(), "");
}

TEST(RulesOracleTest, EachBreakIsSeen) {
  const auto broken = [](const std::function<void(World&)>& course) {
    World w;
    course(w);
    return w.judged();
  };
  EXPECT_NE(broken([](World& w) {
              w.door.call(11, 11, w.came("status", 7, How::kTaken), "dc2", "agent");
            }).find("no-south"),
            std::string::npos);
  EXPECT_NE(broken([](World& w) { w.came("status", 9, How::kTaken); }), "");
  EXPECT_NE(broken([](World& w) { w.came("status", 9, How::kDenied, "no-south"); }), "");
  EXPECT_NE(broken([](World& w) { w.came("status", 7, How::kDenied, "no-south"); }), "");
  EXPECT_NE(broken([](World& w) { w.came("record", 7, How::kDenied, "shut"); }), "");
}

// A change at 10: what came before it was seen anywhere may be under either, what came long after may not.
TEST(RulesOracleTest, AMessageIsHeldToThePolicyItCameUnder) {
  const auto call_at = [](double sent) {
    World w;
    w.book.generations[1];  // no rules
    w.versions.acted(1, 0.9, 0, 0);
    w.versions.proposed(9, 1);
    w.versions.acted(10, 9.9, 1, 1);
    w.versions.acted(11, 10.9, 0, 1);
    w.door.handed_in(sent, "m", 0, {"acme", "status", 9, "dc1"});
    w.door.answered(sent + 0.1, "m", "-DENIED shut");
    return w.judged();
  };
  EXPECT_EQ(call_at(5), "");
  EXPECT_EQ(call_at(10.5), "");  // relay 0 may not have changed yet
  EXPECT_NE(call_at(11.5), "");  // it has
}

TEST(VersionsTest, OnlyWhatMayBeInForceIsPossible) {
  Versions v(3);
  EXPECT_EQ(v.possible(0, 5, 6), std::vector<int>{0});
  v.proposed(9, 1);
  EXPECT_EQ(v.possible(0, 8, 8.5), std::vector<int>{0});
  EXPECT_EQ(v.possible(0, 9, 9.5), (std::vector<int>{0, 1}));
  v.acted(10, 9.9, 1, 1);
  EXPECT_EQ(v.possible(0, 12, 12.1), (std::vector<int>{0, 1}));
  EXPECT_EQ(v.possible(0, 13.5, 13.6), std::vector<int>{1});  // longer than two are in force at once
  EXPECT_EQ(v.possible(1, 10.1, 10.2), std::vector<int>{1});  // it acted under the new one
  v.acted(9.8, 9.7, 0, 0);
  EXPECT_EQ(v.possible(0, 9.2, 9.6), std::vector<int>{0});  // it acted under the old one later
  v.proposed(20, 2);
  v.never(2);
  EXPECT_EQ(v.possible(0, 21, 22), std::vector<int>{1});
}

TEST(HitsOracleTest, CountsLieBetweenTheCertainAndTheDoubtful) {
  World w;
  w.came("status", 7, How::kTaken);
  w.came("status", 9, How::kDenied, "shut");
  w.came("status", 7, How::kRefused);
  w.came("status", 9, How::kOpen);  // its answer was lost
  HitsExact oracle(w.book, w.versions);
  const HitsExact::Bounds bounds = oracle.expected(w.door);
  EXPECT_EQ(bounds.messages_in_doubt, 1u);
  HitsExact::Counts counts = {{{"acme", "no-south"}, 1}, {{"acme", "default"}, 1}, {{"acme", "shut"}, 1}};
  EXPECT_EQ(HitsExact::wrong(bounds, counts), "");
  counts[{"acme", "shut"}] = 2;
  EXPECT_EQ(HitsExact::wrong(bounds, counts), "");
  counts[{"acme", "shut"}] = 3;
  EXPECT_NE(HitsExact::wrong(bounds, counts).find("acme/shut has 3"), std::string::npos);
  counts[{"acme", "shut"}] = 1;
  counts[{"acme", "no-south"}] = 0;
  oracle.final_counts(90, 2, bounds, counts);
  EXPECT_FALSE(oracle.verdict().held());
}

TEST(HitsOracleTest, ACountThatGoesBackIsSeenButNotThatOfAnEmptiedFolder) {
  const World w;
  HitsExact oracle(w.book, w.versions);
  oracle.told(1, 0, {{{"acme", "shut"}, 5}});
  oracle.told(2, 1, {{{"acme", "shut"}, 4}});  // another relay may be behind
  oracle.told(3, 0, {{{"acme", "shut"}, 5}});
  oracle.emptied(4, 1);
  oracle.told(5, 1, {{{"acme", "shut"}, 3}});
  EXPECT_TRUE(oracle.verdict().held());
  oracle.told(6, 0, {});
  EXPECT_FALSE(oracle.verdict().held());
}

}  // namespace
}  // namespace umberhoist::lab
