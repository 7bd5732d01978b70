// The view of the fleet on a simulated clock: V1 to V4 of its promises, the hard cases, and what is not a
// datagram.
#include "membership.h"

#include <gtest/gtest.h>

#include <bit>
#include <cmath>

#include "count.h"
#include "plays.h"
#include "sim.h"

namespace umberhoist::fleet {
namespace {

using lab::SimNetwork;
using lab::time_of;

std::string name(int i) { return lab::member_name(i); }

// Members on a simulated network, with what each would have on disk.
class Members {
 public:
  explicit Members(int count, uint64_t seed = 1)
      : stored(static_cast<size_t>(count), 0),
        network(count, seed, [this, count](int i, uint64_t chance, int life) {
          Membership::Settings s;
          s.cluster = "test";
          s.name = name(i);
          for (int n = 0; n < count; ++n) s.names.push_back(name(n));
          s.version = "1";
          s.started_ms = static_cast<uint64_t>(life);
          s.incarnation = stored[static_cast<size_t>(i)];
          return std::make_unique<Membership>(s, chance);
        }) {
    for (int i = 0; i < count; ++i) network.start(i);
  }

  Membership& of(int i) { return dynamic_cast<Membership&>(*network.machine(i)); }
  State state(int at, int about) { return of(at).find(name(about))->state; }
  uint64_t incarnation(int at, int about) { return of(at).find(name(about))->incarnation; }
  void run(double periods) { network.run(network.now() + static_cast<Time>(periods * 500'000)); }
  bool agree() {
    size_t up = 0;
    for (int i = 0; i < network.members(); ++i) up += network.up(i) ? 1 : 0;
    for (int i = 0; i < network.members(); ++i) {
      if (network.up(i) && of(i).live() != up) return false;
    }
    return true;
  }

  std::vector<uint64_t> stored;
  SimNetwork network;
};

struct Fault_ {
  const char* what;
  const char* text;
};

class SettleTest : public ::testing::TestWithParam<std::tuple<int, Fault_>> {};

TEST_P(SettleTest, WithinItsBoundAfterTheLastFault) {
  const auto& [members, fault] = GetParam();
  for (uint64_t seed = 1; seed <= (members > 100 ? 1 : 10); ++seed) {
    const lab::Scenario s =
        lab::scenario("length_s=10\nsettle_s=20\nrelays=" + std::to_string(members) + "\n" + fault.text);
    const auto result = lab::simulate(s, seed);
    EXPECT_TRUE(lab::all_held(result)) << fault.what << ", seed " << seed << ": " << result["oracles"];
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, SettleTest,
    ::testing::Combine(
        ::testing::Values(3, 30, 300),
        ::testing::Values(Fault_{"Start", ""}, Fault_{"Kill", "[[fault]]\nkind='kill'\nat_s=10\n"},
                          Fault_{"SevenInTen", "[[fault]]\nkind='kill'\nat_s=10\nshare=0.7\n"},
                          Fault_{"Restart", "[[fault]]\nkind='kill'\nat_s=10\nfor_s=0.6\nfolder='emptied'\n"},
                          Fault_{"Split", "[[fault]]\nkind='net'\nat_s=10\nfor_s=30\nshare=0.4\n"},
                          Fault_{"Stop", "[[fault]]\nkind='stop'\nat_s=10\nfor_s=[0.3,0.9]\nshare=0.2\n"})),
    [](const auto& one) { return std::get<1>(one.param).what + std::to_string(std::get<0>(one.param)); });

TEST(Membership, AShortStandstillIsNoDeathAndALongOneIsHealed) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Members m(5, seed);
    m.run(20);
    m.network.pause(2);
    m.network.run(m.network.now() + m.of(0).suspicion_least() - 500 * kMs);
    m.network.resume(2);
    m.run(12);
    for (int i = 0; i < 5; ++i) {
      for (const auto& e : m.of(i).events())
        EXPECT_NE(e.what, Membership::Event::What::kDead) << "seed " << seed;
    }
    m.network.pause(2);
    m.run(60);
    EXPECT_EQ(m.state(0, 2), State::kDead);
    m.network.resume(2);
    m.run(11);
    EXPECT_TRUE(m.agree()) << "seed " << seed;
    for (const auto& e : m.of(2).events())
      EXPECT_NE(e.what, Membership::Event::What::kDead) << "it judged others";
  }
}

TEST(Membership, TenPercentLossKillsNobody) {
  const lab::Scenario s = lab::scenario(
      "length_s=10\nsettle_s=5\nrelays=30\n[[fault]]\nkind='net'\nat_s=5\nfor_s=1200\nloss=0.1\ndelay_ms=10\n"
      "duplicate=0.05\nreorder=0.1\n");
  const auto result = lab::simulate(s, 3);
  EXPECT_EQ(result["figures"]["false_deaths"], 0) << result["first_false_death"];
  EXPECT_GT(result["figures"]["suspicions"].get<double>(), 0);
}

TEST(Membership, WhatAMemberSendsDoesNotGrowWithTheFleet) {
  const auto bytes = [](int members) {
    const auto result =
        lab::simulate(lab::scenario("length_s=60\nsettle_s=0\nrelays=" + std::to_string(members)), 1);
    return result["figures"]["bytes_at_rest"].get<double>();
  };
  const double small = bytes(30);
  EXPECT_LE(bytes(300), 1.5 * small);
  EXPECT_LT(small, 1400);
}

TEST(Membership, AnIncarnationGoesUpOverARestartWithOrWithoutItsFolder) {
  Members m(5);
  m.run(15);
  m.stored[1] = m.of(1).incarnation();
  const uint64_t before = m.incarnation(0, 1);
  m.network.crash(1);
  m.run(1);
  m.network.start(1);
  m.run(15);
  EXPECT_GT(m.incarnation(0, 1), before);
  const uint64_t kept = m.incarnation(0, 1);
  m.stored[1] = 0;  // emptied
  m.network.crash(1);
  m.run(1);
  m.network.start(1);
  m.run(15);
  EXPECT_GT(m.incarnation(0, 1), kept);
  EXPECT_EQ(m.incarnation(0, 1), m.of(1).incarnation());
  EXPECT_TRUE(m.agree());
}

TEST(Membership, LeavingIsToldApartFromDeath) {
  Members m(5);
  m.run(15);
  m.of(3).leave();
  m.run(1);
  m.network.crash(3);
  m.run(20);
  for (int i : {0, 1, 2, 4}) EXPECT_EQ(m.state(i, 3), State::kLeft) << i;
}

// A death once was told as an answer first: the log said "answers again" right before "is gone".
TEST(Membership, ADeathIsToldOnceAndNotAsAnAnswer) {
  Members m(3);
  m.run(15);
  for (int i = 0; i < 3; ++i) (void)m.of(i).events();
  m.network.crash(2);
  m.run(20);
  std::vector<Membership::Event::What> told;
  for (const auto& e : m.of(0).events()) told.push_back(e.what);
  EXPECT_EQ(told, (std::vector{Membership::Event::What::kSuspect, Membership::Event::What::kDead}));
}

// It is heard, but hears nothing: it must not talk the others dead, and it counts as gone.
TEST(Membership, OneThatCannotHearDoubtsItself) {
  Members m(8);
  m.run(15);
  m.network.blocked = [](int, int to) { return to == 4; };
  m.run(80);
  EXPECT_EQ(m.of(4).health(), Membership::kWorstHealth);
  EXPECT_EQ(m.state(0, 4), State::kDead);
  for (int i : {0, 1, 2, 3, 5, 6, 7}) {
    EXPECT_EQ(m.of(i).live(), 7u) << i;
    for (const auto& e : m.of(i).events())
      EXPECT_FALSE(e.what == Membership::Event::What::kDead && e.name != "n4");
  }
  m.network.blocked = nullptr;
  m.run(25);
  EXPECT_TRUE(m.agree());
}

TEST(Membership, OnePairThatCannotTalkHarmsNobody) {
  Members m(6);
  m.run(15);
  m.network.blocked = [](int from, int to) { return (from == 1 && to == 2) || (from == 2 && to == 1); };
  m.run(200);
  for (int i = 0; i < 6; ++i) {
    for (const auto& e : m.of(i).events()) EXPECT_NE(e.what, Membership::Event::What::kDead);
  }
}

TEST(Membership, HalvesThatGaveEachOtherUpMeetAgainHoweverLate) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Members m(7, seed);
    m.run(15);
    m.network.blocked = [](int from, int to) { return (from < 3) != (to < 3); };
    m.run(5000);
    EXPECT_EQ(m.of(0).live(), 3u);
    EXPECT_EQ(m.of(6).live(), 4u);
    m.network.blocked = nullptr;
    m.run(4 + 3 * std::log2(7.0));
    EXPECT_TRUE(m.agree()) << "seed " << seed;
  }
}

TEST(Membership, AFlappingCutEndsInAgreement) {
  Members m(9);
  for (int i = 0; i < 20; ++i) {
    m.network.blocked = [](int from, int to) { return (from % 2) != (to % 2); };
    m.run(3 + i % 5);
    m.network.blocked = nullptr;
    m.run(2 + i % 3);
  }
  m.run(4 + 3 * std::log2(9.0));
  EXPECT_TRUE(m.agree());
}

TEST(Membership, ANameThatIsNoLongerConfiguredIsForgottenAndANewOneJoins) {
  Members m(5);
  m.run(15);
  std::vector<std::string> fewer = {name(0), name(1), name(2), name(3)};
  for (int i = 0; i < 3; ++i) m.of(i).rename(fewer);  // the others not yet
  m.run(10);
  EXPECT_EQ(m.of(0).find(name(4)), nullptr);
  EXPECT_GT(m.of(0).dropped().stranger, 0u);
  EXPECT_EQ(m.of(3).live(), 5u);
  fewer.push_back(name(4));
  for (int i = 0; i < 3; ++i) m.of(i).rename(fewer);
  m.run(15);
  EXPECT_TRUE(m.agree());
}

// Old rumours, and what is said with another's name or an incarnation out of range.
TEST(Membership, WordsThatAreOldOrOutOfRangeChangeNothing) {
  Members m(4);
  m.run(15);
  Membership& at = m.of(0);
  const uint64_t digest = at.digest();
  const auto say = [&](const std::string& as, const std::string& from, std::vector<Update> updates) {
    Packet p;
    p.cluster = "test";
    p.kind = Kind::kNews;
    p.self = {as, State::kAlive, at.find(as) != nullptr ? at.find(as)->incarnation : 1, "", "1", 1};
    p.updates = std::move(updates);
    at.received(m.network.now(), from, encode(p));
  };
  say("n1", "n1", {{"n2", State::kSuspect, 0, "n1", "", 0}});                // of an older incarnation
  say("n1", "n1", {{"n2", State::kDead, kMostIncarnation + 1, "", "", 0}});  // malformed
  say("n2", "n1", {{"n3", State::kDead, 9, "", "", 0}});                     // n1's address, n2's name
  say("n1", "stranger", {{"n3", State::kDead, 9, "", "", 0}});
  say("n0", "n1", {});
  EXPECT_EQ(at.digest(), digest);
  EXPECT_EQ(at.dropped().unreadable[static_cast<size_t>(Fault::kMalformed)], 1u);
  EXPECT_EQ(at.dropped().other_name, 1u);
  EXPECT_EQ(at.dropped().itself, 1u);
  EXPECT_EQ(at.dropped().stranger, 1u);
  // At the end of the range a member is still refuted for, and nothing wraps.
  say("n1", "n1", {{"n0", State::kSuspect, kMostIncarnation, "n1", "", 0}});
  EXPECT_EQ(at.incarnation(), kMostIncarnation);
}

TEST(Codec, AWholeDatagramComesThroughAndStaysUnderItsSize) {
  Packet p;
  p.cluster = "c";
  p.kind = Kind::kRecords;
  p.self = {"n1", State::kAlive, 7, "", "0.1.0", 123456789};
  p.number = 99;
  p.digest = ~uint64_t{0};
  size_t size = room_of_head(p);
  for (;;) {
    const Update u{"n" + std::to_string(p.updates.size()),
                   State::kSuspect,
                   kMostIncarnation,
                   std::string(64, 'b'),
                   "",
                   0};
    if (size + room_of(u) > kMostDatagram) break;
    size += room_of(u);
    p.updates.push_back(u);
  }
  const std::string bytes = encode(p);
  EXPECT_LE(bytes.size(), kMostDatagram);
  const auto back = std::get<Packet>(decode(bytes, "c"));
  EXPECT_EQ(back.updates, p.updates);
  EXPECT_EQ(back.self, p.self);
  EXPECT_EQ(std::get<Fault>(decode(bytes, "d")), Fault::kCluster);
  EXPECT_EQ(std::get<Fault>(decode(std::string(1401, 'x'), "c")), Fault::kTooLong);
  EXPECT_EQ(std::get<Fault>(decode("", "c")), Fault::kMalformed);
}

// Datagrams mutated from real ones. What does not parse changes nothing; what does may say anything, and must
// leave every member in a state from which it goes on.
TEST(Codec, MutatedDatagramsAreSurvived) {
  constexpr int kMutations = 30'000;
  const uint64_t seed = 20261201;
  RecordProperty("seed", std::to_string(seed));
  pcg64 chance(seed);
  Members m(4);
  std::vector<std::string> real;
  m.run(8);
  Membership& at = m.of(0);
  for (int i = 0; i < 300; ++i) {
    Membership copy = m.of(1 + i % 3);
    copy.woke(m.network.now() + 500 * kMs);
    for (auto& d : copy.take()) real.push_back(d.bytes);
    m.run(1);
  }
  ASSERT_GT(real.size(), 200u) << real.size();
  int unread = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string bytes = real[chance(static_cast<uint32_t>(real.size()))];
    for (uint64_t n = 1 + chance(4); n > 0 && !bytes.empty(); --n) {
      const size_t where = chance(static_cast<uint32_t>(bytes.size()));
      switch (chance(4)) {
        case 0:
          bytes[where] = static_cast<char>(chance(256));
          break;
        case 1:
          bytes[where] = static_cast<char>(bytes[where] ^ (1 << chance(8)));
          break;
        case 2:
          bytes.erase(where, 1 + chance(8));
          break;
        default:
          bytes.insert(where, 1 + chance(8), static_cast<char>(chance(256)));
      }
    }
    const bool readable = std::holds_alternative<Packet>(decode(bytes, "test"));
    unread += readable ? 0 : 1;
    const uint64_t before = at.fingerprint(m.network.now());
    at.received(m.network.now(), "n1", bytes);
    (void)at.take();
    (void)at.events();
    if (!readable) {
      ASSERT_EQ(at.fingerprint(m.network.now()), before) << "seed " << seed << ", mutation " << i;
    }
  }
  EXPECT_GT(unread, kMutations / 10);
  EXPECT_EQ(at.names().size(), 4u);
}

TEST(Count, FollowsUpAtOnceDownSlowlyAndNeverInAMinority) {
  Count c(5, 3 * kSecond);
  EXPECT_EQ(c.value(), 5);
  EXPECT_FALSE(c.see(0, 2));  // a minority
  EXPECT_FALSE(c.see(100 * kSecond, 2));
  EXPECT_EQ(c.value(), 5);
  EXPECT_FALSE(c.see(101 * kSecond, 3));
  EXPECT_FALSE(c.see(103 * kSecond, 3));
  EXPECT_TRUE(c.see(104 * kSecond, 3));
  EXPECT_EQ(c.value(), 4);
  EXPECT_FALSE(c.see(105 * kSecond, 3));
  EXPECT_TRUE(c.see(107 * kSecond, 3));
  EXPECT_EQ(c.value(), 3);
  EXPECT_FALSE(c.see(200 * kSecond, 3));
  EXPECT_TRUE(c.see(201 * kSecond, 5));
  EXPECT_EQ(c.value(), 5);
}

// Whatever the split, the parts of a side with a majority sum to the whole at most, and all together to
// under 1.5.
TEST(Count, PartsSumToAtMostTheStatedBoundInEverySplit) {
  for (int n = 1; n <= 30; ++n) {
    for (int side = 0; side <= n; ++side) {
      Count a(n, 1), b(n, 1);
      for (Time t = 0; t < 100; ++t) {
        a.see(t * 2, side);
        b.see(t * 2, n - side);
      }
      const double sum = static_cast<double>(side) / a.value() + static_cast<double>(n - side) / b.value();
      EXPECT_LE(sum, 1 + static_cast<double>(std::min(side, n - side)) / n + 1e-9) << n << " " << side;
      EXPECT_LT(sum, 1.5 + 1e-9);
    }
  }
}

}  // namespace
}  // namespace umberhoist::fleet
