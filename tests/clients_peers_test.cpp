// Peers that do not speak the protocol, and that go.
#include "clients_stage.h"
#include "put.h"

namespace firspool::relay {
namespace {

using testing::put_bytes;

class ClientsPeers : public ClientsStage {
 protected:
  ClientsPeers() { serve({200, 1'000'000}); }
};

std::string words(const std::vector<std::string>& all) {
  std::string out = "*" + std::to_string(all.size()) + "\r\n";
  for (const std::string& word : all) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}

std::string replaced(std::string text, const std::string& what, const std::string& by) {
  return text.replace(text.find(what), what.size(), by);
}

TEST_F(ClientsPeers, TakesOnNothingThatIsNoRequest) {
  decide_ = true;
  const std::string good = put_bytes("a1", kFacts);
  const std::string facts = kFacts;
  const auto put = [](const std::string& id, const std::string& list) { return put_bytes(id, list); };
  const std::vector<std::string> peers = {
      "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
      "MSG.PUT 0000000000000000 a1 " + facts + " body\r\n",  // words without lengths
      "\r\n" + good,
      "\x16\x03\x01\x02" + good,
      std::string(1000, '\0') + good,
      replaced(good, "*5", "*-1"),
      replaced(good, "*5", "*0"),
      replaced(good, "*5", "*17"),
      replaced(good, "*5", "*99999999999999999999"),
      replaced(good, "*5", "*4"),        // a word less than there is
      replaced(good, "$7", "$-1"),       // no string
      replaced(good, "$7", "$+7"),       //
      replaced(good, "$7", "$0x7"),      //
      replaced(good, "$7", "$ 7"),       //
      replaced(good, "$7", "$6"),        // too short
      replaced(good, "$4", "$3"),        // the body's
      replaced(good, "$4", "$65537"),    // and too long
      replaced(good, "$4", "$9999999"),  //
      replaced(good, "$7", ":7"),
      replaced(good, "MSG.PUT", "MSG.GET"),
      replaced(good, "\r\n", "\n"),
      words({"MSG.PUT", "0000000000000000", "a1", facts}),
      words({"MSG.PUT", "0000000000000000", "a1", facts, "body", "more"}),
      words({"MSG.PUT"}),
      words({""}),
      put("", facts),
      put("a 1", facts),
      put("a1\r\nX: y", facts),
      put(std::string(200, 'a'), facts),
      put("a1", ""),
      put("a1", "c,d,dest"),
      put("a1", "d=8000,dest=7"),
      put("a1", "c=safe,dest=7"),
      put("a1", "c=safe,d=8000"),
      put("a1", "c=safe,d=,dest=7"),
      put("a1", "c=safe,d=8000,dest=-7"),
      put("a1", "c=safe,d=8000,dest=seven"),
      put("a1", "c=safe,d=8000,,dest=7"),
      put("a1", "c=safe;d=8000;dest=7"),
  };
  for (const std::string& bytes : peers) {
    Socket peer = connect();
    peer.send(bytes);
    ASSERT_TRUE(run_until([&] { return waiting(peer) > 0 || over(peer); })) << bytes;
    if (waiting(peer) > 0) {
      EXPECT_TRUE(peer.line().starts_with("-ERR")) << bytes;
    }
  }
  settle();
  EXPECT_TRUE(handed_.empty());
}

// A request that is not whole when its peer ends or resets is none.
TEST_F(ClientsPeers, TakesOnNothingThatIsCutOff) {
  decide_ = true;
  const std::string good = put_bytes("a1", kFacts);
  for (size_t count = 0; count < good.size(); ++count) {
    Socket ends = connect();
    ends.send(good.substr(0, count));
    ::shutdown(ends.fd(), SHUT_WR);
    Socket resets = connect();
    resets.send(good.substr(0, count));
    resets.reset();
    ASSERT_TRUE(run_until([&] { return clients_->open() == 0 && over(ends); })) << count;
  }
  EXPECT_TRUE(handed_.empty());
}

// Their sender does not speak the protocol, though the first bytes are a request.
TEST_F(ClientsPeers, TakesOnNothingWithOtherBytesBehindIt) {
  decide_ = true;
  const std::string good = put_bytes("a1", kFacts);
  for (const std::string behind : {"$4\r\nmore\r\n", "more", "\r\n", "GET / HTTP/1.1\r\n"}) {
    Socket peer = connect();
    peer.send(good + behind);
    const std::string all = read_all(peer);
    EXPECT_TRUE(all.starts_with("-ERR")) << behind << all;
    EXPECT_TRUE(all.ends_with("end")) << behind << all;
  }
  EXPECT_TRUE(handed_.empty());
  Socket client = connect();
  client.send(good + good.substr(0, 1));  // the next one has begun
  ASSERT_TRUE(run_to(1));
  client.send(good.substr(1));
  ASSERT_TRUE(run_to(2));
}

TEST_F(ClientsPeers, APeerThatSendsAByteAtATimeIsTold) {
  Socket peer = connect();
  const std::string bytes = put_bytes("a1", kFacts);
  size_t sent = 0;
  ASSERT_TRUE(run_until([&] {
    if (waiting(peer) > 0 || over(peer)) return true;
    if (sent + 1 < bytes.size()) peer.send(bytes.substr(sent++, 1));
    const Time until = steady_now() + 50'000;
    while (steady_now() < until) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(5));
    }
    return false;
  }));
  EXPECT_TRUE(read_all(peer).starts_with("-ERR"));
  EXPECT_TRUE(handed_.empty());
}

TEST_F(ClientsPeers, AClientThatGoesAfterHandingInHoldsNothing) {
  Socket ends = connect();
  ends.send(put_bytes("a1", kFacts));
  ASSERT_TRUE(run_to(1));
  Socket resets = connect();
  resets.send(put_bytes("a2", kFacts));
  ASSERT_TRUE(run_to(2));
  ends.close();
  resets.reset();
  for (const auto& answer : answers_) answer("+OK");
  EXPECT_TRUE(run_until([&] { return clients_->open() == 0; }));
  EXPECT_EQ(handed_.size(), 2u);
}

// A destination that no list can hold would be waited for until the message's time is over.
TEST(Put, RefusesADestinationThatNoListCanHold) {
  const auto destination = [](const std::string& dest) {
    return parse_put({"MSG.PUT", "0", "a", "c=x,d=8000,dest=" + dest, ""}, 5'000'000).destination;
  };
  EXPECT_EQ(destination("0"), 0);
  EXPECT_EQ(destination("65535"), 65535);
  for (const std::string dest : {"65536", "70000", "1000000", "-1", "7x", ""}) {
    EXPECT_THROW(destination(dest), std::invalid_argument) << dest;
  }
}

}  // namespace
}  // namespace firspool::relay
