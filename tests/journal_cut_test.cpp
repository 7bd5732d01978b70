// A journal that ends anywhere: SIGKILL between any two bytes, and records for which there is no room.
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <functional>

#include "../relay/journal.h"
#include "../relay/lasting_file.h"
#include "gtest/gtest.h"

namespace firspool::relay {
namespace {

constexpr size_t kMost = 500'000;

class JournalCut : public ::testing::Test {
 protected:
  JournalCut() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-cut-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
  }
  ~JournalCut() override { std::filesystem::remove_all(folder_); }

  Journal open() const {
    return Journal(std::move(*Place::take(folder_, 0)), kMost, [this] { return now_; });
  }
  std::filesystem::path path() const { return folder_ / "journal"; }
  std::string bytes() const { return read_file(path()); }
  void replace(const std::string& bytes) const {
    std::ofstream(path(), std::ios::binary | std::ios::trunc) << bytes;
  }
  Handed message(const std::string& id) const {
    return {id, "keyed", "key", 7, Budget::until(60'000'000), "body", "acme", rules_};
  }
  // What a next process would find, by the file as it is.
  std::string found() const {
    std::string out;
    const JournalContent content(bytes(), now_);
    for (const auto& [place, entry] : content.messages) {
      out += entry.what.message.id + ":" + std::to_string(entry.what.attempts);
      for (const auto& [number, sent] : entry.what.unsettled) {
        out += " " + std::to_string(number) + "@" + std::to_string(sent.first) + "/" +
               std::to_string(sent.second);
      }
      if (entry.what.owed) out += entry.what.owed->returned ? " returned" : " failed";
      out += "; ";
    }
    return out;
  }
  // Nothing more can be written: neither behind what is there, nor by a compaction.
  void fill(Journal& journal) const {
    std::filesystem::create_directory(path().string() + ".new");
    journal.limit(bytes().size());
  }
  // It has revision 1 and is full; of revision 2 there is room for the number, but not for what it stands
  // for.
  void learn_in_vain(Journal& journal, const std::string& drained) const {
    journal.remember("host 1", "active");
    journal.remember(Journal::kRevision, "1");
    fill(journal);
    journal.limit(bytes().size() + 60);
    journal.remember("host 1", drained);
    journal.remember(Journal::kRevision, "2");
  }
  void make_room(Journal& journal) const {
    std::filesystem::remove(path().string() + ".new");
    journal.limit(kMost);
  }

  std::filesystem::path folder_;
  Instant now_{50'000'000, 1'800'000'000'000'000, 7};
  std::shared_ptr<const MessageRules> rules_ = std::make_shared<const MessageRules>();
};

// Each record counts from its last byte on, and not a byte sooner; what comes behind a cut one is read too.
TEST_F(JournalCut, EachRecordCountsFromItsLastByteOn) {
  const std::vector<std::function<void(Journal&)>> steps = {
      [&](Journal& j) { ASSERT_TRUE(j.accepted(message("a"))); },
      [](Journal& j) { ASSERT_TRUE(j.attempt("a", 0, 1)); },
      [](Journal& j) { j.never_ran("a", 0); },
      [&](Journal& j) { ASSERT_TRUE(j.accepted(message("b"))); },
      [&](Journal& j) {
        now_.steady += 1000;
        ASSERT_TRUE(j.attempt("a", 1, 0));
      },
      [](Journal& j) { ASSERT_TRUE(j.attempt("b", 0, 1)); },
      [](Journal& j) {
        ASSERT_TRUE(j.owed({"a", false, 0}));
      },
      [](Journal& j) { ASSERT_TRUE(j.done("a")); },
      [](Journal& j) { ASSERT_TRUE(j.done("b")); },
  };
  std::vector<size_t> ends = {0};
  std::vector<std::string> expected = {""};
  {
    Journal journal = open();
    for (const auto& step : steps) {
      step(journal);
      ends.push_back(bytes().size());
      expected.push_back(found());
    }
  }
  EXPECT_EQ(expected, (std::vector<std::string>{
                          "", "a:0; ", "a:1 0@50000000/1; ", "a:1; ", "a:1; b:0; ", "a:2 1@50001000/0; b:0; ",
                          "a:2 1@50001000/0; b:1 0@50001000/1; ",
                          "a:2 1@50001000/0 failed; b:1 0@50001000/1; ", "b:1 0@50001000/1; ", ""}));
  const std::string whole = bytes();
  for (size_t step = 0; step + 1 < ends.size(); ++step) {
    for (size_t cut = ends[step]; cut < ends[step + 1]; ++cut) {
      replace(whole.substr(0, cut));
      ASSERT_EQ(found(), expected[step]) << cut;
      Journal journal = open();
      ASSERT_EQ(bytes().size(), ends[step]) << cut;
      ASSERT_TRUE(journal.accepted(message("c")));
      ASSERT_EQ(found(), expected[step] + "c:0; ") << cut;
    }
  }
}

TEST_F(JournalCut, WhatCannotBeWrittenHasNotHappened) {
  Journal journal = open();
  for (const std::string id : {"a", "b", "c", "d"}) ASSERT_TRUE(journal.accepted(message(id)));
  for (const std::string id : {"b", "c"}) ASSERT_TRUE(journal.attempt(id, 0, 1));
  const std::string before = found();
  fill(journal);
  EXPECT_FALSE(journal.accepted(message("e")));  // and is not taken on
  EXPECT_FALSE(journal.attempt("a", 0, 1));      // and does not start
  journal.never_ran("b", 0);                     // counts as one that may have run
  EXPECT_FALSE(journal.done("c"));               // is found again
  EXPECT_FALSE(journal.owed({"d", true, 0}));    // and so is this one
  EXPECT_EQ(found(), before);
  make_room(journal);  // by itself it recovers: what happened meanwhile is written with the next compaction
  journal.freeze();
  EXPECT_EQ(found(), "a:0; b:1; d:0 returned; ");
  journal.limit(kMost);
  EXPECT_TRUE(journal.accepted(message("e")));
  EXPECT_TRUE(journal.attempt("a", 0, 1));
  EXPECT_EQ(found(), "a:1 0@50000000/1; b:1; d:0 returned; e:0; ");
}

// A list's revision says that its hosts are there: behind one that could not be written it would hide a
// drain.
TEST_F(JournalCut, AFactIsNotThereBeforeThoseThatCameFirst) {
  const std::string drained(100, 'd');
  {
    Journal journal = open();
    learn_in_vain(journal, drained);
  }
  std::filesystem::remove(path().string() + ".new");
  Journal journal = open();
  EXPECT_EQ(journal.remembered().at("host 1"), "active");
  EXPECT_EQ(journal.remembered().at(Journal::kRevision), "1");
}

TEST_F(JournalCut, FactsThatFoundNoRoomAreWrittenOnceThereIsSome) {
  const std::string drained(100, 'd');
  {
    Journal journal = open();
    learn_in_vain(journal, drained);
    make_room(journal);
    journal.remember("host 1", drained);  // as it was: nothing new is to be written
    journal.remember(Journal::kRevision, "2");
    journal.remember(Journal::kRevision, "3");
  }
  Journal journal = open();
  EXPECT_EQ(journal.remembered().at("host 1"), drained);
  EXPECT_EQ(journal.remembered().at(Journal::kRevision), "3");
}

}  // namespace
}  // namespace firspool::relay
