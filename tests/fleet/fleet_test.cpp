// Several real relays under faults, by the lab's parts: every promise is held, and there was something to
// check.
#include "plays.h"

namespace umberhoist::lab {
namespace {

void expect_held(const nlohmann::json& result) {
  for (const auto& [name, state] : result["oracles"].items()) {
    EXPECT_TRUE(state["held"].get<bool>()) << name << ": " << state << ", seed " << result["seed"];
  }
  EXPECT_GT(result["oracles"]["final_answer"]["checked"].get<int>(), 20);
  EXPECT_GT(result["oracles"]["one_attempt_out"]["checked"].get<int>(), 20);
}

const char* const kClasses =
    "[[class]]\nname='keyed'\neffect='keyed'\ngive_up_s=3\nkey_ttl_s=15\n"
    "[[class]]\nname='unsafe'\neffect='unsafe'\ngive_up_s=3\n";

TEST(FleetTest, OneOfThreeIsKilledUnderLoad) {
  const nlohmann::json result = play_once(
      scenario(
          std::string("length_s=5\nsettle_s=4\nrelays=3\n[[fault]]\nkind='kill'\nat_s=1.5\nfor_s=0.6\n") +
          kClasses),
      UMBERHOIST);
  expect_held(result);
  EXPECT_EQ(result["oracles"]["starts"]["checked"].get<int>(), 4);
}

TEST(FleetTest, OneStandsStillAndGoesOn) {
  const nlohmann::json result = play_once(
      scenario(
          std::string("length_s=6\nsettle_s=5\nrelays=3\n[[fault]]\nkind='stop'\nat_s=1.5\nfor_s=1.5\n") +
          kClasses),
      UMBERHOIST);
  expect_held(result);
}

TEST(FleetTest, RestartsWithATornFolder) {
  const nlohmann::json result = play_once(
      scenario(
          std::string("length_s=5\nsettle_s=4\nrelays=3\n[[fault]]\nkind='kill'\nfolder='torn'\nat_s=1.5\n"
                      "for_s=0.6\ncount=2\n") +
          kClasses),
      UMBERHOIST);
  expect_held(result);
  EXPECT_EQ(result["oracles"]["starts"]["checked"].get<int>(), 5);
}

}  // namespace
}  // namespace umberhoist::lab
