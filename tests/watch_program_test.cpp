// News that crosses a call, over loopback sockets.
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include "peers.h"

namespace firspool::testing {
namespace {

// Its connections come up only once the test has taken the one that fills its queue.
class SlowListener {
 public:
  SlowListener() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    listener_ = Socket(fd);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(::listen(fd, 0), 0);
    filler_ = Socket::connect(listener_.port());
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  Socket accept_behind_the_filler() const {
    listener_.accept();
    pollfd waiting{listener_.fd(), POLLIN, 0};
    EXPECT_GT(::poll(&waiting, 1, kDeadlineMs), 0);
    return listener_.accept();
  }

 private:
  Socket listener_;
  Socket filler_;
};

// A message waits for its connection when news of its host comes; another one's call tells that the news has
// been heard.
struct ConnectingCall {
  SlowListener slow;
  Host other, witness;
  Discovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", slow.address(), 7)});

  void is_not_begun_after(const std::vector<nlohmann::json>& news) {
    config["settings"]["bounds"]["connect_timeout_s"] = 10.0;
    Program program(config);
    program.start();
    Socket client = program.client();
    const std::string facts = "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=";
    for (const std::string& what :
         {put_bytes("00000000000000a1", facts + "7"), put_bytes("00000000000000a2", facts + "8")}) {
      client.send(what);
      EXPECT_EQ(client.line(), "+OK");
    }
    discovery.tell(list_json(2, false, news));
    EXPECT_EQ(witness.next().headers.at("x-call-id"), "00000000000000a2");  // the news has been heard
    Socket late = slow.accept_behind_the_filler();
    EXPECT_TRUE(late.ended());  // without a byte
    EXPECT_EQ(other.next().headers.at("x-call-id"), "00000000000000a1");
  }
};

class CrossingNews : public ::testing::TestWithParam<std::string> {};

// Its host is told to be leaving, or gone: nothing is begun there.
TEST_P(CrossingNews, ACallThatStillConnectsIsNotBegun) {
  ConnectingCall call;
  call.config["settings"]["bounds"]["conn_idle_s"] = 1.0;
  call.is_not_begun_after({member_json("s-1", call.slow.address(), 7, GetParam()),
                           member_json("s-2", call.other.address(), 7),
                           member_json("s-3", call.witness.address(), 8)});
}

INSTANTIATE_TEST_SUITE_P(Phases, CrossingNews, ::testing::Values("leaving", "left"));

// Its id has another address: what listens at the old one may be of any cell.
TEST(MovedHost, ACallThatStillConnectsToItsOldAddressIsNotBegun) {
  ConnectingCall call;
  call.is_not_begun_after(
      {member_json("s-1", call.other.address(), 7), member_json("s-3", call.witness.address(), 8)});
}

// Queued and pooled: a message of the old cell waits, and one of the new cell goes.
TEST(MovedHost, NothingOfItsOldCellIsSentToIt) {
  Host host;
  Discovery discovery;
  Program program(config_json(discovery.address(), {member_json("s-1", host.address(), 7)}));
  program.start();
  Socket client = program.client();
  const auto put = [&](const std::string& id, const std::string& what) {
    client.send(put_bytes(id, what));
    EXPECT_EQ(client.line(), "+OK");
  };
  put("00000000000000a1", "c=safe,d=60000,dest=7");
  EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000a1");
  host.answer("200");
  discovery.tell(list_json(2, false, {member_json("s-1", host.address(), 9)}));
  put("00000000000000a2", "c=safe,d=60000,dest=9");
  EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000a2");  // the news has been heard
  host.answer("200");
  put("00000000000000a3", "c=safe,d=1500,dest=7");
  EXPECT_EQ(discovery.notice().at("id"), "00000000000000a3");
  put("00000000000000a4", "c=safe,d=60000,dest=9");
  EXPECT_EQ(host.next().headers.at("x-call-id"), "00000000000000a4");
}

// Discovery began anew and counts from the start: what it tells holds, and what was told to drain stays so.
TEST(RestartedDiscovery, ItsWholeListHoldsThoughItsRevisionIsLower) {
  Host leaves, stays, drained, witness;
  Discovery discovery;
  Program program(config_json(discovery.address(), {member_json("s-1", leaves.address(), 7)}));
  program.start();
  const auto put = [&](const std::string& id, const std::string& what) {
    Socket client = program.client();
    client.send(put_bytes(id, what));
    EXPECT_EQ(client.line(), "+OK");
  };
  discovery.tell(list_json(50, false, {member_json("s-2", drained.address(), 8, "leaving")}));
  discovery.tell(
      list_json(3, true,
                {member_json("s-1", leaves.address(), 7, "leaving"), member_json("s-2", drained.address(), 8),
                 member_json("s-3", stays.address(), 7)}));
  put("00000000000000a1", "c=safe,d=60000,dest=7");
  EXPECT_EQ(stays.next().headers.at("x-call-id"), "00000000000000a1");
  stays.answer("200");
  put("00000000000000a2", "c=safe,d=1500,dest=8");
  EXPECT_EQ(discovery.notice().at("id"), "00000000000000a2");
  discovery.tell(list_json(4, false, {member_json("s-2", drained.address(), 8)}));
  put("00000000000000a3", "c=safe,d=60000,dest=8");
  EXPECT_EQ(drained.next().headers.at("x-call-id"), "00000000000000a3");
}

}  // namespace
}  // namespace firspool::testing
