// The watch on the list of hosts, with a discovery that sends bytes as the test has it.
#include "watch.h"

#include <poll.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "peers.h"

namespace firspool::relay {
namespace {

using std::chrono::steady_clock;
using testing::list_json;
using testing::member_json;
using testing::Request;
using testing::Socket;
using namespace std::chrono_literals;

const char* const kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class WatchTest : public ::testing::Test {
 protected:
  static tcp::endpoint at(const Socket& listener) {
    return {boost::asio::ip::make_address("127.0.0.1"), listener.port()};
  }
  void open() {
    watch_.emplace(
        io_, at(listener_), ListNames{{"a"}, {"std"}}, AskTimes(Settings(), 1), [this] { return known_; },
        [this](const HostList& list) {
          lists_.push_back(list);
          if (list.complete || list.revision > known_) known_ = list.revision;
        },
        [this] { ++heard_; });
  }
  template <typename Done>
  bool run_until(Done done) {
    const auto deadline = steady_clock::now() + 20s;
    while (!done() && steady_clock::now() < deadline) io_.run_one_for(10ms);
    return done();
  }
  bool connects(const Socket& listener) {
    pollfd_ = {listener.fd(), POLLIN, 0};
    return run_until([&] { return ::poll(&pollfd_, 1, 0) > 0; });
  }
  // The next ask, on a connection that the test answers.
  Socket asked(const Socket& listener, std::string* first = nullptr) {
    EXPECT_TRUE(connects(listener));
    Socket out = listener.accept();
    pollfd_ = {out.fd(), POLLIN, 0};
    EXPECT_TRUE(run_until([&] { return ::poll(&pollfd_, 1, 0) > 0; }));
    const auto request = testing::read_request(out);
    EXPECT_TRUE(request);
    if (first != nullptr && request) *first = request->first;
    return out;
  }
  Socket asked() { return asked(listener_); }
  bool told(size_t lists) {
    return run_until([&] { return lists_.size() >= lists; });
  }

  boost::asio::io_context io_;
  Socket listener_ = Socket::listen();
  int64_t known_ = 0;
  std::vector<HostList> lists_;
  int heard_ = 0;
  pollfd pollfd_{};
  std::optional<Watch> watch_;
};

// The operators' lists may come over many lines, and many may come at once, cut anywhere.
TEST_F(WatchTest, ReadsListsByTheirStructureNotByLines) {
  open();
  Socket agent = asked();
  const std::string first = list_json(2, true, {member_json("s-{1", "10.0.0.1:80", 7)}).dump(2);
  const std::string second = list_json(3, false, {member_json("s-\"}\\", "10.0.0.2:80", 7)}).dump(4);
  agent.send(kHead + chunk(first + "\r\n" + second.substr(0, 40)));
  ASSERT_TRUE(told(1));
  EXPECT_EQ(lists_[0].hosts.at(0).id, "s-{1");
  for (const char byte : second.substr(40)) agent.send(chunk(std::string(1, byte)));
  ASSERT_TRUE(told(2));
  EXPECT_EQ(lists_[1].hosts.at(0).id, "s-\"}\\");
  EXPECT_EQ(heard_, 3);  // and the newline between them
}

// A stream that is no list is left, not read on; so is an answer that is none.
TEST_F(WatchTest, LeavesAnAnswerThatItCannotRead) {
  open();
  for (const std::string& answer :
       {kHead + chunk("no list"), kHead + chunk("{\"revision\":}"), std::string("HTTP/1.1 503 no\r\n\r\n"),
        std::string("HTTP/1.1 429 no\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")}) {
    Socket agent = asked();
    agent.send(answer);
    ASSERT_TRUE(connects(listener_)) << answer;
    EXPECT_TRUE(agent.ended()) << answer;
  }
  Socket agent = asked();
  agent.send(kHead + chunk(list_json(2, true, {}).dump()));  // cut before its newline
  EXPECT_TRUE(told(1));
}

}  // namespace
}  // namespace firspool::relay
