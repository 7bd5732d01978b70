// Feeds through three real processes: subscribers read, acknowledge and die while one relay is killed and
// comes back; each resumes at another relay with its cursor, and more than half leave their older session,
// which acknowledges later. Judged by the lab's oracle, from outside: each outcome once, no silent gap, no
// acknowledgement of a fenced session taken.
#include "plays.h"

namespace umberhoist::lab {
namespace {

TEST(FeedsTest, ARelayIsKilledAndNothingIsMissingNorTwice) {
  const nlohmann::json result = play_once(
      scenario(
          "length_s=12\nsettle_s=6\nrelays=3\nfleet=true\n[feeds]\non=true\ndies_s=2\ntwice=0.6\nbatch=20\n"
          "[[fault]]\nkind='kill'\nat_s=4\nfor_s=1\n[[fault]]\nkind='resubscribe'\nshare=1\nat_s=5\n"
          "[[fault]]\nkind='kill'\nfolder='torn'\nat_s=8\nfor_s=0.6\n"
          "[[class]]\nname='keyed'\neffect='keyed'\ngive_up_s=3\nkey_ttl_s=15\n"),
      relay_program());
  for (const auto& [name, state] : result["oracles"].items()) {
    EXPECT_TRUE(state["held"].get<bool>()) << name << ": " << state << ", seed " << result["seed"];
  }
  EXPECT_GT(result["oracles"]["feed_exact"]["checked"].get<int>(), 100);
  EXPECT_GT(result["figures"]["feed_given"].get<double>(), 100);
  EXPECT_GT(result["figures"]["feed_sessions"].get<double>(), 10);
}

// A cursor that is shown at an opening is remembered as an acknowledgement is: one that goes back behind it
// with an older state has to show that state's cursor.
TEST(FeedsTest, SubscribersThatGoBackOftenAreGivenAll) {
  const nlohmann::json result =
      play_once(scenario("length_s=8\nsettle_s=3\nrelays=3\nfleet=true\n"
                         "[feeds]\non=true\ndies_s=0.5\nold_cursor=0.6\nno_cursor=0.6\nacked=0.3\nbatch=20\n"
                         "[[class]]\nname='keyed'\neffect='keyed'\ngive_up_s=3\nkey_ttl_s=15\n"),
                relay_program());
  const nlohmann::json& exact = result["oracles"]["feed_exact"];
  EXPECT_TRUE(exact["held"].get<bool>()) << exact;
  EXPECT_GT(exact["checked"].get<int>(), 100);
}

}  // namespace
}  // namespace umberhoist::lab
