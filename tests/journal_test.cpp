// The journal: what it tells the next process, and how much of the disk it takes.
#include "journal.h"

#include <filesystem>
#include <fstream>

#include "config.h"
#include "peers.h"

namespace firspool::relay {
namespace {

class JournalTest : public ::testing::Test {
 protected:
  JournalTest() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-journal-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
  }
  ~JournalTest() override { std::filesystem::remove_all(folder_); }

  Handed message(const std::string& id, size_t body = 10, Time due = 60'000'000) const {
    return {id, "keyed", "key", 7, Budget::until(due), std::string(body, '\0'), "acme", rules_};
  }
  Clock clock() const {
    return [this] { return now_; };
  }
  Place place() const { return std::move(*Place::take(folder_, 0)); }
  std::string bytes() const {
    std::ifstream in(folder_ / "journal", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }

  std::filesystem::path folder_;
  Instant now_{50'000'000, 1'800'000'000'000'000, 7};
  std::shared_ptr<const MessageRules> rules_ = std::make_shared<const MessageRules>();
};

TEST_F(JournalTest, TellsWhatBecameOfEachMessage) {
  {
    Journal journal(place(), 500'000, clock());
    for (const std::string id : {"a", "b", "c", "d"}) ASSERT_TRUE(journal.accepted(message(id)));
    journal.attempt("a", 0, 1);
    journal.attempt("a", 1, 0);
    journal.attempt("b", 0, 1);
    journal.never_ran("b", 0);
    journal.owed({"c", true, 500});
    journal.done("d");
  }
  const auto left = Journal(place(), 500'000, clock()).recovered();
  ASSERT_EQ(left.size(), 3u);
  EXPECT_EQ(left[0].message.body, std::string(10, '\0'));
  EXPECT_EQ(left[0].message.tenant, "acme");
  EXPECT_EQ(left[0].message.budget.due(), 60'000'000);
  EXPECT_EQ(left[0].attempts, 2);
  EXPECT_EQ(left[0].unsettled.at(0), std::make_pair(now_.steady, 1));
  EXPECT_EQ(left[1].attempts, 1);
  EXPECT_TRUE(left[1].unsettled.empty());
  ASSERT_TRUE(left[2].owed);
  EXPECT_TRUE(left[2].owed->returned);
  EXPECT_EQ(left[2].owed->after, 500);
}

// SIGKILL may fall between any two bytes: what was written whole before is kept, whatever is cut.
TEST_F(JournalTest, SurvivesACutAtAnyByte) {
  size_t first = 0;
  {
    Journal journal(place(), 500'000, clock());
    journal.accepted(message("a"));
    first = bytes().size();
    journal.accepted(message("b"));
  }
  const std::string whole = bytes();
  for (size_t cut = first; cut < whole.size(); ++cut) {
    std::ofstream(folder_ / "journal", std::ios::binary | std::ios::trunc) << whole.substr(0, cut);
    Journal journal(place(), 500'000, clock());
    ASSERT_EQ(journal.recovered().size(), 1u) << cut;
    ASSERT_TRUE(journal.accepted(message("c")));
    ASSERT_EQ(bytes().size(), whole.size()) << cut;
  }
}

TEST_F(JournalTest, StaysWellUnderTheDiskAndKeepsWhatIsLive) {
  constexpr size_t kDisk = 200'000;
  {
    Journal journal(place(), kDisk / 2);
    ASSERT_TRUE(journal.accepted(message("kept", 1000)));
    for (int i = 0; i < 2000; ++i) {
      const std::string id = "m" + std::to_string(i);
      ASSERT_TRUE(journal.accepted(message(id, 1000)));
      journal.done(id);
      ASSERT_LT(2 * bytes().size(), kDisk);
    }
    int room = 0;
    while (journal.accepted(message("n" + std::to_string(room), 1000))) ++room;
    EXPECT_GT(room, 20);
    EXPECT_TRUE(journal.attempt("kept", 0, 0));  // there is always room for what follows
  }
  const auto left = Journal(place(), kDisk / 2).recovered();
  EXPECT_EQ(left.front().message.id, "kept");
  EXPECT_EQ(left.front().attempts, 1);
}

// Two files of the size that was told must fit while it is compacted; nearly all of one is for messages.
TEST_F(JournalTest, TakesMessagesUntilItsPartOfTheDiskIsUsed) {
  constexpr size_t kDisk = 3'000'000;
  Journal journal(place(), kDisk / 2);
  size_t taken = 0;
  while (journal.accepted(message("m" + std::to_string(taken), 700))) ++taken;  // with its class's rules
  EXPECT_GT(taken * 700, kDisk / 4);
  for (size_t i = 0; i < taken; ++i) {
    const std::string id = "m" + std::to_string(i);
    for (int attempt = 0; attempt < 4; ++attempt) ASSERT_TRUE(journal.attempt(id, attempt, 0)) << i;
    ASSERT_LE(2 * std::filesystem::file_size(folder_ / "journal"), kDisk);
  }
}

TEST_F(JournalTest, RemembersTheLastValueOfAName) {
  constexpr size_t kDisk = 200'000;
  {
    Journal journal(place(), kDisk / 2);
    for (int i = 0; i < 10'000; ++i) journal.remember("a", std::to_string(i));
    journal.remember("b", "x");
    journal.remember("b", "");
    EXPECT_LT(2 * bytes().size(), kDisk);
  }
  EXPECT_EQ(Journal(place(), kDisk / 2).remembered(), (std::map<std::string, std::string>{{"a", "9999"}}));
}

TEST_F(JournalTest, TakesAnIdAgainAfterItsEnd) {
  {
    Journal journal(place(), 500'000, clock());
    journal.accepted(message("a"));
    journal.done("a");
    journal.accepted(message("a", 10, 70'000'000));
  }
  const auto left = Journal(place(), 500'000, clock()).recovered();
  ASSERT_EQ(left.size(), 1u);
  EXPECT_EQ(left[0].message.budget.due(), 70'000'000);
}

TEST_F(JournalTest, KeepsTheRulesOfAClassThatIsGone) {
  MessageRules rules;
  rules.name = "keyed";
  rules.effect = Effect::kKeyed;
  rules.key_scope = KeyScope::kZone;
  rules.key_window = 15'000'000;
  rules.in_order = true;
  rules.target = 4;
  rules.time_to_live = 28;
  rules.value = 3.5;
  rules.late_value = 0.25;
  rules.max_attempts = 8;
  Handed with = message("a");
  with.rules = std::make_shared<const MessageRules>(rules);
  Journal(place(), 500'000, clock()).accepted(with);
  const auto left = Journal(place(), 500'000, clock()).recovered();
  ASSERT_TRUE(left.at(0).message.rules);
  const MessageRules& read = *left[0].message.rules;
  EXPECT_EQ(read.name, "keyed");
  EXPECT_EQ(read.effect, Effect::kKeyed);
  EXPECT_EQ(read.key_scope, KeyScope::kZone);
  EXPECT_EQ(read.key_window, 15'000'000);
  EXPECT_TRUE(read.in_order);
  EXPECT_EQ(read.target, 4);
  EXPECT_EQ(read.time_to_live, 28);
  EXPECT_EQ(read.value, 3.5);
  EXPECT_EQ(read.late_value, 0.25);
  EXPECT_EQ(read.max_attempts, 8);
}

// Two processes share the folder for a while: each writes one journal, and none touches the other's.
TEST_F(JournalTest, HasOneWriterForEachOfItsPlaces) {
  auto first = Place::take(folder_, 0);
  ASSERT_TRUE(first);
  EXPECT_FALSE(Place::take(folder_, 0));
  std::ofstream(folder_ / "journal.new") << "being compacted";
  EXPECT_FALSE(Place::take(folder_, 0));
  EXPECT_TRUE(std::filesystem::exists(folder_ / "journal.new"));
  EXPECT_TRUE(Place::take(folder_, 1));
  first.reset();
  EXPECT_TRUE(Place::take(folder_, 0));
  EXPECT_FALSE(std::filesystem::exists(folder_ / "journal.new"));
}

TEST_F(JournalTest, AdoptsWhatAnotherLeftButNothingTwice) {
  {
    Journal other(*Place::take(folder_, 1), 500'000, clock());
    for (const std::string id : {"a", "b", "c", "d"}) ASSERT_TRUE(other.accepted(message(id)));
    other.attempt("b", 0, 1);
    other.done("d");
    other.remember(Journal::kRevision, "5");
    other.remember("host h", "x");
  }
  const auto left = Place::take(folder_, 1);
  Journal journal(place(), 500'000, clock());
  journal.remember(Journal::kRevision, "4");
  ASSERT_TRUE(journal.accepted(message("a")));
  const auto adopted = journal.adopt(left->read(), {"c"}).taken;
  ASSERT_EQ(adopted.size(), 1u);
  EXPECT_EQ(adopted[0].message.id, "b");
  EXPECT_EQ(adopted[0].unsettled.size(), 1u);
  EXPECT_EQ(journal.remembered().at("host h"), "x");
  EXPECT_TRUE(journal.adopt(left->read(), {"c"}).taken.empty());
  EXPECT_EQ(journal.read(bytes()).size(), 2u);
}

TEST_F(JournalTest, FrozenItStaysInsideWhatItTold) {
  Journal journal(place(), 200'000);
  for (int i = 0; i < 100; ++i) ASSERT_TRUE(journal.accepted(message("m" + std::to_string(i), 500)));
  const size_t told = journal.freeze();
  EXPECT_LT(told, 200'000u);
  for (int i = 0; i < 5000; ++i) journal.remember("a", std::to_string(i));
  EXPECT_LE(bytes().size(), told);
  EXPECT_FALSE(std::filesystem::exists(folder_ / "journal.new"));
}

}  // namespace
}  // namespace firspool::relay
