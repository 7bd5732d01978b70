// Clients that wait while others only keep places: idle connections, parts of requests, and senders that have
// gone.
#include "clients_stage.h"

namespace firspool::relay {
namespace {

using testing::put_bytes;

class ClientsCrowd : public ClientsStage {
 protected:
  static constexpr size_t kPlaces = 8;
  static constexpr Time kPatience = 400'000;  // a client waits so long for its answer

  ClientsCrowd() { serve({kPlaces, 1 << 20}); }

  std::vector<Socket> fill(const std::string& bytes) {
    std::vector<Socket> out;
    for (size_t i = 0; i < kPlaces; ++i) {
      out.push_back(connect());
      if (!bytes.empty()) out.back().send(bytes);
    }
    EXPECT_TRUE(run_until([&] { return clients_->open() == kPlaces; }));
    settle();
    return out;
  }
  // Hands in beside them; returns how long that took.
  Time handed_after() {
    const Time begun = steady_now();
    const Socket client = connect();
    client.send(put_bytes("a1", kFacts));
    EXPECT_TRUE(run_to(1));
    return steady_now() - begun;
  }
  void run_for(Time time) {
    const Time until = steady_now() + time;
    EXPECT_TRUE(run_until([&] { return steady_now() >= until; }));
  }
};

TEST_F(ClientsCrowd, ARequestWhoseSenderHasGoneIsNotAccepted) {
  const std::string burst = put_bytes("a1", kFacts) + put_bytes("a2", kFacts) + put_bytes("a3", kFacts);
  for (const bool reset : {false, true}) {
    Socket peer = connect();
    peer.send(burst);
    reset ? peer.reset() : peer.close();
    settle();
    EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
  }
  EXPECT_TRUE(handed_.empty());
}

TEST_F(ClientsCrowd, ARequestWhoseSenderGoesBehindOthersIsNotAccepted) {
  Socket peer = connect();
  peer.send(put_bytes("a1", kFacts) + put_bytes("a2", kFacts));
  ASSERT_TRUE(run_to(1));
  peer.close();
  answers_[0]("+OK");
  EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
  EXPECT_EQ(handed_.size(), 1u);
}

TEST_F(ClientsCrowd, ASenderThatOnlyEndedItsSideIsToldToComeAgain) {
  Socket peer = connect();
  peer.send(put_bytes("a1", kFacts));
  ::shutdown(peer.fd(), SHUT_WR);
  EXPECT_EQ(read_all(peer), "-BUSY 700\r\nend");
  EXPECT_TRUE(handed_.empty());
}

TEST_F(ClientsCrowd, ConnectionsOnWhichNothingComesGiveTheirPlaces) {
  const std::vector<Socket> idle = fill("");
  EXPECT_LT(handed_after(), kPatience);
}

TEST_F(ClientsCrowd, PartsOfRequestsGiveTheirPlacesAndAreToldSo) {
  std::vector<Socket> parts = fill(put_bytes("b", kFacts).substr(0, 30));
  EXPECT_LT(handed_after(), kPatience);
  EXPECT_EQ(read_all(parts[0]), "-BUSY 700\r\nend");
}

TEST_F(ClientsCrowd, AnsweredClientsKeepTheirPlaces) {
  const std::vector<Socket> resting = fill(kPing);
  const Socket waits = connect();
  waits.send(put_bytes("a1", kFacts));
  run_for(1'000'000);
  for (const Socket& client : resting) EXPECT_EQ(waiting(client), kPong.size());
  EXPECT_EQ(clients_->open(), kPlaces);
  EXPECT_TRUE(handed_.empty());
}

// Its time runs from its sending: what it waited for a place is taken off.
TEST_F(ClientsCrowd, TheWaitForAPlaceIsNotAdded) {
  std::vector<Socket> resting = fill(kPing);
  const Time sent = steady_now();
  const Socket waits = connect();
  waits.send(put_bytes("a1", kFacts));  // with 8 s
  run_for(300'000);
  resting.clear();
  ASSERT_TRUE(run_to(1));
  EXPECT_LE(due_.at(0), sent + 8'000'000);
}

}  // namespace
}  // namespace firspool::relay
