// SIGKILL between each two steps of a message's life: what the next process finds, and how each debt is paid.
#include <csignal>
#include <set>

#include "../relay/journal.h"
#include "program_stage.h"

namespace firspool::testing {
namespace {

using relay::Journal;

constexpr const char* kId = "00000000000000a1";
constexpr Time kLongAgo = 30'000'000;

// A journal as a process left it that was killed.
struct Left : Stage {
  Time ago = 0;  // how long before now the next record is written
  MessageRules rules;

  explicit Left(const std::string& effect) {
    rules.name = effect;
    rules.effect = effect == "safe" ? Effect::kSafe : effect == "keyed" ? Effect::kKeyed : Effect::kUnsafe;
    rules.key_scope = KeyScope::kAll;
    rules.key_window = 20'000'000;
    rules.max_attempts = 6;
    rules.target = 2'000'000;
    rules.time_to_live = 60'000'000;
    rules.value = 1;
    rules.late_value = 0.3;
  }
  // A for accepted, T an attempt, N the last one never ran, O a notice is owed, D done; < all after it just
  // now, what was before long ago.
  void write(const std::string& records) {
    ago = records.find('<') != std::string::npos ? kLongAgo : 0;
    Journal journal(std::move(*relay::Place::take(program.state(), 0)), 1'000'000, [this] {
      relay::Instant now = relay::instant_now();
      now.steady -= ago;
      now.wall -= ago;
      return now;
    });
    int attempts = 0;
    for (const char record : records) {
      bool written = true;
      if (record == '<') ago = 0;
      if (record == 'A') written = journal.accepted(message());
      if (record == 'T') written = journal.attempt(kId, attempts++, 0);
      if (record == 'N') journal.never_ran(kId, attempts - 1);
      if (record == 'O') written = journal.owed({kId, false, 0});
      if (record == 'D') written = journal.done(kId);
      ASSERT_TRUE(written) << record;
    }
  }
  relay::Handed message() const {
    relay::Handed out;
    out.id = kId;
    out.message_class = rules.name;
    out.key = "5c0f6e1a2b3d4c59";
    out.destination = 7;
    out.budget = relay::Budget::until(relay::steady_now() + 60'000'000);
    out.body = "body";
    out.rules = std::make_shared<const MessageRules>(rules);
    return out;
  }
  // The next call is a new message's, and so is the next notice: nothing else was owed.
  void expect_no_more() {
    EXPECT_EQ(put("00000000000000b1", facts("unsafe")), "+OK");
    EXPECT_EQ(id_of(host.next()), "00000000000000b1");
    host.reset();
    EXPECT_EQ(discovery.notice(), nlohmann::json({{"id", "00000000000000b1"}, {"state", "failed"}}));
  }
};

struct Case {
  std::string effect, records;
  bool called;  // else it is over with a notice, or was before
  bool noticed = false;
};

TEST(ProgramKill, EachDebtIsPaidByTheNextProcess) {
  const std::vector<Case> cases = {
      // Taken on, whether or not its client was told.
      {"safe", "A", true},
      {"keyed", "A", true},
      {"unsafe", "A", true},
      // From the record to the reading of the answer, and then to the record of its end: it may have run.
      {"safe", "AT", true},
      {"keyed", "AT", true},
      {"unsafe", "AT", false, true},
      // Turned away, and so never ran.
      {"safe", "ATN", true},
      {"keyed", "ATN", true},
      {"unsafe", "ATN", true},
      {"safe", "ATNT", true},
      {"keyed", "ATNT", true},
      {"unsafe", "ATNT", false, true},
      {"unsafe", "ATNTN", true},
      // A notice is owed until it was taken; then, and after an answer, nothing is.
      {"safe", "AO", false, true},
      {"unsafe", "ATO", false, true},
      {"safe", "AOD", false},
      {"keyed", "ATD", false},
      // The window of repeats, 20 s, runs from the first attempt that may have run.
      {"keyed", "AT<", false, true},
      {"keyed", "AT<T", false, true},
      {"keyed", "AT<TN", false, true},
      {"keyed", "ATN<T", true},
      {"keyed", "ATN<", true},
      {"safe", "AT<", true},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.effect + " " + c.records);
    Left s(c.effect);
    s.write(c.records);
    s.program.start();
    if (c.noticed) {
      EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", kId}, {"state", "failed"}}));
    }
    if (c.called) {
      EXPECT_EQ(id_of(s.host.next()), kId);
      s.host.answer("200");
    }
    s.expect_no_more();
  }
}

// The answer is there, and its reader is gone before it reads.
TEST(ProgramKill, AnAnswerThatWasNotReadIsNotKnown) {
  for (const std::string effect : {"keyed", "unsafe"}) {
    SCOPED_TRACE(effect);
    Left s(effect);
    s.program.start();
    EXPECT_EQ(s.put(kId, facts(effect)), "+OK");
    s.host.next();
    s.program.signal(SIGSTOP);
    s.host.answer("200");
    s.restart_killed();
    if (effect == "unsafe") {
      EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", kId}, {"state", "failed"}}));
    } else {
      EXPECT_EQ(id_of(s.host.next()), kId);
      s.host.answer("200");
    }
    s.expect_no_more();
  }
}

// Held back by a told wait when the process is killed: the next one tries each of them, and in time.
TEST(ProgramKill, WhatWasNotTriedYetIsTriedByTheNextProcess) {
  Left s("safe");
  s.config["settings"]["family_info"]["calls_out"] = 1;
  s.program.configure(s.config);
  s.program.start();
  std::set<std::string> expected;
  Socket client = s.program.client();
  for (int i = 0; i < 16; ++i) {
    const std::string id = "00000000000000" + std::to_string(10 + i);
    expected.insert(id);
    client.send(put_bytes(id, facts(i % 2 == 0 ? "safe" : "unsafe")));
    EXPECT_EQ(client.line(), "+OK");
    if (i > 0) continue;
    s.host.next();
    s.host.answer("429", "Retry-After: 30.0\r\n");
  }
  s.restart_killed();
  std::set<std::string> called;
  for (size_t i = 0; i < expected.size(); ++i) {
    called.insert(id_of(s.host.next()));
    s.host.answer("200");
  }
  EXPECT_EQ(called, expected);
  s.expect_no_more();
}

// Numbers of tenants are positions in the settings: what is held of one that left them is not the first
// one's.
TEST(ProgramKill, ATenantThatLeftTheSettingsSpendsNoOthersQuota) {
  Stage s;
  nlohmann::json& settings = s.config["settings"];
  settings["family_info"]["calls_out"] = 1;
  settings["over_share_worth"] = 0.1;
  settings["realms"] = {{{"name", "left"}, {"quota_per_s", 1e6}}};
  s.program.configure(s.config);
  s.program.start();
  const auto put = [&](const std::string& id, const std::string& tenant, int destination = 7) {
    return s.put(id, "c=safe,t=" + tenant + ",d=60000,dest=" + std::to_string(destination));
  };
  EXPECT_EQ(put("a1", "left", 99), "+OK");
  s.program.kill();
  settings["realms"] = {{{"name", "small"}, {"quota_per_s", 0.5}}, {{"name", "large"}, {"quota_per_s", 1e6}}};
  s.program.configure(s.config);
  s.program.start();
  EXPECT_EQ(put("b1", "large"), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "b1");
  EXPECT_EQ(put("b2", "small"), "+OK");  // the one that its quota has room for
  EXPECT_EQ(put("b3", "large"), "+OK");
  s.host.answer("200");
  EXPECT_EQ(id_of(s.host.next()), "b2");
}

}  // namespace
}  // namespace firspool::testing
