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
  void open(const Settings& settings = Settings()) {
    watch_.emplace(
        io_, at(listener_), ListNames{{"a"}, {"std"}}, AskTimes(settings, 1), [this] { return known_; },
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

// Asked for again from what is known, the changes that cannot be read would come for ever.
TEST_F(WatchTest, AsksForTheWholeListWhereChangesCannotBeRead) {
  open();
  Socket agent = asked();
  nlohmann::json nameless = member_json("s-1", "10.0.0.1:80", 7);
  nameless.erase("id");
  agent.send(kHead + chunk(list_json(2, true, {}).dump() + list_json(3, false, {nameless}).dump()));
  std::string first;
  agent = asked(listener_, &first);
  EXPECT_EQ(first, "GET /api/targets?stream=1&index=0 HTTP/1.1");
  agent.send(kHead + chunk(list_json(3, true, {nameless}).dump()));
  ASSERT_TRUE(told(2));
  agent.close();
  asked(listener_, &first);
  EXPECT_EQ(first, "GET /api/targets?stream=1&index=3 HTTP/1.1");
}

// Discovery answers at once: one that does not is asked again well inside the 6 s after which news counts as
// told.
TEST_F(WatchTest, AsksAnewSoonWhereNoAnswerComes) {
  for (const std::string& answer : {std::string(), std::string(kHead), kHead + chunk("{\"revision\":2,")}) {
    watch_.reset();
    io_.restart();
    open();
    Socket agent = asked();
    const auto began = steady_clock::now();
    agent.send(answer);
    ASSERT_TRUE(connects(listener_)) << answer;
    EXPECT_LT(steady_clock::now() - began, 2s) << answer;
    asked();
  }
}

// Where lists have to be asked for, a discovery that takes 1.2 s over each answer is heard in the end.
TEST_F(WatchTest, HearsADiscoveryThatAnswersEachAskLate) {
  Settings settings;
  settings.list_on_request = true;
  open(settings);
  for (int asks = 0; asks < 6 && lists_.empty(); ++asks) {
    Socket agent = asked();
    const auto due = steady_clock::now() + 1200ms;
    while (steady_clock::now() < due) io_.run_one_for(10ms);
    agent.send(kHead + chunk(list_json(2, true, {}).dump() + "\n"));
    const auto read = steady_clock::now() + 200ms;
    while (lists_.empty() && steady_clock::now() < read) io_.run_one_for(10ms);
  }
  EXPECT_EQ(lists_.size(), 1u);
}

// Bytes that never become a whole object are no sign of life.
TEST_F(WatchTest, AnObjectThatNeverEndsIsSilence) {
  open();
  Socket agent = asked();
  agent.send(kHead + chunk(list_json(2, true, {}).dump() + "\n{"));
  ASSERT_TRUE(told(1));
  const auto began = steady_clock::now();
  pollfd_ = {listener_.fd(), POLLIN, 0};
  while (::poll(&pollfd_, 1, 0) == 0 && steady_clock::now() - began < 10s) {
    agent.send(chunk(" "));
    io_.run_for(5ms);  // all that came, or the sends would fill the connection
  }
  EXPECT_LT(steady_clock::now() - began, 4s);
}

// The silence's timer and the bytes that end the silence are ready in the same moment.
TEST_F(WatchTest, BytesThatCameInTimeKeepTheWatch) {
  open();
  Socket agent = asked();
  agent.send(kHead + chunk(list_json(2, true, {}).dump()));
  ASSERT_TRUE(told(1));
  agent.send(chunk("\n"));
  std::this_thread::sleep_for(5200ms);  // longer than any silence that is borne, while the loop is busy
  io_.poll();
  agent.send(chunk(list_json(3, false, {}).dump()));
  EXPECT_TRUE(told(2));
  pollfd_ = {listener_.fd(), POLLIN, 0};
  EXPECT_EQ(::poll(&pollfd_, 1, 0), 0);
}

// SIGHUP comes in the moment in which a pause is over: the pause's end is queued behind it.
TEST_F(WatchTest, AMoveAsksOnceWhereAPauseWasJustOver) {
  Socket before;
  open();
  before = asked();
  before.close();
  io_.poll();  // the pause begins
  Socket ours = Socket::connect(listener_.port());
  Socket theirs = listener_.accept();
  boost::asio::ip::tcp::socket ready(io_, tcp::v4(), ::dup(theirs.fd()));
  const Socket next = Socket::listen();
  ready.async_wait(tcp::socket::wait_read, [&](const boost::system::error_code&) { watch_->move(at(next)); });
  io_.poll();
  ours.send("x");
  std::this_thread::sleep_for(100ms);  // the first pause is shorter
  io_.poll();
  std::string first;
  Socket agent = asked(next, &first);
  EXPECT_EQ(first, "GET /api/targets?stream=1&index=0 HTTP/1.1");
  watch_->move(at(next));  // once more, with the ask out: only the last one lives
  EXPECT_TRUE(agent.ended());
  agent = asked(next);
  agent.send(kHead + chunk(list_json(2, true, {}).dump()));
  EXPECT_TRUE(told(1));
}

}  // namespace
}  // namespace firspool::relay
