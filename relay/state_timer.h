// The one timer of a state machine: what its present state is given, and what follows.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>

namespace firspool::relay {

// An end that is queued already when another state is entered never acts. The loop runs no more once the
// timer is destroyed.
class StateTimer {
 public:
  using Over = std::function<void()>;

  explicit StateTimer(boost::asio::io_context& io) : timer_(io) {}

  // In place of all that was set before: `over` is called once, after so long.
  void set(std::chrono::milliseconds limit, Over over) { arm(limit, ++entry_, std::move(over)); }

  // What came in time may be queued behind the timer's end, where the loop was busy: it is read first, and
  // may set the timer anew.
  void set_behind_reads(std::chrono::milliseconds limit, Over over) {
    set(limit, [this, entry = entry_ + 1, over = std::move(over)] {
      arm(std::chrono::milliseconds(0), entry, over);
    });
  }

  void cancel() {
    ++entry_;
    timer_.cancel();
  }

 private:
  void arm(std::chrono::milliseconds limit, uint64_t entry, Over over) {
    timer_.expires_after(limit);
    timer_.async_wait([this, entry, over = std::move(over)](const boost::system::error_code& error) {
      if (!error && entry == entry_) over();
    });
  }

  boost::asio::steady_timer timer_;
  uint64_t entry_ = 0;  // counts what was set
};

}  // namespace firspool::relay
