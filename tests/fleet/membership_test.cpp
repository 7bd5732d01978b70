// Membership protocol on a simulated clock and network: convergence, false deaths and traffic, single faults,
// datagrams that are invalid or corrupted; and the relay count that is derived from the view.
#include "membership.h"

#include <gtest/gtest.h>

#include <bit>
#include <cmath>

#include "plays.h"
#include "relay_count.h"
#include "sim.h"

namespace umberhoist::fleet {
namespace {

using lab::SimNetwork;
using lab::time_of;

std::string name(int i) { return lab::member_name(i); }

// Members on a simulated network, with the incarnation that each has stored on disk.
class Members {
 public:
  explicit Members(int count, uint64_t seed = 1)
      : stored(static_cast<size_t>(count), 0),
        network(count, seed, [this, count](int i, uint64_t member_seed, int starts) {
          Membership::Settings s;
          s.cluster = "test";
          s.name = name(i);
          for (int n = 0; n < count; ++n) s.names.push_back(name(n));
          s.version = "1";
          s.started_ms = static_cast<uint64_t>(starts);
          s.incarnation = stored[static_cast<size_t>(i)];
          return std::make_unique<Membership>(s, member_seed);
        }) {
    for (int i = 0; i < count; ++i) network.start(i);
  }

  Membership& member(int i) { return dynamic_cast<Membership&>(*network.machine(i)); }
  State state(int at, int about) { return member(at).find(name(about))->state; }
  uint64_t incarnation(int at, int about) { return member(at).find(name(about))->incarnation; }
  void run(double periods) { network.run(network.now() + static_cast<Time>(periods * 500'000)); }
  bool agree() {
    size_t up = 0;
    for (int i = 0; i < network.members(); ++i) up += network.up(i) ? 1 : 0;
    for (int i = 0; i < network.members(); ++i) {
      if (network.up(i) && member(i).alive_count() != up) return false;
    }
    return true;
  }

  std::vector<uint64_t> stored;
  SimNetwork network;
};

struct FaultCase {
  const char* name;
  const char* scenario;
};

class ConvergenceTest : public ::testing::TestWithParam<std::tuple<int, FaultCase>> {};

TEST_P(ConvergenceTest, ConvergesWithinItsBoundAfterTheLastFault) {
  const auto& [members, fault] = GetParam();
  for (uint64_t seed = 1; seed <= (members > 100 ? 1 : 10); ++seed) {
    const lab::Scenario s =
        lab::scenario("length_s=10\nsettle_s=20\nrelays=" + std::to_string(members) + "\n" + fault.scenario);
    const auto result = lab::simulate(s, seed);
    EXPECT_TRUE(lab::all_held(result)) << fault.name << ", seed " << seed << ": " << result["oracles"];
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ConvergenceTest,
    ::testing::Combine(
        ::testing::Values(3, 30, 300),
        ::testing::Values(
            FaultCase{"Start", ""}, FaultCase{"Kill", "[[fault]]\nkind='kill'\nat_s=10\n"},
            FaultCase{"SevenInTen", "[[fault]]\nkind='kill'\nat_s=10\nshare=0.7\n"},
            FaultCase{"Restart", "[[fault]]\nkind='kill'\nat_s=10\nfor_s=0.6\nfolder='emptied'\n"},
            FaultCase{"Split", "[[fault]]\nkind='net'\nat_s=10\nfor_s=30\nshare=0.4\n"},
            FaultCase{"Stop", "[[fault]]\nkind='stop'\nat_s=10\nfor_s=[0.3,0.9]\nshare=0.2\n"})),
    [](const auto& test) { return std::get<1>(test.param).name + std::to_string(std::get<0>(test.param)); });

TEST(Membership, ShortPauseIsNotADeathAndLongPauseRecovers) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Members m(5, seed);
    m.run(20);
    m.network.pause(2);
    m.network.run(m.network.now() + m.member(0).min_suspicion_timeout() - 500 * kMs);
    m.network.resume(2);
    m.run(12);
    for (int i = 0; i < 5; ++i) {
      for (const auto& e : m.member(i).take_events())
        EXPECT_NE(e.type, Membership::Event::Type::kDead) << "seed " << seed;
    }
    m.network.pause(2);
    m.run(60);
    EXPECT_EQ(m.state(0, 2), State::kDead);
    m.network.resume(2);
    m.run(11);
    EXPECT_TRUE(m.agree()) << "seed " << seed;
    for (const auto& e : m.member(2).take_events())
      EXPECT_NE(e.type, Membership::Event::Type::kDead) << "the paused member declared others dead";
  }
}

TEST(Membership, TenPercentLossCausesNoDeath) {
  const lab::Scenario s = lab::scenario(
      "length_s=10\nsettle_s=5\nrelays=30\n[[fault]]\nkind='net'\nat_s=5\nfor_s=1200\nloss=0.1\ndelay_ms=10\n"
      "duplicate=0.05\nreorder=0.1\n");
  const auto result = lab::simulate(s, 3);
  EXPECT_EQ(result["figures"]["false_deaths"], 0) << result["first_false_death"];
  EXPECT_GT(result["figures"]["suspicions"].get<double>(), 0);
}

TEST(Membership, TrafficPerMemberDoesNotGrowWithTheFleet) {
  const auto bytes = [](int members) {
    const auto result =
        lab::simulate(lab::scenario("length_s=60\nsettle_s=0\nrelays=" + std::to_string(members)), 1);
    return result["figures"]["bytes_at_rest"].get<double>();
  };
  const double small = bytes(30);
  EXPECT_LE(bytes(300), 1.5 * small);
  EXPECT_LT(small, 1400);
}

TEST(Membership, RestartRaisesIncarnationWithAndWithoutStoredState) {
  Members m(5);
  m.run(15);
  m.stored[1] = m.member(1).incarnation();
  const uint64_t before = m.incarnation(0, 1);
  m.network.crash(1);
  m.run(1);
  m.network.start(1);
  m.run(15);
  EXPECT_GT(m.incarnation(0, 1), before);
  const uint64_t previous = m.incarnation(0, 1);
  m.stored[1] = 0;  // its folder was emptied
  m.network.crash(1);
  m.run(1);
  m.network.start(1);
  m.run(15);
  EXPECT_GT(m.incarnation(0, 1), previous);
  EXPECT_EQ(m.incarnation(0, 1), m.member(1).incarnation());
  EXPECT_TRUE(m.agree());
}

TEST(Membership, LeavingIsDistinguishedFromDeath) {
  Members m(5);
  m.run(15);
  m.member(3).leave();
  m.run(1);
  m.network.crash(3);
  m.run(20);
  for (int i : {0, 1, 2, 4}) EXPECT_EQ(m.state(i, 3), State::kLeft) << i;
}

// Guards against reporting a death as a refutation first: the log said "answers again" right before "is
// gone".
TEST(Membership, DeathIsReportedOnceAndNotAsARefutation) {
  Members m(3);
  m.run(15);
  for (int i = 0; i < 3; ++i) (void)m.member(i).take_events();
  m.network.crash(2);
  m.run(20);
  std::vector<Membership::Event::Type> events;
  for (const auto& e : m.member(0).take_events()) events.push_back(e.type);
  EXPECT_EQ(events, (std::vector{Membership::Event::Type::kSuspect, Membership::Event::Type::kDead}));
}

// A member that can send but receives nothing must not have the others declared dead, and is declared dead
// itself.
TEST(Membership, MemberThatReceivesNothingLowersItsOwnHealth) {
  Members m(8);
  m.run(15);
  m.network.blocked = [](int, int to) { return to == 4; };
  m.run(80);
  EXPECT_EQ(m.member(4).health_score(), Membership::kMaxHealthScore);
  EXPECT_EQ(m.state(0, 4), State::kDead);
  for (int i : {0, 1, 2, 3, 5, 6, 7}) {
    EXPECT_EQ(m.member(i).alive_count(), 7u) << i;
    for (const auto& e : m.member(i).take_events())
      EXPECT_FALSE(e.type == Membership::Event::Type::kDead && e.name != "n4");
  }
  m.network.blocked = nullptr;
  m.run(25);
  EXPECT_TRUE(m.agree());
}

TEST(Membership, BrokenLinkBetweenTwoMembersCausesNoDeath) {
  Members m(6);
  m.run(15);
  m.network.blocked = [](int from, int to) { return (from == 1 && to == 2) || (from == 2 && to == 1); };
  m.run(200);
  for (int i = 0; i < 6; ++i) {
    for (const auto& e : m.member(i).take_events()) EXPECT_NE(e.type, Membership::Event::Type::kDead);
  }
}

TEST(Membership, PartitionConvergesHoweverLateItHeals) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Members m(7, seed);
    m.run(15);
    m.network.blocked = [](int from, int to) { return (from < 3) != (to < 3); };
    m.run(5000);
    EXPECT_EQ(m.member(0).alive_count(), 3u);
    EXPECT_EQ(m.member(6).alive_count(), 4u);
    m.network.blocked = nullptr;
    m.run(4 + 3 * std::log2(7.0));
    EXPECT_TRUE(m.agree()) << "seed " << seed;
  }
}

TEST(Membership, FlappingPartitionConverges) {
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

TEST(Membership, RemovedNameIsForgottenAndAddedNameJoins) {
  Members m(5);
  m.run(15);
  std::vector<std::string> fewer = {name(0), name(1), name(2), name(3)};
  for (int i = 0; i < 3; ++i) m.member(i).set_members(fewer);  // the other two still have the old names
  m.run(10);
  EXPECT_EQ(m.member(0).find(name(4)), nullptr);
  EXPECT_GT(m.member(0).dropped().unknown_sender, 0u);
  EXPECT_EQ(m.member(3).alive_count(), 5u);
  fewer.push_back(name(4));
  for (int i = 0; i < 3; ++i) m.member(i).set_members(fewer);
  m.run(15);
  EXPECT_TRUE(m.agree());
}

// Stale updates, updates sent under another name and incarnations out of range.
TEST(Membership, OldOrInvalidUpdatesChangeNothing) {
  Members m(4);
  m.run(15);
  Membership& receiver = m.member(0);
  const uint64_t digest = receiver.digest();
  const auto send_from = [&](const std::string& name, const std::string& from, std::vector<Update> updates) {
    Packet p;
    p.cluster = "test";
    p.type = PacketType::kGossip;
    p.sender = {name, State::kAlive, receiver.find(name) != nullptr ? receiver.find(name)->incarnation : 1,
                "",   "1",           1};
    p.updates = std::move(updates);
    receiver.on_datagram(m.network.now(), from, encode(p));
  };
  send_from("n1", "n1", {{"n2", State::kSuspect, 0, "n1", "", 0}});               // stale incarnation
  send_from("n1", "n1", {{"n2", State::kDead, kMaxIncarnation + 1, "", "", 0}});  // malformed
  send_from("n2", "n1", {{"n3", State::kDead, 9, "", "", 0}});  // claims n2's name from n1's address
  send_from("n1", "stranger", {{"n3", State::kDead, 9, "", "", 0}});
  send_from("n0", "n1", {});
  EXPECT_EQ(receiver.digest(), digest);
  EXPECT_EQ(receiver.dropped().unreadable[static_cast<size_t>(PacketError::kMalformed)], 1u);
  EXPECT_EQ(receiver.dropped().name_mismatch, 1u);
  EXPECT_EQ(receiver.dropped().own_name_claimed, 1u);
  EXPECT_EQ(receiver.dropped().unknown_sender, 1u);
  // At the end of the range a member still refutes, and its incarnation does not wrap around.
  send_from("n1", "n1", {{"n0", State::kSuspect, kMaxIncarnation, "n1", "", 0}});
  EXPECT_EQ(receiver.incarnation(), kMaxIncarnation);
}

TEST(MembershipCodec, FullDatagramRoundTripsWithinItsSize) {
  Packet p;
  p.cluster = "c";
  p.type = PacketType::kRecords;
  p.sender = {"n1", State::kAlive, 7, "", "0.1.0", 123456789};
  p.sequence_number = 99;
  p.digest = ~uint64_t{0};
  size_t size = max_encoded_header_size(p);
  for (;;) {
    const Update u{"n" + std::to_string(p.updates.size()),
                   State::kSuspect,
                   kMaxIncarnation,
                   std::string(64, 'b'),
                   "",
                   0};
    if (size + max_encoded_size(u) > kMaxDatagramSize) break;
    size += max_encoded_size(u);
    p.updates.push_back(u);
  }
  const std::string bytes = encode(p);
  EXPECT_LE(bytes.size(), kMaxDatagramSize);
  const auto back = std::get<Packet>(decode(bytes, "c"));
  EXPECT_EQ(back.updates, p.updates);
  EXPECT_EQ(back.sender, p.sender);
  EXPECT_EQ(std::get<PacketError>(decode(bytes, "d")), PacketError::kOtherCluster);
  EXPECT_EQ(std::get<PacketError>(decode(std::string(1401, 'x'), "c")), PacketError::kTooLong);
  EXPECT_EQ(std::get<PacketError>(decode("", "c")), PacketError::kMalformed);
}

// Randomly mutated real datagrams. One that cannot be decoded must not change the state; one that can may
// carry any content, and the member must keep working.
TEST(MembershipCodec, MutatedDatagramsAreHandled) {
  constexpr int kMutations = 30'000;
  const uint64_t seed = 20261201;
  RecordProperty("seed", std::to_string(seed));
  pcg64 rng(seed);
  Members m(4);
  std::vector<std::string> real;
  m.run(8);
  Membership& receiver = m.member(0);
  for (int i = 0; i < 300; ++i) {
    Membership copy = m.member(1 + i % 3);
    copy.on_timer(m.network.now() + 500 * kMs);
    for (auto& d : copy.take_datagrams()) real.push_back(d.bytes);
    m.run(1);
  }
  ASSERT_GT(real.size(), 200u) << real.size();
  int undecodable = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string bytes = real[rng(static_cast<uint32_t>(real.size()))];
    for (uint64_t n = 1 + rng(4); n > 0 && !bytes.empty(); --n) {
      const size_t where = rng(static_cast<uint32_t>(bytes.size()));
      switch (rng(4)) {
        case 0:
          bytes[where] = static_cast<char>(rng(256));
          break;
        case 1:
          bytes[where] = static_cast<char>(bytes[where] ^ (1 << rng(8)));
          break;
        case 2:
          bytes.erase(where, 1 + rng(8));
          break;
        default:
          bytes.insert(where, 1 + rng(8), static_cast<char>(rng(256)));
      }
    }
    const bool decodable = std::holds_alternative<Packet>(decode(bytes, "test"));
    undecodable += decodable ? 0 : 1;
    const uint64_t before = receiver.fingerprint(m.network.now());
    receiver.on_datagram(m.network.now(), "n1", bytes);
    (void)receiver.take_datagrams();
    (void)receiver.take_events();
    if (!decodable) {
      ASSERT_EQ(receiver.fingerprint(m.network.now()), before) << "seed " << seed << ", mutation " << i;
    }
  }
  EXPECT_GT(undecodable, kMutations / 10);
  EXPECT_EQ(receiver.names().size(), 4u);
}

TEST(RelayCount, RisesAtOnceFallsInStepsAndStaysInAMinority) {
  RelayCount c(5, 3 * kSecond);
  EXPECT_EQ(c.value(), 5);
  EXPECT_FALSE(c.update(0, 2));  // a minority
  EXPECT_FALSE(c.update(100 * kSecond, 2));
  EXPECT_EQ(c.value(), 5);
  EXPECT_FALSE(c.update(101 * kSecond, 3));
  EXPECT_FALSE(c.update(103 * kSecond, 3));
  EXPECT_TRUE(c.update(104 * kSecond, 3));
  EXPECT_EQ(c.value(), 4);
  EXPECT_FALSE(c.update(105 * kSecond, 3));
  EXPECT_TRUE(c.update(107 * kSecond, 3));
  EXPECT_EQ(c.value(), 3);
  EXPECT_FALSE(c.update(200 * kSecond, 3));
  EXPECT_TRUE(c.update(201 * kSecond, 5));
  EXPECT_EQ(c.value(), 5);
}

// In every partition the shares of both sides sum to at most the bound stated in relay_count.h, and to
// under 1.5.
TEST(RelayCount, SharesSumToAtMostTheBoundInEveryPartition) {
  for (int n = 1; n <= 30; ++n) {
    for (int side = 0; side <= n; ++side) {
      RelayCount a(n, 1), b(n, 1);
      for (Time t = 0; t < 100; ++t) {
        a.update(t * 2, side);
        b.update(t * 2, n - side);
      }
      const double sum = static_cast<double>(side) / a.value() + static_cast<double>(n - side) / b.value();
      EXPECT_LE(sum, 1 + static_cast<double>(std::min(side, n - side)) / n + 1e-9) << n << " " << side;
      EXPECT_LT(sum, 1.5 + 1e-9);
    }
  }
}

}  // namespace
}  // namespace umberhoist::fleet
