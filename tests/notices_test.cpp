// Notices, with a discovery that answers as the test has it.
#include "notices.h"

#include <poll.h>

#include <nlohmann/json.hpp>

#include "peers.h"

namespace firspool::relay {
namespace {

using std::chrono::steady_clock;
using testing::Socket;
using namespace std::chrono_literals;

class NoticesTest : public ::testing::Test {
 protected:
  static tcp::endpoint at(const Socket& listener) {
    return {boost::asio::ip::make_address("127.0.0.1"), listener.port()};
  }
  template <typename Done>
  bool run_until(Done done) {
    const auto deadline = steady_clock::now() + 20s;
    while (!done() && steady_clock::now() < deadline) io_.run_one_for(10ms);
    return done();
  }
  bool readable(const Socket& socket) {
    pollfd waiting{socket.fd(), POLLIN, 0};
    return run_until([&] { return ::poll(&waiting, 1, 0) > 0; });
  }
  Socket accepted(const Socket& listener) {
    EXPECT_TRUE(readable(listener));
    return listener.accept();
  }
  // The next post's ids, with a blank behind each.
  std::string posted(Socket& connection) {
    EXPECT_TRUE(readable(connection));
    const auto request = testing::read_request(connection);
    if (!request) return "none";
    std::string out, body = request->body;
    for (size_t end = 0; (end = body.find('\n')) != std::string::npos; body.erase(0, end + 1)) {
      out += nlohmann::json::parse(body.substr(0, end)).at("id").get<std::string>() + " ";
    }
    return out;
  }
  void answer(const Socket& connection, const std::string& status) {
    connection.send("HTTP/1.1 " + status + " x\r\n" +
                    (status == "204" ? "\r\n" : "Content-Length: 0\r\n\r\n"));
  }
  bool settled(const std::string& ids) {
    return run_until([&] { return sent_.size() >= ids.size(); }) && sent_ == ids;
  }

  boost::asio::io_context io_;
  Socket listener_ = Socket::listen();
  std::string sent_;
  std::optional<Notices> notices_{std::in_place, io_, at(listener_),
                                  [this](const std::string& id) { sent_ += id + " "; }};
};

// It once kept every later notice back, for ever.
TEST_F(NoticesTest, OneThatCannotBeReadHoldsUpNoOther) {
  for (const char* id : {"a", "b", "c", "bad", "d"}) notices_->add({id, false, 0});
  Socket agent = accepted(listener_);
  for (int posts = 0; sent_.size() < 12 && posts < 12; ++posts) {
    const std::string ids = posted(agent);
    if (ids == "none") agent = accepted(listener_);
    if (ids != "none") answer(agent, ids.find("bad") == std::string::npos ? "204" : "400");
    run_until([&] { return notices_->empty() || io_.poll() == 0; });
  }
  EXPECT_TRUE(settled("a b c bad d "));
  EXPECT_TRUE(notices_->empty());
}

// A notice is overdue after 300 ms: the connection that was kept says nothing, and the next post has to be in
// time.
TEST_F(NoticesTest, ASilentConnectionLeavesTimeForAnother) {
  notices_->add({"a", false, 0});
  Socket kept = accepted(listener_);
  EXPECT_EQ(posted(kept), "a ");
  answer(kept, "204");
  ASSERT_TRUE(settled("a "));
  const auto began = steady_clock::now();
  notices_->add({"b", true, 500'000});
  EXPECT_EQ(posted(kept), "b ");
  Socket next = accepted(listener_);
  EXPECT_LT(steady_clock::now() - began, 300ms);
  EXPECT_EQ(posted(next), "b ");
  answer(next, "204");
  EXPECT_TRUE(settled("a b "));
}

TEST_F(NoticesTest, AClosedConnectionLeavesTimeForAnother) {
  notices_->add({"a", false, 0});
  Socket kept = accepted(listener_);
  EXPECT_EQ(posted(kept), "a ");
  answer(kept, "204");
  ASSERT_TRUE(settled("a "));
  kept.reset();
  notices_->add({"b", false, 0});
  Socket next = accepted(listener_);
  EXPECT_EQ(posted(next), "b ");
  answer(next, "503");
  next = accepted(listener_);
  EXPECT_EQ(posted(next), "b ");
  answer(next, "204");
  EXPECT_TRUE(settled("a b "));
}

// After many refusals as well: from the moment in which discovery takes them again.
TEST_F(NoticesTest, ARefusedOneIsNeverLongWithoutAPost) {
  notices_->add({"a", false, 0});
  steady_clock::duration longest{};
  for (int refused = 0; refused < 8; ++refused) {
    Socket agent = accepted(listener_);
    EXPECT_EQ(posted(agent), "a ");
    answer(agent, "503");
    const auto began = steady_clock::now();
    ASSERT_TRUE(readable(listener_));
    longest = std::max(longest, steady_clock::now() - began);
  }
  EXPECT_LT(longest, 300ms);
}

// What was out to the old address goes to the new one at once, and is settled once.
TEST_F(NoticesTest, AMoveSendsWhatIsOutToTheNewAddress) {
  notices_->add({"a", false, 0});
  Socket agent = accepted(listener_);
  EXPECT_EQ(posted(agent), "a ");
  const Socket moved = Socket::listen();
  notices_->move(at(moved));
  answer(agent, "204");  // too late: it is closed
  Socket next = accepted(moved);
  EXPECT_EQ(posted(next), "a ");
  answer(next, "204");
  EXPECT_TRUE(settled("a "));
  EXPECT_TRUE(notices_->empty());
}

}  // namespace
}  // namespace firspool::relay
