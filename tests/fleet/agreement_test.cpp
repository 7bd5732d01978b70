// Tests of the policy agreement: its file, the policy log, and a few relays on a simulated clock.
#include "agreement.h"

#include <gtest/gtest.h>

#include "plays.h"
#include "records.h"
#include "sim_agreement.h"

namespace umberhoist::lab {
namespace {

using fleet::Agreement;
using fleet::kMs;
using fleet::kSecond;
using fleet::PolicyLog;

TEST(Records, DetectsTornAndCorruptFiles) {
  const std::string file =
      fleet::frame_record("one") + fleet::frame_record("") + fleet::frame_record(std::string(5000, 'x'));
  ASSERT_EQ(fleet::read_records(file).bodies.size(), 3u);
  for (size_t cut = 0; cut < file.size(); ++cut) {  // a torn end, at every byte
    const auto r = fleet::read_records(file.substr(0, cut));
    EXPECT_LT(r.bodies.size(), 3u);
    EXPECT_NE(r.end, fleet::Records::End::kCorrupt) << cut;
  }
  for (size_t i = 0; i < file.size(); i += 7) {  // a flipped bit, at every seventh byte
    std::string bad = file;
    bad[i] = static_cast<char>(bad[i] ^ 0x10);
    EXPECT_EQ(fleet::read_records(bad).end, fleet::Records::End::kCorrupt) << i;
  }
}

TEST(PolicyLog, AcceptsOneChangeAtATimeAndEndsEachOnce) {
  PolicyLog log;
  log.apply(PolicyLog::initial_policy("a", {"n0"}));
  log.apply(PolicyLog::initial_policy("b", {"n1"}));
  EXPECT_EQ(log.text(), "a");
  log.apply(PolicyLog::propose({"one", "n0", 1, "b", 0}));
  log.apply(PolicyLog::propose({"two", "n1", 1, "c", 0}));  // refused: one change at a time
  EXPECT_EQ(log.outcomes().back().reason, "another change is under way: one");
  log.apply(PolicyLog::propose({"one", "n0", 1, "b", 0}));  // repeated: no effect
  log.apply(PolicyLog::decide("one"));
  log.apply(PolicyLog::abort("one", "n1", "too late"));  // after the decision: no effect
  log.apply(PolicyLog::propose({"one", "n0", 2, "z", 0}));
  EXPECT_EQ(log.version(), 2u);
  EXPECT_EQ(log.text(), "b");
  EXPECT_FALSE(log.change());
  EXPECT_EQ(log.ended_count(), 2u);
  log.apply(PolicyLog::abort("three", "n1", "before the proposal"));
  log.apply(PolicyLog::propose({"three", "n0", 2, "d", 0}));
  EXPECT_FALSE(log.change());
  log.apply(PolicyLog::propose({"four", "n0", 1, "d", 0}));  // its base is an older version
  EXPECT_EQ(log.outcomes().back().result, fleet::Outcome::Result::kRefused);
  PolicyLog other;
  other.restore(log.state());
  EXPECT_EQ(other.state(), log.state());
  log.apply("no command");
  EXPECT_EQ(other.state(), log.state());
  EXPECT_THROW(other.restore("no state"), fleet::DecodeError);
}

// A few relays and their files; the audit checks the invariants after each output.
class AgreementTest : public ::testing::Test {
 protected:
  static constexpr Time kPeriod = 500 * kMs;
  static constexpr Time kLeaseDuration = 3 * kSecond;

  void start(int relays) {
    folders.resize(static_cast<size_t>(relays));
    clocks.resize(static_cast<size_t>(relays));
    net = std::make_unique<SimNetwork>(relays, 1, [this, relays](int i, uint64_t seed, int) {
      auto& folder = folders[static_cast<size_t>(i)];
      auto s = agreement_settings(i, relays, 3, kPeriod, kLeaseDuration, folder.build);
      return std::make_unique<AgreementGuest>(i, std::move(s), folder, audit, clocks[static_cast<size_t>(i)],
                                              seed);
    });
    for (int i = 0; i < relays; ++i) net->start(i);
  }
  void start_and_settle(int relays) {
    start(relays);
    run(8 * kSecond);
    ASSERT_TRUE(all_open(1));
  }
  void TearDown() override { EXPECT_EQ(audit.broken(), ""); }

  AgreementGuest& guest(int i) { return dynamic_cast<AgreementGuest&>(*net->machine(i)); }
  Agreement::View view(int i) { return guest(i).agreement().view(guest(i).local(net->now())); }
  template <typename Call>
  std::string operator_call(int i, Call call) {
    std::string refusal = call(guest(i).agreement(), guest(i).local(net->now()));
    guest(i).carry_out(net->now());
    net->nudge(i);
    return refusal;
  }
  std::string propose(int i, const std::string& id, const std::string& text) {
    return operator_call(i, [&](Agreement& a, Time now) { return a.propose(now, id, text, 0); });
  }
  void run(Time more) { net->run(net->now() + more); }
  bool all_open(uint64_t version) {
    for (int i = 0; i < net->members(); ++i) {
      if (net->up(i) && (audit.version(i) != version || !audit.open(i, net->now()))) return false;
    }
    return true;
  }
  int leader() {
    for (int i = 0; i < net->members(); ++i) {
      if (net->up(i) && guest(i).agreement().is_leader()) return i;
    }
    return -1;
  }
  int relay_other_than(int a, int b = -1) {
    for (int i = 0;; ++i) {
      if (i != a && i != b) return i;
    }
  }
  std::string outcome(int i, const std::string& id) {
    for (const auto& o : view(i).outcomes) {
      if (o.id == id)
        return std::string(fleet::kOutcomeNames[static_cast<int>(o.result)]) +
               (o.reason.empty() ? "" : ": " + o.reason);
    }
    return "";
  }

  bool ended_anywhere(const std::string& id) {
    for (int i = 0; i < net->members(); ++i) {
      if (net->up(i) && !guest(i).dead() && !outcome(i, id).empty()) return true;
    }
    return false;
  }

  PolicyAudit audit{kLeaseDuration};
  std::vector<AgreementGuest::Folder> folders;
  std::vector<AgreementGuest::Clock> clocks;
  std::unique_ptr<SimNetwork> net;
};

TEST_F(AgreementTest, AChangeAppliesEverywhereWithinFourPeriods) {
  start_and_settle(5);
  EXPECT_EQ(propose(4, "c", "need=1 c"), "");
  EXPECT_EQ(propose(4, "c", "need=1 c"), "");  // repeated: no effect
  run(4 * kPeriod);
  EXPECT_TRUE(all_open(2));
  EXPECT_EQ(outcome(2, "c"), "in_force");
  EXPECT_LE(audit.longest_mix(), kLeaseDuration);
}

TEST_F(AgreementTest, ARejectionAbortsTheChangeWithItsReason) {
  start_and_settle(5);
  net->crash(4);
  folders[4].build = 0;
  folders[0].build = folders[1].build = 2;
  net->start(4);  // its build does not support version 1 either: it stays closed and delays no change
  run(4 * kPeriod);
  EXPECT_NE(view(4).closed_reason.find("is not supported here: build 0"), std::string::npos)
      << view(4).closed_reason;
  // Refused by its own relay: nothing is sent.
  EXPECT_EQ(propose(2, "c", "need=2 c"), "build 1 does not know it");
  net->crash(0);
  net->start(0);
  run(4 * kSecond);
  EXPECT_EQ(propose(0, "c", "need=2 c"), "");
  run(3 * kSecond);
  EXPECT_EQ(outcome(1, "c"), "aborted: build 1 does not know it");
  EXPECT_EQ(audit.newest(), 1u);
}

TEST_F(AgreementTest, AChangeWaitsUntilTheLeaseOfACrashedRelayExpires) {
  start_and_settle(5);
  net->crash(4);
  const Time down = net->now();
  propose(0, "c", "need=1 c");
  // Its last renewal and the leader's last confirmation may each have been a period old.
  run(kLeaseDuration - 2 * kPeriod);
  EXPECT_EQ(audit.newest(), 1u);
  run(5 * kPeriod);
  EXPECT_GE(audit.first_act(2), down + kLeaseDuration - 2 * kPeriod);
  EXPECT_TRUE(all_open(2));
  net->start(4);
  run(kPeriod);
  EXPECT_TRUE(all_open(2));
}

TEST_F(AgreementTest, AnIsolatedLeaderStopsAcceptingAndItsProposalIsRefused) {
  start_and_settle(5);
  const int lead = leader();
  net->blocked = [&](int from, int to) { return (from == lead) != (to == lead); };
  EXPECT_EQ(propose(lead, "c", "need=1 c"), "");  // it still considers itself the leader
  run(kLeaseDuration + kPeriod);
  EXPECT_FALSE(audit.open(lead, net->now()));
  EXPECT_NE(propose(lead, "d", "need=1 d"), "");
  EXPECT_NE(view(lead).pending_request, "");
  run(2 * kLeaseDuration);
  EXPECT_EQ(propose(relay_other_than(lead), "e", "need=1 e"), "");
  run(2 * kLeaseDuration);
  EXPECT_EQ(audit.newest(), 2u);
  net->blocked = nullptr;
  run(kLeaseDuration);
  EXPECT_TRUE(all_open(2));
  EXPECT_EQ(outcome(relay_other_than(lead), "c"), "");
  EXPECT_EQ(outcome(lead, "c"),
            "refused: no majority of voters accepted it in time; it will not take effect");
}

TEST_F(AgreementTest, ALeaderCrashAtAnyStepLeavesOneVersion) {
  for (int after = 0; after < 40; ++after) {
    SCOPED_TRACE("crashes at output " + std::to_string(after + 1));
    audit = PolicyAudit(kLeaseDuration);
    folders.clear();
    start_and_settle(5);
    guest(leader()).dies_after = after;
    const int dying = leader(), asked = relay_other_than(dying);
    propose(asked, "c", "need=1 c");
    const Time asked_at = net->now();
    while (!ended_anywhere("c") && net->now() < asked_at + 4 * kLeaseDuration) run(kPeriod / 5);
    EXPECT_LE(net->now() - asked_at, 2 * kLeaseDuration) << "P5";
    if (guest(dying).dead()) {
      net->crash(dying);
      net->start(dying);
    }
    run(kLeaseDuration);
    EXPECT_TRUE(all_open(audit.newest()));
  }
}

TEST_F(AgreementTest, AVoterWithAnEmptiedFolderIsReplacedAndVotesAgain) {
  start_and_settle(5);
  propose(0, "c", "need=1 c");
  run(2 * kSecond);
  const int emptied = relay_other_than(leader());
  net->crash(emptied);
  folders[static_cast<size_t>(emptied)] = {};
  net->start(emptied);
  run(5 * kSecond);
  EXPECT_TRUE(all_open(2));
  // Another voter crashes: the replaced one and the third form a majority.
  const int gone =
      leader() == relay_other_than(emptied) ? relay_other_than(emptied, leader()) : relay_other_than(emptied);
  net->crash(gone < 3 ? gone : leader());
  run(3 * kSecond);
  EXPECT_EQ(propose(3, "d", "need=1 d"), "");
  run(2 * kLeaseDuration);
  EXPECT_EQ(outcome(3, "d"), "in_force");
}

TEST_F(AgreementTest, ALeavingLeaderTransfersLeadershipAndIsNotWaitedFor) {
  for (const bool at_once : {true, false}) {
    SCOPED_TRACE(at_once);
    audit = PolicyAudit(kLeaseDuration);
    folders.clear();
    start_and_settle(5);
    const int leaving = leader();
    operator_call(leaving, [&](Agreement& a, Time now) {
      a.leave(now);
      return std::string();
    });
    if (at_once) net->crash(leaving);  // the process ends during the transfer
    run(kPeriod);
    if (!at_once) net->crash(leaving);
    const Time asked = net->now();
    run(4 * kPeriod);
    propose(relay_other_than(leaving), "c", "need=1 c");
    while (!ended_anywhere("c") && net->now() < asked + 4 * kLeaseDuration) run(kPeriod / 5);
    EXPECT_LE(net->now() - asked, 2 * kLeaseDuration);
    EXPECT_NE(leader(), leaving);
  }
}

TEST_F(AgreementTest, AnOperatorReplacesAVoter) {
  start_and_settle(5);
  const int old = relay_other_than(leader());
  EXPECT_EQ(
      operator_call(4, [&](Agreement& a, Time now) { return a.replace_voter(now, member_name(old), "n4"); }),
      "");
  run(6 * kSecond);
  net->crash(old);  // not needed any more: the leader and n4 form a majority
  run(4 * kSecond);
  EXPECT_EQ(propose(4, "c", "need=1 c"), "");
  run(2 * kLeaseDuration);
  EXPECT_EQ(outcome(4, "c"), "in_force");
  net->crash(leader());  // n4 or the third voter takes over
  run(2 * kLeaseDuration);
  EXPECT_GE(leader(), 0);
}

TEST_F(AgreementTest, ARestartedFleetKeepsItsVersionAndNeedsAMajorityToOpen) {
  start_and_settle(5);
  propose(0, "c", "need=1 c");
  run(2 * kSecond);
  for (int i = 0; i < 5; ++i) net->crash(i);
  net->start(4);
  net->start(0);
  run(3 * kLeaseDuration);
  EXPECT_FALSE(audit.open(4, net->now()));
  EXPECT_FALSE(audit.open(0, net->now()));
  net->start(1);
  run(2 * kLeaseDuration);
  EXPECT_TRUE(all_open(2));
}

TEST_F(AgreementTest, ACorruptOrNewerFileKeepsItsRelayClosed) {
  start_and_settle(3);
  net->crash(0);
  const std::string good = folders[0].file;
  folders[0].file[good.size() / 2] = static_cast<char>(folders[0].file[good.size() / 2] ^ 1);
  net->start(0);
  EXPECT_NE(guest(0).agreement().failure().find("fails its checksum"), std::string::npos);
  run(kLeaseDuration);
  EXPECT_FALSE(audit.open(0, net->now()));
  net->crash(0);
  folders[0].file = fleet::frame_record(fleet::to_cbor(nlohmann::json::array({"format", 99}))) + good;
  net->start(0);
  EXPECT_EQ(guest(0).agreement().failure(), "it was written by a newer version of the program");
  folders[0].file = good;
}

TEST_F(AgreementTest, AClockBeyondTheDriftBoundKeepsItsRelayClosed) {
  clocks.resize(4);
  clocks[3] = {kSecond, 0.95};  // its leases would last longer than the leader accounts for
  start(4);
  run(20 * kSecond);
  EXPECT_EQ(view(3).closed_reason, "its clock and the leader's differ by more than 1 in 500");
  EXPECT_TRUE(audit.open(0, net->now()));
}

TEST_F(AgreementTest, TheFileStaysBoundedOverAThousandChanges) {
  start_and_settle(3);
  size_t largest = 0;
  for (int i = 0; i < 1000; ++i) {
    propose(i % 3, "c" + std::to_string(i), "need=1 " + std::string(900, 'x') + std::to_string(i));
    run(4 * kPeriod);
    for (const auto& f : folders) largest = std::max(largest, f.file.size());
  }
  EXPECT_EQ(audit.newest(), 1001u);
  std::printf("largest file after 1000 changes of a policy of 0.9 KB: %zu bytes\n", largest);
  EXPECT_LE(largest, 900 * fleet::kMaxFilePolicies + fleet::kMaxFileOverheadBytes);
}

// Runs the lab's scenario sim-policy with SIM_SEEDS seeds (a tenth of them for 30 relays).
TEST(AgreementSimulation, RandomFaultsBreakNoInvariant) {
  const char* variable = std::getenv("SIM_SEEDS");
  const int seeds = variable == nullptr ? 20 : std::atoi(variable);
  for (const int relays : {3, 5, 30}) {
    for (int seed = 1; seed <= (relays == 30 ? seeds / 10 : seeds); ++seed) {
      const auto table = load_table(LAB_SCENARIOS "/sim-policy.toml", {"relays=" + std::to_string(relays)});
      const auto result = simulate(read_scenario(table), static_cast<uint64_t>(seed));
      for (const auto& [name, oracle] : result["oracles"].items()) {
        EXPECT_TRUE(oracle["held"].get<bool>())
            << relays << " relays, seed " << seed << ": " << name << ": " << oracle["first_broken"];
      }
    }
  }
}

// Corrupted messages may cost what they carried; the version applied and its text stay the same.
TEST_F(AgreementTest, MutatedMessagesChangeNoPolicy) {
  start_and_settle(3);
  Chance chance(7, 1);
  std::vector<std::string> captured;
  const int lead = leader(), victim = relay_other_than(lead);
  net->seen = [&](int from, int to, const std::string& bytes) {
    if (from == lead && to == victim) captured.push_back(bytes);
  };
  propose(2, "c", "need=1 c");
  run(10 * kPeriod);
  ASSERT_GT(captured.size(), 20u);
  for (int n = 0; n < 20'000; ++n) {
    std::string bytes = captured[chance() % captured.size()];
    for (int k = 0; k < 3; ++k) bytes[chance() % bytes.size()] = static_cast<char>(chance());
    if (chance() % 4 == 0) bytes.resize(chance() % bytes.size());
    guest(victim).on_datagram(net->now(), member_name(lead), bytes);
  }
  (void)guest(victim).take_datagrams();
  EXPECT_EQ(guest(victim).agreement().policy_text(), "need=1 c");
  EXPECT_EQ(view(victim).version, 2u);
}

}  // namespace
}  // namespace umberhoist::lab
