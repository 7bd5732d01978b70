// Validation of customers' rules: which rules are rejected, with which error.
#include "access_rules.h"

#include <gtest/gtest.h>

#include <set>

#include "../access/shadow.h"

namespace umberhoist::access::testing {
namespace {

std::string code_of(const json& settings) {
  try {
    (void)parse_rules(settings);
    return "";
  } catch (const OperatorError& fault) {
    return fault.code();
  }
}

TEST(AccessRules, RejectsInvalidRulesWithTheirErrorCode) {
  const auto one = [](json more) { return code_of(settings_with({rule(std::move(more))})); };
  EXPECT_EQ(one({{"class", {"record"}}}), "");
  EXPECT_EQ(one({{"class", {"nosuch"}}}), "rules_unknown_name");
  EXPECT_EQ(one({{"kind", {"nosuch"}}}), "rules_unknown_name");
  EXPECT_EQ(one({{"from", {"dc9"}}}), "rules_unknown_name");
  EXPECT_EQ(one({{"to", {7}}}), "rules_unknown_name");
  EXPECT_EQ(one({{"to", json::array()}}), "rules_malformed");
  EXPECT_EQ(one({{"to", "dc1"}}), "rules_malformed");
  for (const json& partner : {json("7"), json(-1), json(1.5), json(3'000'000'000u)}) {
    EXPECT_EQ(one({{"partner", {partner}}}), "rules_bad_partner") << partner;
  }
  for (const json& id :
       {json(""), json(std::string(65, 'x')), json("a b"), json("a\"b"), json("default"), json(7)}) {
    EXPECT_EQ(one({{"id", id}}), "rules_bad_id") << id;
  }
  for (const json& rate : {json(0), json(-1), json("5"), json(1e10)}) {
    EXPECT_EQ(one({{"say", "limit"}, {"per_s", rate}}), "rules_bad_rate") << rate;
  }
  EXPECT_EQ(one({{"say", "limit"}}), "rules_bad_rate");
  EXPECT_EQ(one({{"per_s", 1}}), "rules_bad_rate");
  EXPECT_EQ(one({{"say", "maybe"}}), "rules_unknown_say");
  EXPECT_EQ(one({{"say", "prefer"}}), "rules_malformed");
  EXPECT_EQ(one({{"klass", {"record"}}}), "rules_unknown_key");
  EXPECT_EQ(code_of(settings_with({rule({}), rule({})})), "rules_id_twice");
  EXPECT_EQ(code_of(settings_with(json::array(), "maybe")), "rules_malformed");
  json many = json::array();
  for (size_t i = 0; i <= kMaxRules; ++i) many.push_back(rule({{"id", "r" + std::to_string(i)}}));
  EXPECT_EQ(code_of(settings_with(many)), "rules_too_many");
  json settings = settings_with(json::array());
  settings["realms"][1]["name"] = "acme";
  EXPECT_EQ(code_of(settings), "rules_no_customer");
  settings = settings_with(json::array());
  settings["zone"] = 3;
  EXPECT_EQ(code_of(settings), "rules_no_region");
}

TEST(AccessRules, AnErrorNamesKeyAndRule) {
  const json rules = {rule({{"to", {"dc1"}}}), rule({{"id", "y"}, {"partner", {4}}, {"to", {"dc1"}}})};
  try {
    (void)parse_rules(settings_with(rules));
    FAIL();
  } catch (const OperatorError& fault) {
    EXPECT_STREQ(fault.code(), "rules_shadowed");
    EXPECT_EQ(fault.where(), "settings.realms.0.access.rules.1 (y)");
    EXPECT_NE(fault.line().find("the earlier rule x of acme"), std::string::npos) << fault.line();
  }
}

// Lists this small can be checked by brute force over all messages.
TEST(AccessRules, ShadowedRulesAreThoseThatNoMessageReaches) {
  int covered_by_several = 0;
  for (unsigned seed = 1; seed <= 1500; ++seed) {
    std::mt19937 random(seed);
    json rules = json::array();
    for (int i = 0; i < 7; ++i) rules.push_back(random_rule(random, i));
    std::set<size_t> reached;
    for_each_route([&](const char* c, int partner, int from, int to, int kind) {
      reached.insert(first_matching_rule(rules, c, partner, kKinds[kind], kZones[from], kZones[to]));
    });
    size_t first = 0;
    while (first < rules.size() && reached.contains(first)) ++first;
    std::string where;
    try {
      (void)parse_rules(settings_with(rules));
    } catch (const OperatorError& fault) {
      ASSERT_STREQ(fault.code(), "rules_shadowed");
      where = fault.where();
      covered_by_several += fault.description().find("together") != std::string::npos;
    }
    const std::string expected =
        first == rules.size()
            ? ""
            : "settings.realms.0.access.rules." + std::to_string(first) + " (r" + std::to_string(first) + ")";
    ASSERT_EQ(where, expected) << "seed " << seed << " " << rules.dump();
  }
  EXPECT_GT(covered_by_several, 10);
}

TEST(AccessRules, EqualRulesHaveEqualDigestsWhateverTheirOrder) {
  const auto digest = [](const char* text) {
    return parse_rules(settings_with({json::parse(text)})).customers[0].rules[0].digest;
  };
  EXPECT_EQ(digest(R"({"id":"x","say":"deny","to":["dc1","dc2"],"partner":[9,7]})"),
            digest(R"({"to":["dc2","dc1","dc2"],"partner":[7,9],"say":"deny","id":"x"})"));
  EXPECT_NE(digest(R"({"id":"x","say":"deny","to":["dc1"]})"),
            digest(R"({"id":"x","say":"allow","to":["dc1"]})"));
}

}  // namespace
}  // namespace umberhoist::access::testing
