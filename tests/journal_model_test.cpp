// The journal against a model of what it promised, on a disk that fails for a while and under SIGKILL in any
// call.
#include <stdlib.h>

#include <filesystem>
#include <map>
#include <set>

#include "../relay/journal.h"
#include "../relay/lasting_file.h"
#include "failing_disk.h"
#include "gtest/gtest.h"

namespace firspool::relay {
namespace {

namespace fs = std::filesystem;

constexpr int kPlans = 1500;
constexpr int kLives = 5;   // of the process, in one plan
constexpr int kSteps = 30;  // in one life

// What the journal answered of a message.
struct Promise {
  bool accepted = false;
  bool maybe_accepted = false;  // the process was killed before the answer
  bool over = false;            // its end was handed to the journal
  bool surely_over = false;     // and is on disk
  std::set<int> attempts;       // on disk, and may have run
  std::set<int> maybe_attempts;
  int next = 0;
};

class Plan {
 public:
  explicit Plan(uint64_t seed) : disk_(seed) {
    std::string pattern = fs::temp_directory_path() / "umberhoist-model-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
    most_ = disk_.chance(0.5) ? 6'000 : 60'000;
  }
  ~Plan() { fs::remove_all(folder_); }

  void play() {
    for (int life = 0; life < kLives && !::testing::Test::HasFailure(); ++life) {
      disk_.restart();
      disk_.failing = disk_.chance(0.7);
      auto journal = start();
      check(journal->recovered(), journal->remembered());
      for (int step = 0; step < kSteps && !disk_.killed; ++step) {
        if (disk_.chance(0.15)) disk_.failing = !disk_.failing;
        if (step > kSteps / 2 && disk_.chance(0.1)) disk_.kill_soon();
        advance(*journal);
      }
      disk_.killed = true;  // SIGKILL: what is in no file is gone
    }
    disk_.restart();
    disk_.failing = false;
    const auto last = start();
    check(last->recovered(), last->remembered());
  }

 private:
  // A start that meets the failures tries again, as the program does; the spell ends at some time.
  std::unique_ptr<Journal> start() {
    for (int tries = 0;; ++tries) {
      try {
        if (tries > 5) disk_.failing = false;
        return std::make_unique<Journal>(
            std::move(*Place::take(folder_, 0)), most_, [this] { return now_; }, 0, disk_);
      } catch (const std::exception&) {
        if (tries > 10) throw;
      }
    }
  }

  void advance(Journal& journal) {
    now_.steady += 1000;
    now_.wall += 1000;
    const size_t what = disk_.between(0, 9);
    if (what < 3 || promises_.empty()) return accept(journal);
    if (what == 3) return learn(journal);
    auto it = promises_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(disk_.between(0, promises_.size() - 1)));
    Promise& promise = it->second;
    if (!promise.accepted || promise.over || !journal.holds(it->first)) return;
    if (what < 7) return attempt(journal, it->first, promise);
    if (what == 7) return settle(journal, it->first, promise);
    if (what == 8) return (void)journal.owed({it->first, true, 0});
    finish(journal, it->first, promise);
  }

  void accept(Journal& journal) {
    const std::string id = "m" + std::to_string(promises_.size());
    const Handed message{
        id, "keyed", "key", 7, Budget::until(60'000'000), std::string(disk_.between(0, 300), 'b'),
        "", rules_};
    const bool answer = journal.accepted(message);
    Promise& promise = promises_[id];
    promise.accepted = answer && !disk_.killed;
    promise.maybe_accepted = disk_.killed;
  }

  void attempt(Journal& journal, const std::string& id, Promise& promise) {
    const bool answer = journal.attempt(id, promise.next, 1);
    if (disk_.killed) {
      promise.maybe_attempts.insert(promise.next);
    } else if (answer) {
      promise.attempts.insert(promise.next++);
    }
  }

  void settle(Journal& journal, const std::string& id, Promise& promise) {
    if (promise.attempts.empty()) return;
    const int number = *promise.attempts.rbegin();
    journal.never_ran(id, number);
    promise.attempts.erase(number);
    promise.maybe_attempts.insert(number);  // where it could not be written, the attempt may have run
  }

  void finish(Journal& journal, const std::string& id, Promise& promise) {
    promise.surely_over = journal.done(id) && !disk_.killed;
    promise.over = true;
  }

  // A revision stands for its hosts: it is never there without them.
  void learn(Journal& journal) {
    ++revision_;
    journal.remember("host 1", std::to_string(revision_));
    journal.remember(Journal::kRevision, std::to_string(revision_));
  }

  void check(const std::vector<Recovered>& recovered, const std::map<std::string, std::string>& facts) {
    std::map<std::string, const Recovered*> found;
    for (const Recovered& entry : recovered) found[entry.message.id] = &entry;
    for (auto& [id, promise] : promises_) {
      const auto it = found.find(id);
      if (it == found.end()) {
        EXPECT_FALSE(promise.accepted && !promise.over) << id << " was accepted and is lost";
        if (promise.maybe_accepted) promise.over = true;  // it was not
        continue;
      }
      EXPECT_TRUE(promise.accepted || promise.maybe_accepted) << id << " was refused and is there";
      EXPECT_FALSE(promise.surely_over) << id << " is over and is there";
      for (const int number : promise.attempts) {
        EXPECT_TRUE(promise.over || it->second->unsettled.contains(number))
            << id << " lost attempt " << number;
      }
      for (const auto& [number, sent] : it->second->unsettled) {
        EXPECT_TRUE(promise.attempts.contains(number) || promise.maybe_attempts.contains(number))
            << id << " has an attempt that did not start: " << number;
      }
      promise.accepted = true;
      promise.over = promise.surely_over = false;
      promise.next = std::max(promise.next, it->second->attempts);
    }
    const auto revision = facts.find(Journal::kRevision);
    const auto host = facts.find("host 1");
    if (revision == facts.end()) return;
    ASSERT_NE(host, facts.end());
    EXPECT_GE(std::stoi(host->second), std::stoi(revision->second)) << "a revision without its host";
  }

  testing::FailingDisk disk_;
  fs::path folder_;
  size_t most_ = 0;
  int revision_ = 0;
  Instant now_{50'000'000, 1'800'000'000'000'000, 7};
  std::shared_ptr<const MessageRules> rules_ = std::make_shared<const MessageRules>();
  std::map<std::string, Promise> promises_;
};

TEST(JournalModel, WhatWasAnsweredHoldsUnderFailingCallsAndKills) {
  for (uint64_t seed = 1; seed <= kPlans; ++seed) {
    SCOPED_TRACE("plan " + std::to_string(seed));
    Plan(seed).play();
    if (HasFailure()) return;
  }
}

class BrokenDisk : public Disk {
 public:
  bool broken = false;
  ssize_t write(int file, const void* bytes, size_t count) override {
    if (!broken) return Disk::write(file, bytes, count);
    errno = EIO;
    return -1;
  }
};

// What another process left stays there until all of it is here.
TEST(JournalModel, TakesOverLaterWhatItCannotWriteNow) {
  std::string pattern = fs::temp_directory_path() / "umberhoist-adopt-XXXXXX";
  const fs::path folder = ::mkdtemp(pattern.data());
  const auto rules = std::make_shared<const MessageRules>();
  Journal other(std::move(*Place::take(folder, 1)), 60'000);
  for (const char* id : {"a", "b"}) {
    ASSERT_TRUE(other.accepted({id, "keyed", "key", 7, Budget::until(60'000'000), "body", "", rules}));
  }
  const std::string left = read_file(folder / "journal.2");
  BrokenDisk disk;
  Journal journal(std::move(*Place::take(folder, 0)), 60'000, instant_now, 0, disk);
  disk.broken = true;
  const Journal::Adopted none = journal.adopt(left);
  EXPECT_EQ(none.unwritten.size(), 2u);
  EXPECT_TRUE(none.taken.empty() && none.without_room.empty());
  disk.broken = false;
  const Journal::Adopted all = journal.adopt(left);
  EXPECT_TRUE(all.unwritten.empty());
  EXPECT_EQ(all.taken.size(), 2u);
  fs::remove_all(folder);
}

}  // namespace
}  // namespace firspool::relay
