// Feeds as the relay has them: its settings, the journal's ends and the log in the folder, and the page of
// errors.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <fstream>
#include <iterator>

#include "../access/rules.h"
#include "disk_faults.h"
#include "feed_settings.h"
#include "lasting_file.h"
#include "listening.h"
#include "outcomes.h"
#include "service.h"

namespace firspool::relay {
namespace {

namespace feeds = umberhoist::feeds;
using nlohmann::json;

TEST(FeedSettings, AreTurnedDownWithTheKey) {
  const json good = {{"age_s", 60}, {"disk_share", 0.2}, {"batch", 50}, {"catch_up_per_s", 100}};
  const auto realms = [](json list) {
    return json{{"realms", {{{"name", "acme"}, {"feeds", std::move(list)}}}}};
  };
  const auto why = [](const json& section, const json& settings, bool fleet = true,
                      size_t relays = 3) -> std::string {
    try {
      (void)parse_feeds(section, settings, fleet, relays, {"dc1", "dc2"});
      return "";
    } catch (const umberhoist::OperatorError& fault) {
      return fault.where();
    }
  };
  const json one = {{"name", "billing"}, {"regions", {"dc1"}}};
  EXPECT_EQ(why(good, realms({one})), "");
  EXPECT_EQ(parse_feeds(good, realms({one}), true, 3, {"dc1"}).feeds.at({"acme", "billing"}),
            std::vector<std::string>{"dc1"});
  EXPECT_EQ(why(good, realms({one}), false), "feeds");
  EXPECT_EQ(why(good, realms({one}), true, 300), "feeds");
  EXPECT_EQ(why({{"batch", 0}}, realms({one})), "feeds.batch");
  EXPECT_EQ(why({{"disk_share", "x"}}, realms({one})), "feeds.disk_share");
  EXPECT_EQ(why(good, realms({one, one})), "settings.realms.0.feeds.1.name");
  EXPECT_EQ(why(good, realms({{{"name", "a"}, {"regions", {"dc9"}}}})), "settings.realms.0.feeds.0.regions");
  EXPECT_EQ(why(good, realms(json(17, one))), "settings.realms.0.feeds");
}

class FeedFolder : public ::testing::Test {
 protected:
  FeedFolder() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-feeds-XXXXXX";
    config_.state = ::mkdtemp(pattern.data());
    config_.disk_bytes = 1'000'000;
    config_.names.zones = {"dc1"};
    config_.feeds.emplace();
    config_.feeds->disk_share = 0.2;
    config_.feeds->age = Time{3600} * 1'000'000;
    rules_ = std::make_shared<MessageRules>();
  }
  ~FeedFolder() override { std::filesystem::remove_all(config_.state); }

  Place place() { return std::move(*Place::take(config_.state, 0)); }
  Handed message(int i) const {
    Handed out;
    out.id = "m" + std::to_string(i);
    out.message_class = "status";
    out.tenant = "acme";
    out.budget = Budget::begin(steady_now(), 30'000'000);
    out.rules = rules_;
    return out;
  }
  std::vector<std::string> ids(const Outcomes& outcomes) const {
    std::vector<std::string> out;
    for (const auto& o : outcomes.own().read("acme", {}, 0, 1000, 1 << 20).outcomes) out.push_back(o.id);
    return out;
  }

  Config config_;
  std::shared_ptr<const MessageRules> rules_;
};

using Ids = std::vector<std::string>;

// Its numbers would come once more for other outcomes.
TEST_F(FeedFolder, ALogThatWasCutIsAnotherOne) {
  uint64_t number = 0;
  {
    Journal journal(place(), 200'000, instant_now, kEndRoom);
    Outcomes outcomes(config_, 0);
    number = outcomes.own().number();
    for (int i = 1; i <= 4; ++i) ASSERT_TRUE(journal.accepted(message(i)));
    const Ended first = outcomes.end(message(1), feeds::Answer::kDelivered);
    ASSERT_TRUE(journal.done("m1", &first));
    journal.logged(outcomes.append());
    const Ended second = outcomes.end(message(2), feeds::Answer::kReturned);
    ASSERT_TRUE(journal.owed({"m2", true, 500}, &second));
    const Ended third = outcomes.end(message(3), feeds::Answer::kFailed);
    ASSERT_TRUE(journal.done("m3", &third));
    journal.freeze();  // compacts
  }
  const std::string log = config_.state + "/feeds.log";
  std::filesystem::resize_file(log, std::filesystem::file_size(log) - 3);
  for (int start = 0; start < 2; ++start) {
    Journal journal(place(), 200'000, instant_now, kEndRoom);
    EXPECT_EQ(journal.recovered().size(), 2U);  // one whose notice is owed, and m4
    Outcomes outcomes(config_, 0);
    EXPECT_EQ(outcomes.own().number() == number, start == 0);
    journal.keep_ended(outcomes.complete(journal.ended()));
    EXPECT_NE(outcomes.own().number(), number);
    EXPECT_EQ(ids(outcomes), Ids{});
  }
}

TEST_F(FeedFolder, WhatTheJournalHasIsAppendedAtTheStart) {
  {
    Journal journal(place(), 200'000, instant_now, kEndRoom);
    Outcomes outcomes(config_, 0);
    for (int i = 1; i <= 3; ++i) {
      ASSERT_TRUE(journal.accepted(message(i)));
      const Ended ended = outcomes.end(message(i), feeds::Answer::kDelivered);
      ASSERT_TRUE(i == 2 ? journal.owed({"m2", false, 0}, &ended) : journal.done(message(i).id, &ended));
      if (i == 1) journal.logged(outcomes.append());
    }
    journal.done("m2");
    journal.freeze();  // nothing of the ends is left but what their log lacks
  }
  for (int start = 0; start < 2; ++start) {
    Journal journal(place(), 200'000, instant_now, kEndRoom);
    EXPECT_TRUE(journal.recovered().empty());
    Outcomes outcomes(config_, 0);
    journal.keep_ended(outcomes.complete(journal.ended()));
    EXPECT_EQ(ids(outcomes), (Ids{"m1", "m2", "m3"})) << start;
    EXPECT_LT(journal.live_bytes(), 10U);
  }
  // Another process serves from the other place, and reads this one's log.
  Outcomes successor(config_, 1);
  const auto logs = successor.logs();
  ASSERT_EQ(logs.size(), 2U);
  EXPECT_EQ(logs[1]->last(), 3U);
}

TEST_F(FeedFolder, WithoutFeedsARecordHasNotAByteMore) {
  const Notice notice{"m", true, 5};
  const Ended ended{1, "part"};
  EXPECT_GT(record::done("m", &ended).size(), record::done("m").size());
  EXPECT_EQ(record::done("m").size(), 8U + 1 + 8 + 1);
  EXPECT_EQ(record::owed(notice).size(), 8U + 1 + 8 + 1 + 8 + 8);
}

TEST(Faults, AreOnThePageOfThoseOnCall) {
  const std::string page = read_file(ON_CALL);
  const auto expect = [&](const auto& kinds) {
    for (const umberhoist::ErrorKind& kind : kinds) {
      const size_t row = page.find(std::string("| `") + kind.code + "` | ");
      ASSERT_NE(row, std::string::npos) << kind.code;
      EXPECT_NE(page.substr(row, page.find('\n', row) - row).find(kind.advice), std::string::npos)
          << kind.code;
    }
  };
  expect(feeds::kCursorFaults);
  expect(feeds::kFeedFaults);
  expect(kFeedSettingsFaults);
  expect(umberhoist::access::kAccessErrors);
  expect(kDiskFaults);
  expect(kAddressFaults);
}

}  // namespace
}  // namespace firspool::relay
