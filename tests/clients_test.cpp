// Requests on one connection: whose time begins when.
#include "clients.h"

#include "peers.h"

namespace firspool::relay {
namespace {

using testing::put_bytes;
using testing::Socket;

class ClientsTest : public ::testing::Test {
 protected:
  // Runs the loop until so many messages were handed in.
  void run_to(size_t count) {
    const Time until = steady_now() + Time{testing::kDeadlineMs} * 1000;
    while (handed_.size() < count && steady_now() < until) {
      io_.restart();
      io_.run_one_for(std::chrono::seconds(1));
    }
    ASSERT_GE(handed_.size(), count);
  }
  // Lets the loop see what has come, and some time pass.
  void pass(Time time) {
    const Time until = steady_now() + time;
    while (steady_now() < until) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(1));
    }
  }

  boost::asio::io_context io_;
  std::vector<Handed> handed_;
  std::vector<Clients::Answer> answers_;
  // Room for three requests that are not whole.
  Clients clients_{io_,
                   {boost::asio::ip::address_v4::loopback(), 0},
                   {},
                   {10, 100'000},
                   [this](Handed handed, Clients::Answer answer) {
                     handed_.push_back(std::move(handed));
                     answers_.push_back(std::move(answer));
                   },
                   [] { return "-BUSY 700"; }};
  Socket client_ = Socket::connect(clients_.address().port());
};

constexpr Time kGiven = 8'000'000;
const char* const kFacts = "c=safe,d=8000,dest=7";

TEST_F(ClientsTest, TimeBehindAnotherRequestCounts) {
  client_.send(put_bytes("a1", kFacts) + put_bytes("a2", kFacts));
  run_to(1);
  pass(50'000);
  answers_[0]("+OK");
  run_to(2);
  EXPECT_EQ(handed_[1].budget.due(), handed_[0].budget.due());  // they were read together
}

// What came while another request was decided on lay unread: it counts from the last read before.
TEST_F(ClientsTest, TimeInTheSocketCounts) {
  client_.send(put_bytes("a1", kFacts));
  run_to(1);
  const Time read = steady_now();
  client_.send(put_bytes("a2", kFacts));
  pass(50'000);
  answers_[0]("+OK");
  run_to(2);
  EXPECT_LE(handed_[1].budget.due(), read + kGiven - 2'000);
  // And one that comes later counts from when it comes.
  answers_[1]("+OK");
  pass(20'000);
  const Time sent = steady_now();
  client_.send(put_bytes("a3", kFacts));
  run_to(3);
  EXPECT_GE(handed_[2].budget.due(), sent + kGiven - 2'000);
}

TEST_F(ClientsTest, TimeRunsFromTheLastPiece) {
  const std::string bytes = put_bytes("a1", kFacts);
  client_.send(bytes.substr(0, bytes.size() - 1));
  pass(50'000);
  const Time sent = steady_now();
  client_.send(bytes.substr(bytes.size() - 1));
  run_to(1);
  EXPECT_GE(handed_[0].budget.due(), sent + kGiven - 2'000);
  EXPECT_LE(handed_[0].budget.due(), steady_now() + kGiven - 2'000);
}

// Peers that leave large requests unfinished: the one that holds most makes room, and a client is served.
TEST_F(ClientsTest, UnfinishedRequestsHaveABoundInBytes) {
  const std::string bytes = put_bytes("a1", kFacts, std::string(60'000, 'x'));
  std::vector<Socket> peers;
  for (const size_t part : {20'000u, 55'000u, 40'000u}) {
    peers.push_back(Socket::connect(clients_.address().port()));
    peers.back().send(bytes.substr(0, part));
    pass(20'000);
  }
  pass(50'000);
  EXPECT_EQ(peers[1].line(), "-BUSY 700");
  EXPECT_TRUE(peers[1].ended());
  EXPECT_EQ(clients_.open(), 4u);  // until it ends too
  peers[1].close();
  pass(20'000);
  EXPECT_EQ(clients_.open(), 3u);
  peers[2].send(bytes.substr(40'000));
  client_.send(put_bytes("a2", kFacts));
  run_to(2);
}

}  // namespace
}  // namespace firspool::relay
