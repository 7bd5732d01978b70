// Hits of customers' rules in the journal: exact whatever is cut off, compacted, taken over or read twice.
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
  access::Limits limits;
  access::Compiled compiled{access::parse_rules(access::testing::settings_with(
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
    out.verdict = compiled.verdict(customer, message_class, 7, 0);
    return out;
  }
  // Two rules decide one that is taken on, one rule one that is denied.
  bool take_on(Journal& journal, const std::string& id) const { return journal.accepted(message(id)); }
  bool deny(Journal& journal) const { return journal.denied(*message("", "status").verdict); }
};

constexpr size_t kFile = 500'000;

// Hits by a process that died after each prefix of what it wrote.
uint64_t total_in(const Folder& folder, int number = 0) {
  return Journal(folder.place(number), kFile).hits().counts().total();
}

TEST(AccessJournal, CountsWholeRecordsAndNoOthersWhereverTheFileIsCut) {
  const Rules rules;
  Folder folder;
  std::map<size_t, uint64_t> after;  // by size: hits
  {
    Journal journal(folder.place(), kFile);
    const auto now = [&](uint64_t hits) { after[fs::file_size(folder.file())] = hits; };
    now(0);
    ASSERT_TRUE(rules.take_on(journal, "a"));
    now(2);
    ASSERT_TRUE(rules.deny(journal));
    now(3);
    ASSERT_TRUE(journal.attempt("a", 0, 1));
    journal.done("a");
    ASSERT_TRUE(journal.accepted(rules.message("b", "record", "free")));  // without rules
    now(3);
    ASSERT_TRUE(rules.take_on(journal, "a"));  // one of the same id, later
    now(5);
    ASSERT_TRUE(rules.deny(journal));
    now(6);
    EXPECT_EQ(journal.hits().counts().total(), 6u);
    EXPECT_EQ(
        journal.hits().counts().of({"acme", "no", rules.message("", "status").verdict->rules[0].digest}), 2u);
  }
  const std::string bytes = read_file(folder.file());
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    Folder torn;
    torn.put(0, bytes.substr(0, cut));
    ASSERT_EQ(total_in(torn), std::prev(after.upper_bound(cut))->second) << cut;
    if (cut % 7 != 0) continue;
    {  // it goes on behind the cut
      Journal journal(torn.place(), kFile);
      ASSERT_TRUE(rules.deny(journal));
    }
    ASSERT_EQ(total_in(torn), std::prev(after.upper_bound(cut))->second + 1) << cut;
  }
}

TEST(AccessJournal, ACompactionKeepsTheCountsAtEachStep) {
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
      ASSERT_TRUE(rules.take_on(journal, id));
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

TEST(AccessJournal, WhatCannotBeWrittenIsNotCounted) {
  const Rules rules;
  Folder folder;
  Journal journal(folder.place(), 2'000);
  uint64_t hits = 0;
  for (int i = 0; i < 40; ++i) hits += rules.take_on(journal, std::to_string(i)) ? 2 : 0;
  EXPECT_GT(hits, 0u);
  EXPECT_LT(hits, 80u);
  EXPECT_EQ(journal.hits().counts().total(), hits);
  journal.limit(100);
  EXPECT_FALSE(rules.deny(journal));
  EXPECT_EQ(journal.hits().counts().total(), hits);
  Folder shut;
  fs::create_directory(shut.path / "access.origin");  // the folder's number can be neither read nor written
  Journal numberless(shut.place(), kFile);
  EXPECT_FALSE(rules.deny(numberless));
  EXPECT_FALSE(rules.take_on(numberless, "a"));
  EXPECT_TRUE(numberless.accepted(rules.message("b", "record", "free")));
  EXPECT_EQ(numberless.hits().counts().total(), 0u);
}

// The predecessor dies; its successor adds what it counted, and dies between any two bytes of that.
TEST(AccessJournal, ADeadPredecessorsCountsAreAddedOnceWhereverTheSuccessorDies) {
  const Rules rules;
  Folder folder;
  uint64_t before = 0;
  std::map<size_t, uint64_t> after;
  {
    Journal old(folder.place(0), kFile), fresh(folder.place(1), kFile);
    ASSERT_TRUE(rules.take_on(old, "a"));
    ASSERT_TRUE(rules.take_on(old, "b"));
    ASSERT_TRUE(rules.deny(old));
    const auto now = [&](uint64_t hits) { after[fs::file_size(folder.file(1))] = hits; };
    now(0);
    ASSERT_TRUE(rules.deny(fresh));
    now(1);
    // Handed over while both run: it was counted already.
    ASSERT_EQ(fresh.adopt(old.records("a")).taken.size(), 1u);
    EXPECT_EQ(fresh.hits().counts().total(), 1u);
    old.done("a");
    ASSERT_TRUE(rules.take_on(old, "c"));  // at the predecessor's door, late
    before = old.hits().counts().total();
    EXPECT_EQ(fresh.hits().folder(), old.hits().folder());
    ASSERT_EQ(fresh.adopt(read_file(folder.file(0)), {"a"}).taken.size(), 2u);
    EXPECT_EQ(fresh.hits().counts().total(), 1 + before);
    (void)fresh.adopt(read_file(folder.file(0)), {"a"});
    EXPECT_EQ(fresh.hits().counts().total(), 1 + before) << "read twice";
  }
  const std::string left = read_file(folder.file(0)), bytes = read_file(folder.file(1));
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    // Started anew, with the left file still there: it goes on with the one journal, or with the other.
    const uint64_t own = std::prev(after.upper_bound(cut))->second;
    for (const int first : {1, 0}) {
      Folder torn;
      fs::copy_file(folder.path / "access.origin", torn.path / "access.origin");
      torn.put(0, left);
      torn.put(1, bytes.substr(0, cut));
      {
        Journal journal(torn.place(first), kFile);
        (void)journal.adopt(read_file(torn.file(1 - first)));
        ASSERT_EQ(journal.hits().counts().total(), own + before) << cut << " " << first;
      }
      fs::remove(torn.file(1 - first));
      ASSERT_EQ(total_in(torn, first), own + before) << cut << " " << first;
    }
  }
}

// A successor is lost: what it wrote comes back, with records that this file counted itself.
TEST(AccessJournal, AMessageThatComesBackIsNotCountedAgain) {
  const Rules rules;
  Folder folder;
  {
    Journal old(folder.place(0), kFile), fresh(folder.place(1), kFile);
    ASSERT_TRUE(rules.take_on(old, "a"));
    ASSERT_EQ(fresh.adopt(old.records("a")).taken.size(), 1u);
    old.done("a");
    const auto back = old.adopt(read_file(folder.file(1))).taken;
    ASSERT_EQ(back.size(), 1u);
    EXPECT_EQ(back[0].verdict, rules.message("a").verdict->record);
    EXPECT_EQ(old.hits().counts().total(), 2u);
  }
  EXPECT_EQ(total_in(folder), 2u);
  Journal again(folder.place(0), kFile);
  ASSERT_EQ(again.recovered().size(), 1u);
}

TEST(AccessJournal, WithoutRulesNotAByteDiffers) {
  const Rules rules;
  Folder folder;
  const Handed plain = rules.message("a", "record", "free");
  ASSERT_EQ(plain.verdict, nullptr);
  const Instant now = instant_now();
  EXPECT_EQ(record::accepted(plain, now, 0), record::accepted(plain, now, 77));
  {
    Journal journal(folder.place(), kFile, [&] { return now; });
    ASSERT_TRUE(journal.accepted(plain));
  }
  EXPECT_EQ(read_file(folder.file()), record::accepted(plain, now, 0));
  EXPECT_FALSE(fs::exists(folder.path / "access.origin"));
}

}  // namespace
}  // namespace firspool::relay
