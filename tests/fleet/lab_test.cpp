// The lab itself: what it reads, that a seed fixes the plan, and that each oracle catches a relay that breaks
// its promise, while one that keeps them passes.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "figures.h"
#include "oracle.h"
#include "plays.h"
#include "report.h"
#include "shrink.h"
#include "sim.h"

namespace umberhoist::lab {
namespace {

TEST(ScenarioTest, TurnsDownWhatItDoesNotUnderstandWithTheKey) {
  const auto reason = [](const std::string& text) {
    try {
      read_scenario(toml::parse(text));
    } catch (const Unusable& fault) {
      return std::string(fault.what());
    }
    return std::string("taken");
  };
  EXPECT_EQ(reason("name='x'\n[load]\nrat=3"), "unknown key load.rat");
  EXPECT_EQ(reason("name='x'\nlength_s=-1"), "length_s is below 0");
  EXPECT_EQ(reason("name='x'\n[[fault]]\nkind='kill'\nat_s=-2"), "fault.0.at_s is below 0");
  EXPECT_EQ(reason("name='x'\n[[fault]]\nkind='kilt'"), "fault.0.kind is \"kilt\", which is not known");
  EXPECT_EQ(reason("name='x'\n[[fault]]\nkind='kill'\nat_s=[3,2]"),
            "fault.0.at_s has its low above its high");
  EXPECT_EQ(reason("relays=3"), "name is missing");
  EXPECT_EQ(reason("name='x'"), "taken");
}

TEST(ScenarioTest, ASeedFixesThePlanAndAnotherChangesIt) {
  const Scenario s = scenario("[[fault]]\nkind='kill'\nat_s=[1,5]\ncount=2");
  EXPECT_EQ(draw(s, 7).digest(), draw(s, 7).digest());
  EXPECT_NE(draw(s, 7).digest(), draw(s, 8).digest());
}

TEST(ScenarioTest, AFaultKeepsItsFiguresWhenAnotherIsTakenOut) {
  const Scenario both =
      scenario("[[fault]]\nkind='stop'\nat_s=1\n[[fault]]\nkind='kill'\nat_s=[2,5]\nstream=1");
  const Scenario one = scenario("[[fault]]\nkind='kill'\nat_s=[2,5]\nstream=1");
  EXPECT_EQ(draw(both, 3).faults.back().at, draw(one, 3).faults.back().at);
  EXPECT_EQ(draw(both, 3).faults.back().targets, draw(one, 3).faults.back().targets);
}

TEST(ScenarioTest, EveryShippedScenarioIsUsable) {
  int count = 0;
  for (const auto& file : std::filesystem::directory_iterator(LAB_SCENARIOS)) {
    std::vector<std::string> set;
    if (file.path().stem() == "mixed-versions") set = {"relay.other=/bin/true"};
    EXPECT_NO_THROW(draw(read_scenario(load_table(file.path().string(), set)), 1)) << file.path();
    ++count;
  }
  EXPECT_GE(count, 10);
}

TEST(FiguresTest, JainIsOneForEqualSharesAndOneNthForOneOwner) {
  EXPECT_DOUBLE_EQ(jain({2, 2, 2, 2}), 1);
  EXPECT_DOUBLE_EQ(jain({8, 0, 0, 0}), 0.25);
}

// Which policy relays act under, as their clients can tell.
TEST(OracleTest, TwoPoliciesAtOnceTooLongOneThatIsBackAndOneThatWasAbortedAreSeen) {
  const auto broken = [](const std::function<void(Oracles&)>& course) {
    Oracles o({}, 3);
    for (int r = 0; r < 3; ++r) o.policy.acted(1, 0.9, r, 0);
    o.policy.proposed(2, 1);
    o.policy.acted(3, 2.9, 0, 1);
    course(o);
    return o.states().at("one_policy").first;
  };
  EXPECT_EQ(broken([](Oracles& o) { o.policy.acted(6, 5.9, 1, 0); }), "");
  EXPECT_NE(broken([](Oracles& o) { o.policy.acted(6.2, 6.1, 1, 0); }), "");
  EXPECT_NE(broken([](Oracles& o) { o.policy.acted(4, 3.9, 0, 0); }), "");
  EXPECT_NE(broken([](Oracles& o) { o.policy.change_ended(5, 2, 1, false); }), "");
  EXPECT_EQ(broken([](Oracles& o) { o.policy.change_ended(5, 2, 1, true); }), "");
  EXPECT_NE(broken([](Oracles& o) { o.policy.acts_at_end(5, 1); }), "");
  EXPECT_EQ(broken([](Oracles& o) { o.policy.acts_at_end(5, 0); }), "");
}

TEST(CompareTest, TellsADifferenceFromNoise) {
  const auto result = [](double worth) { return nlohmann::json{{"figures", {{"worth", worth}}}}; };
  const nlohmann::json low = {result(0.50), result(0.52), result(0.51)};
  const nlohmann::json high = {result(0.80), result(0.81), result(0.79)};
  const nlohmann::json wide = {result(0.30), result(0.80), result(0.45)};
  EXPECT_NE(compare(low, high).find("DIFFERS"), std::string::npos);
  EXPECT_EQ(compare(low, wide).find("DIFFERS"), std::string::npos);
}

TEST(SimTest, TheSameSeedHasTheSameCourseAndFaultsAreSeenByTheWatchers) {
  const Scenario s = scenario(
      "length_s=20\nrelays=300\nsim.protocol='heartbeat'\n[[fault]]\nkind='stop'\nat_s=5\nfor_s=1\nshare=0."
      "1\n"
      "[[fault]]\nkind='kill'\nat_s=8\nfor_s=6\nshare=0.2");
  const nlohmann::json once = simulate(s, 5);
  EXPECT_EQ(once, simulate(s, 5));
  EXPECT_TRUE(all_held(once)) << once["oracles"];
  EXPECT_GT(once["oracles"]["settled"]["checked"].get<int>(), 800);
  // Cut off until the end, members are taken for gone by watchers beyond.
  const Scenario cut = scenario(
      "length_s=20\nsettle_s=0\nrelays=30\nsim.protocol='heartbeat'\n[[fault]]\nkind='net'\nat_s=5\nfor_s="
      "100\nshare=0.3");
  EXPECT_FALSE(all_held(simulate(cut, 5)));
}

struct Case {
  const char* fault;
  const char* oracle;
  const char* scenario;
  friend std::ostream& operator<<(std::ostream& out, const Case& c) {
    return out << c.fault << " breaks " << c.oracle;
  }
};

class StandinTest : public ::testing::TestWithParam<Case> {};

// One second's load goes to one partner of ample limit, unless the case says otherwise.
TEST_P(StandinTest, IsCaughtByItsOracle) {
  const Case& c = GetParam();
  ASSERT_EQ(::setenv("STANDIN_FAULT", c.fault, 1), 0);
  const nlohmann::json result = play_once(scenario(c.scenario), standin_program());
  for (const auto& [name, state] : result["oracles"].items()) {
    const bool wanted = name != c.oracle;
    if (!wanted || std::string(c.oracle).empty()) {
      EXPECT_EQ(state["held"].get<bool>(), wanted) << name << ": " << state;
    }
  }
  if (*c.oracle != '\0') {
    EXPECT_NE(result["oracles"][c.oracle]["first_broken"].get<std::string>().find("relay"),
              std::string::npos);
  }
}

constexpr const char* kPlain = "length_s=2";
constexpr const char* kAccess =
    "length_s=2\nrelays=1\nfleet=true\n[access]\non=true\n[[tenant]]\nname='a'\n[[tenant]]\nname='b'\n"
    "[[access.rule]]\ncustomer='a'\nid='not-1'\nsay='deny'\npartner=[1]\n";
constexpr const char* kFeeds =
    "length_s=3\nrelays=1\nfleet=true\n[feeds]\non=true\ndies_s=0.4\npoll_s=0.05\ntwice=0.4\n";
constexpr const char* kBudgets = "length_s=3\nrelays=1\nfleet=true\n[budgets]\non=true\nburst_ms=100\n";
constexpr const char* kScarce =
    "length_s=6\nrelays=1\nfleet=true\n[budgets]\non=true\nburst_ms=100\n[load]\nrate=60\n[partners]\n"
    "headroom=0.1\nleast_limit=1\n";
INSTANTIATE_TEST_SUITE_P(
    Faults, StandinTest,
    ::testing::Values(
        Case{"", "", kPlain},
        Case{"drop", "final_answer",
             "length_s=2\nsettle_s=3\n[[class]]\nname='a'\neffect='safe'\ngive_up_s=1"},
        Case{"close", "client_answered", kPlain}, Case{"twice", "one_attempt_out", kPlain},
        Case{"again", "no_second_run", "length_s=2\n[[class]]\nname='a'\neffect='unsafe'\ngive_up_s=5"},
        Case{"drain", "drains_kept",
             "length_s=6\n[partners]\ndrain_grace_s=0.2\ncount=2\nendpoints=1\n[[fault]]\nkind='drain'\nat_s="
             "0.1\nshare=1"},
        Case{"wait", "waits_kept", "length_s=3\n[partners]\nheadroom=0.4\nleast_limit=0\ntold_share=1"},
        Case{"push", "cold_not_pushed",
             "length_s=6\n[load]\nrate=60\n[partners]\ncount=1\ncold_s=20\nheadroom=1\n[[fault]]\nkind='"
             "partner'\n"
             "state='hung'\nat_s=0.5\nfor_s=1"},
        Case{"body", "call_intact", kPlain},
        Case{"memory", "limits_kept", "length_s=2\n[relay]\nmemory_mb=200"},
        Case{"disk", "limits_kept", kPlain}, Case{"crash", "clean_end", kPlain},
        Case{"status", "clean_end", kPlain}, Case{"late", "starts", "length_s=2\n[relay]\nready_s=0.5"},
        Case{"orphan", "no_orphan", kPlain}, Case{"none2", "", kAccess}, Case{"rule", "rules_kept", kAccess},
        Case{"misname", "rules_kept", kAccess}, Case{"miscount", "hits_exact", kAccess},
        Case{"none3", "", kFeeds}, Case{"omit", "feed_exact", kFeeds}, Case{"refeed", "feed_exact", kFeeds},
        Case{"unfenced", "feed_exact", kFeeds}, Case{"back", "feed_exact", kFeeds},
        Case{"none4", "", kBudgets}, Case{"spend", "budget_kept", kScarce}),
    [](const auto& one) { return std::string(*one.param.fault == '\0' ? "none" : one.param.fault); });

TEST(ShrinkTest, KeepsTheFaultThatBreaksAndTakesTheOthersOut) {
  // No processes: the play breaks where a kill is in it.
  const toml::table table = toml::parse(
      "name='x'\nlength_s=8\nrelays=4\n[[fault]]\nkind='stop'\nat_s=1\n[[fault]]\nkind='kill'\nat_s=2\n"
      "[[fault]]\nkind='surge'\nat_s=3");
  const Shrunk small = shrink(table, "final_answer", 50, [](const toml::table& candidate) {
    bool kill = false;
    for (const FaultSpec& f : read_scenario(candidate).faults) kill = kill || f.kind == "kill";
    return nlohmann::json{{"oracles", {{"final_answer", {{"held", !kill}}}}}};
  });
  const Scenario left = read_scenario(small.table);
  ASSERT_EQ(left.faults.size(), 1u);
  EXPECT_EQ(left.faults[0].kind, "kill");
  EXPECT_EQ(left.faults[0].stream, 1);
  EXPECT_EQ(left.relays, 1);
  EXPECT_EQ(left.length_s, 1);
}

TEST(PlayTest, AProgramThatDoesNotStartIsToldInOneLine) {
  EXPECT_THROW(play_once(scenario(""), "/no/such/program"), Unusable);
  try {
    play_once(scenario(""), "/bin/false");
    ADD_FAILURE() << "it was played";
  } catch (const Unusable& fault) {
    EXPECT_NE(std::string(fault.what()).find("does not start"), std::string::npos) << fault.what();
  }
}

}  // namespace
}  // namespace umberhoist::lab
