// The notices that end messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "directory.h"
#include "message.h"
#include "state_timer.h"

namespace firspool::relay {

// A notice is overdue 300 ms after its message's time is up, and 204 is given at once: an answer that does
// not come within 120 ms is given up, and the next post follows 10 ms later on a new connection. While posts
// go on failing, up to 1 s is left for an answer, and up to 100 ms lie between them.
class PostTimes {
 public:
  std::chrono::milliseconds answer() const;  // for the next post's answer, its connect included
  std::chrono::milliseconds pause();         // one failed: until the next
  void answered() { failed_ = 0; }

 private:
  int failed_ = 0;  // in a row
};

// Sends notices, each again until it is answered with 204. Of those answered with 400 each half is sent
// alone; one alone that cannot be read is over. The loop runs no more once it is destroyed.
class Notices {
 public:
  using Sent = std::function<void(const std::string& id)>;

  Notices(boost::asio::io_context& io, const tcp::endpoint& address, Sent sent);
  ~Notices();

  void add(Notice notice);
  void move(const tcp::endpoint& address);
  bool empty() const { return queue_.empty(); }
  size_t size() const { return queue_.size(); }
  Time oldest() const { return queue_.empty() ? 0 : steady_now() - queue_.front().since; }

 private:
  class Post;

  static constexpr size_t kMostNotices = 200;  // in one request: well under the largest body

  // What the one timer limits.
  enum class State {
    kIdle,   // nothing is owed
    kOut,    // until the answer
    kPause,  // until the next post
  };
  enum class Answer { kTaken, kUnreadable, kNone };

  void proceed();
  void drop();  // the connection
  void ended(Answer answer);
  void settle();  // the first in the queue

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  Sent sent_;
  PostTimes times_;
  State state_ = State::kIdle;
  StateTimer timer_;
  struct Owed {
    Notice notice;
    Time since = 0;
  };
  std::deque<Owed> queue_;
  size_t most_ = kMostNotices;  // in the next post
  size_t out_ = 0;              // notices at the front that are out
  std::shared_ptr<Post> post_;
};

}  // namespace firspool::relay
