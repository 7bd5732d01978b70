// Hits of customers' rules in the journal: counts stay exact when the file is truncated, compacted, handed
// over or read twice.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "../relay/journal.h"
#include "../relay/lasting_file.h"
#include "access_rules.h"

namespace firspool::relay {
namespace {

namespace access = umberhoist::access;
namespace fs = std::filesystem;

struct Folder {
  fs::path path;
  Folder() {
    std::string pattern = fs::temp_directory_path() / "access-journal-XXXXXX";
    path = ::mkdtemp(pattern.data());
  }
  ~Folder() { fs::remove_all(path); }
  Place place(int number = 0) const { return *Place::take(path, number); }
  fs::path file(int number = 0) const { return path / (number == 0 ? "journal" : "journal.2"); }
  void put(int number, const std::string& bytes) const {
    std::ofstream(file(number), std::ios::binary) << bytes;
  }
};

struct Rules {
  access::LimitRegistry limits;
  access::CompiledRules compiled{
      access::parse_rules(access::testing::settings_with(
          {{{"id", "no"}, {"say", "deny"}, {"class", {"status"}}},
           {{"id", "near"}, {"say", "prefer"}, {"to", {"dc1"}}, {"kind", {"card"}}}})),
      limits};
  Handed message(const std::string& id, const char* message_class = "record",
                 const char* customer = "acme") const {
    Handed out;
    out.id = id;
    out.message_class = message_class;
    out.tenant = customer;
    out.body = "body";
    out.budget = Budget::begin(steady_now(), 60'000'000);
    out.rules = std::make_shared<const MessageRules>();
    out.verdict = compiled.decide(customer, message_class, 7, 0);
    return out;
  }
  // Two rules decide an accepted message, one rule decides a denied one.
  bool accept(Journal& journal, const std::string& id) const { return journal.accepted(message(id)); }
  bool deny(Journal& journal) const { return journal.denied(*message("", "status").verdict); }
};

constexpr size_t kMaxFileBytes = 500'000;

// The hits that a process reads from the journal file as it is now.
uint64_t total_in(const Folder& folder, int number = 0) {
  return Journal(folder.place(number), kMaxFileBytes).hits().counts().total();
}

TEST(AccessJournal, CountsExactlyTheCompleteRecordsOfATruncatedFile) {
  const Rules rules;
  Folder folder;
  std::map<size_t, uint64_t> hits_at_size;  // hits by file size
  {
    Journal journal(folder.place(), kMaxFileBytes);
    const auto record_hits = [&](uint64_t hits) { hits_at_size[fs::file_size(folder.file())] = hits; };
    record_hits(0);
    ASSERT_TRUE(rules.accept(journal, "a"));
    record_hits(2);
    ASSERT_TRUE(rules.deny(journal));
    record_hits(3);
    ASSERT_TRUE(journal.attempt("a", 0, 1));
    journal.done("a");
    ASSERT_TRUE(journal.accepted(rules.message("b", "record", "free")));  // a customer without rules
    record_hits(3);
    ASSERT_TRUE(rules.accept(journal, "a"));  // the same id again, after its end
    record_hits(5);
    ASSERT_TRUE(rules.deny(journal));
    record_hits(6);
    EXPECT_EQ(journal.hits().counts().total(), 6u);
    EXPECT_EQ(journal.hits().counts().count_of(
                  {"acme", "no", rules.message("", "status").verdict->rules[0].digest}),
              2u);
  }
  const std::string bytes = read_file(folder.file());
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    Folder truncated;
    truncated.put(0, bytes.substr(0, cut));
    ASSERT_EQ(total_in(truncated), std::prev(hits_at_size.upper_bound(cut))->second) << cut;
    if (cut % 7 != 0) continue;
    {  // appends after the truncated record
      Journal journal(truncated.place(), kMaxFileBytes);
      ASSERT_TRUE(rules.deny(journal));
    }
    ASSERT_EQ(total_in(truncated), std::prev(hits_at_size.upper_bound(cut))->second + 1) << cut;
  }
}

TEST(AccessJournal, CompactionKeepsTheCounts) {
  const Rules rules;
  Folder folder;
  Journal journal(folder.place(), 12'000);
  uint64_t hits = 0;
  size_t compactions = 0, size = 0;
  for (int i = 0; i < 150; ++i) {
    const std::string id = "m" + std::to_string(i);
    if (i % 3 == 0) {
      ASSERT_TRUE(rules.deny(journal));
      hits += 1;
    } else {
      ASSERT_TRUE(rules.accept(journal, id));
      hits += 2;
    }
    if (i >= 6) journal.done("m" + std::to_string(i - 6));
    compactions += fs::file_size(folder.file()) < size;
    size = fs::file_size(folder.file());
    Folder copy;
    fs::copy_file(folder.file(), copy.file());
    ASSERT_EQ(total_in(copy), hits) << i;
  }
  EXPECT_GE(compactions, 2u);
}

TEST(AccessJournal, AMessageThatCannotBeWrittenIsNotCounted) {
  const Rules rules;
  Folder folder;
  Journal journal(folder.place(), 2'000);
  uint64_t hits = 0;
  for (int i = 0; i < 40; ++i) hits += rules.accept(journal, std::to_string(i)) ? 2 : 0;
  EXPECT_GT(hits, 0u);
  EXPECT_LT(hits, 80u);
  EXPECT_EQ(journal.hits().counts().total(), hits);
  journal.limit(100);
  EXPECT_FALSE(rules.deny(journal));
  EXPECT_EQ(journal.hits().counts().total(), hits);
  Folder unusable;
  fs::create_directory(unusable.path / "access.origin");  // so its folder id can be neither read nor written
  Journal without_folder_id(unusable.place(), kMaxFileBytes);
  EXPECT_FALSE(rules.deny(without_folder_id));
  EXPECT_FALSE(rules.accept(without_folder_id, "a"));
  EXPECT_TRUE(without_folder_id.accepted(rules.message("b", "record", "free")));
  EXPECT_EQ(without_folder_id.hits().counts().total(), 0u);
}

// The predecessor dies, and its successor adds the predecessor's counts. The successor may die after any byte
// that it writes; no hit may be lost or counted twice then.
TEST(AccessJournal, APredecessorsCountsAreAddedOnceEvenIfTheSuccessorDies) {
  const Rules rules;
  Folder folder;
  uint64_t before = 0;
  std::map<size_t, uint64_t> hits_at_size;
  {
    Journal predecessor(folder.place(0), kMaxFileBytes), successor(folder.place(1), kMaxFileBytes);
    ASSERT_TRUE(rules.accept(predecessor, "a"));
    ASSERT_TRUE(rules.accept(predecessor, "b"));
    ASSERT_TRUE(rules.deny(predecessor));
    const auto record_hits = [&](uint64_t hits) { hits_at_size[fs::file_size(folder.file(1))] = hits; };
    record_hits(0);
    ASSERT_TRUE(rules.deny(successor));
    record_hits(1);
    // Handed over while both run: the predecessor counted it.
    ASSERT_EQ(successor.adopt(predecessor.records("a")).taken.size(), 1u);
    EXPECT_EQ(successor.hits().counts().total(), 1u);
    predecessor.done("a");
    ASSERT_TRUE(rules.accept(predecessor, "c"));  // accepted by the predecessor after the handover began
    before = predecessor.hits().counts().total();
    EXPECT_EQ(successor.hits().folder(), predecessor.hits().folder());
    ASSERT_EQ(successor.adopt(read_file(folder.file(0)), {"a"}).taken.size(), 2u);
    EXPECT_EQ(successor.hits().counts().total(), 1 + before);
    (void)successor.adopt(read_file(folder.file(0)), {"a"});
    EXPECT_EQ(successor.hits().counts().total(), 1 + before) << "read twice";
  }
  const std::string predecessor_bytes = read_file(folder.file(0)), bytes = read_file(folder.file(1));
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    // A new process starts while both files exist, and continues with either of them.
    const uint64_t own = std::prev(hits_at_size.upper_bound(cut))->second;
    for (const int first : {1, 0}) {
      Folder truncated;
      fs::copy_file(folder.path / "access.origin", truncated.path / "access.origin");
      truncated.put(0, predecessor_bytes);
      truncated.put(1, bytes.substr(0, cut));
      {
        Journal journal(truncated.place(first), kMaxFileBytes);
        (void)journal.adopt(read_file(truncated.file(1 - first)));
        ASSERT_EQ(journal.hits().counts().total(), own + before) << cut << " " << first;
      }
      fs::remove(truncated.file(1 - first));
      ASSERT_EQ(total_in(truncated, first), own + before) << cut << " " << first;
    }
  }
}

// The successor is lost, and the predecessor reads its file back: it holds a message that the predecessor
// counted.
TEST(AccessJournal, AMessageHandedBackIsNotCountedAgain) {
  const Rules rules;
  Folder folder;
  {
    Journal predecessor(folder.place(0), kMaxFileBytes), successor(folder.place(1), kMaxFileBytes);
    ASSERT_TRUE(rules.accept(predecessor, "a"));
    ASSERT_EQ(successor.adopt(predecessor.records("a")).taken.size(), 1u);
    predecessor.done("a");
    const auto back = predecessor.adopt(read_file(folder.file(1))).taken;
    ASSERT_EQ(back.size(), 1u);
    EXPECT_EQ(back[0].verdict, rules.message("a").verdict->record);
    EXPECT_EQ(predecessor.hits().counts().total(), 2u);
  }
  EXPECT_EQ(total_in(folder), 2u);
  Journal restarted(folder.place(0), kMaxFileBytes);
  ASSERT_EQ(restarted.recovered().size(), 1u);
}

TEST(AccessJournal, RecordsOfCustomersWithoutRulesAreUnchanged) {
  const Rules rules;
  Folder folder;
  const Handed plain = rules.message("a", "record", "free");
  ASSERT_EQ(plain.verdict, nullptr);
  const Instant now = instant_now();
  EXPECT_EQ(record::accepted(plain, now, 0), record::accepted(plain, now, 77));
  {
    Journal journal(folder.place(), kMaxFileBytes, [&] { return now; });
    ASSERT_TRUE(journal.accepted(plain));
  }
  EXPECT_EQ(read_file(folder.file()), record::accepted(plain, now, 0));
  EXPECT_FALSE(fs::exists(folder.path / "access.origin"));
}

}  // namespace
}  // namespace firspool::relay
