// Decisions by customers' rules: their correctness, their cost and their stored form.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <map>
#include <set>

#include "../access/decision_record.h"
#include "access_rules.h"

namespace umberhoist::access::testing {
namespace {

TEST(AccessRules, CompiledDecisionsEqualTheReferenceImplementation) {
  int compared = 0;
  for (unsigned seed = 1; seed <= 1500; ++seed) {
    std::mt19937 random(seed);
    json rules = json::array();
    for (int i = 0; i < 5; ++i) rules.push_back(random_rule(random, i));
    const std::string default_action = random() % 2 ? "allow" : "deny";
    Rules parsed;
    try {
      parsed = parse_rules(settings_with(rules, default_action));
    } catch (const OperatorError&) {
      continue;
    }
    LimitRegistry limits, second_limits;
    const CompiledRules compiled(parsed, limits), second_relay(parsed, second_limits);
    std::map<std::pair<std::string, std::pair<int, int>>, std::set<size_t>> deciders;
    for_each_route([&](const char* c, int partner, int from, int to, int kind) {
      const size_t rule_at = first_matching_rule(rules, c, partner, kKinds[kind], kZones[from], kZones[to]);
      const auto decision = compiled.decide("acme", c, partner, from);
      const json expected_rule =
          rule_at < rules.size() ? rules[rule_at] : json{{"id", "default"}, {"say", default_action}};
      const firspool::RouteRule route = decision->routes.rule_for(to, kind);
      const bool near = expected_rule["say"] == "prefer" && matches(expected_rule, "to", kZones[to]);
      ASSERT_EQ(route.allowed, expected_rule["say"] != "deny") << "seed " << seed;
      ASSERT_EQ(route.rank, expected_rule["say"] == "prefer" && !near ? 1 : 0) << "seed " << seed;
      ASSERT_EQ(route.limit_id >= 0, expected_rule["say"] == "limit") << "seed " << seed;
      if (route.limit_id >= 0) {
        EXPECT_EQ(limits.active()[static_cast<size_t>(route.limit_id)].budget,
                  "rule/acme/" + expected_rule["id"].get<std::string>());
      }
      deciders[{c, {partner, from}}].insert(rule_at);
      // Another relay with the same rules and region decides the same.
      ASSERT_EQ(second_relay.decide("acme", c, partner, from)->record, decision->record);
      ++compared;
    });
    for (const auto& [message, expected] : deciders) {
      const auto decision =
          compiled.decide("acme", message.first, message.second.first, message.second.second);
      std::vector<std::string> ids;
      bool all_denied = true;
      std::string denier;
      for (const size_t i : expected) {
        ids.push_back(i < rules.size() ? rules[i]["id"] : json("default"));
        const bool denies = i < rules.size() ? rules[i]["say"] == "deny" : default_action == "deny";
        if (denies && denier.empty()) denier = ids.back();
        all_denied = all_denied && denies;
      }
      std::vector<std::string> seen;
      for (const DecidingRule& d : decision->rules) seen.push_back(d.id);
      ASSERT_EQ(seen, ids) << "seed " << seed;
      ASSERT_EQ(decision->denied_by, all_denied ? denier : "") << "seed " << seed;
    }
    ASSERT_EQ(compiled.decide("free", "record", 1, 0), nullptr);
    ASSERT_EQ(compiled.decide("nobody", "record", 1, 0), nullptr);
  }
  EXPECT_GT(compared, 20'000);
}

TEST(AccessRecord, IsNeverLessStrictUnderOtherNames) {
  const json rules = {rule({{"id", "no"}, {"to", {"dc2"}}}),
                      rule({{"id", "slow"}, {"say", "limit"}, {"per_s", 3}, {"kind", {"card"}}}),
                      rule({{"id", "near"}, {"say", "prefer"}, {"to", {"dc3"}}})};
  LimitRegistry limits;
  const Rules parsed = parse_rules(settings_with(rules));
  const auto decision = CompiledRules(parsed, limits).decide("acme", "record", 7, 0);
  // Zones in another order with one more, and kinds one fewer and one more.
  Names other{{}, {"card", "tram"}, {"dc4", "dc3", "dc2", "dc1"}};
  LimitRegistry other_limits;
  const auto taken = other_limits.acquire("rule/acme/other", 1);
  const auto back = decode_decision(decision->record, other, other_limits);
  EXPECT_EQ(back->customer, "acme");
  EXPECT_EQ(back->rules, decision->rules);
  EXPECT_EQ(back->record, decision->record);
  EXPECT_FALSE(back->routes.rule_for(0, 0).allowed);  // dc4: unknown to the writer
  EXPECT_FALSE(back->routes.rule_for(2, 0).allowed);  // denied
  EXPECT_FALSE(back->routes.rule_for(3, 1).allowed);  // tram: unknown to the writer
  EXPECT_FALSE(back->routes.rule_for(4, 0).allowed);  // no such zone
  const firspool::RouteRule route = back->routes.rule_for(3, 0);
  EXPECT_TRUE(route.allowed);
  EXPECT_EQ(route.limit_id, 1);  // id 0 is taken by `taken`
  EXPECT_EQ(other_limits.active()[1].budget, "rule/acme/slow");
  EXPECT_EQ(other_limits.active()[1].per_s, 3);
  Names same = parsed.names;
  const auto full = decode_decision(decision->record, same, other_limits);
  EXPECT_EQ(full->routes.rule_for(0, 0).rank, 1);
  EXPECT_EQ(full->routes.rule_for(2, 0).rank, 0);
  // A truncated record denies every route.
  std::mt19937 random(1);
  for (size_t cut = 0; cut < decision->record.size(); ++cut) {
    EXPECT_TRUE(decode_decision(decision->record.substr(0, cut), same, other_limits)->routes.rules.empty())
        << cut;
  }
}

TEST(AccessLimits, IdsAreStableWhileHeldAndReusedAfterwards) {
  LimitRegistry limits;
  auto rules = [](double rate) {
    return parse_rules(settings_with({rule({{"say", "limit"}, {"per_s", rate}})}));
  };
  auto first = std::make_unique<CompiledRules>(rules(10), limits);
  const auto held = first->decide("acme", "record", 1, 0);
  EXPECT_EQ(limits.active().at(0).per_s, 10);
  first = std::make_unique<CompiledRules>(rules(4), limits);  // a budget has one rate: the newest
  EXPECT_EQ(limits.active().size(), 1u);
  EXPECT_EQ(limits.active()[0].per_s, 4);
  first.reset();
  EXPECT_EQ(limits.active().size(), 1u) << "a message still holds the limit";
  const auto other = limits.acquire("rule/b/x", 1);
  EXPECT_EQ(other->id, 1);
}

// The cost of a decision must not grow with the number of rules. Prints the cost of parsing and compiling
// too.
TEST(AccessCost, ADecisionBy10000RulesCostsAtMostTwiceThatByOne) {
  using Clock = std::chrono::steady_clock;
  std::map<size_t, double> ns;
  for (const size_t count : {1, 100, 10'000}) {
    json rules = json::array();
    for (size_t i = 0; i < count; ++i) {
      rules.push_back(rule({{"id", "r" + std::to_string(i)}, {"partner", {i}}, {"to", {"dc2"}}}));
    }
    const auto begun = Clock::now();
    const Rules parsed = parse_rules(settings_with(rules));
    const auto read = Clock::now();
    LimitRegistry limits;
    const CompiledRules compiled(parsed, limits);
    const auto ready = Clock::now();
    constexpr int kPartners = 200, kRounds = 500;
    for (int p = 0; p < kPartners; ++p) (void)compiled.decide("acme", "record", p, 0);
    const uint64_t evaluations = compiled.evaluations();
    EXPECT_LE(evaluations, static_cast<uint64_t>(kPartners));
    double best = 1e18;  // of several rounds, to exclude noise of other processes
    size_t sink = 0;
    for (int round = 0; round < 20; ++round) {
      const auto since = Clock::now();
      for (int i = 0; i < kRounds; ++i) {
        for (int p = 0; p < kPartners; ++p) sink += compiled.decide("acme", "record", p, 0)->rules.size();
      }
      best = std::min(best, std::chrono::duration<double, std::nano>(Clock::now() - since).count() /
                                (kRounds * kPartners));
    }
    EXPECT_GT(sink, 0u);
    EXPECT_EQ(compiled.evaluations(), evaluations) << "each was cached";
    ns[count] = best;
    const auto ms = [](auto span) { return std::chrono::duration<double, std::milli>(span).count(); };
    std::cout << count << " rules: decision " << best << " ns, read and checked in " << ms(read - begun)
              << " ms, compiled in " << ms(ready - read) << " ms\n";
  }
  EXPECT_LT(ns[10'000], 2 * ns[1] + 100);
}

TEST(AccessCost, TheDecisionCacheIsBounded) {
  json rules = json::array();
  for (size_t i = 0; i < 6000; ++i)
    rules.push_back(rule({{"id", "r" + std::to_string(i)}, {"partner", {i}}}));
  LimitRegistry limits;
  const CompiledRules compiled(parse_rules(settings_with(rules)), limits);
  for (int from = 0; from < 3; ++from) {
    for (int p = 0; p < 7000; ++p) (void)compiled.decide("acme", "record", p, from);
  }
  EXPECT_LE(compiled.cached_decisions(), CompiledRules::kMaxCachedDecisions);
  EXPECT_EQ(compiled.evaluations(), 3 * 6001u);  // partners that no rule names share an entry
}

}  // namespace
}  // namespace umberhoist::access::testing
