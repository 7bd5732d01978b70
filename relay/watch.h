// The watch on the list of hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "ask_times.h"
#include "directory.h"
#include "state_timer.h"

namespace firspool::relay {

// Follows the watch for as long as it lives: a connection that ends or falls silent is opened again. The loop
// runs no more once it is destroyed.
//
// What a silent watch misses counts as told 6 s after it fell silent, and so does any change 6 s after
// discovery had it, whatever became of an ask in between. A newline is due every 2 s. At worst, with one ask
// that is refused, hangs or breaks:
//   kSilence 2.75 s + pause 0.75 s + answer 0.8 s + pause 0.75 s + answer 0.8 s = 5.85 s.
// The answer's time (AskTimes::answer) runs from before the connect to the first whole object: discovery
// answers at once. One that accepts but says nothing before its first newline is given kSilence for it at the
// next ask.
class Watch {
 public:
  using Told = std::function<void(const HostList&)>;
  using Revision = std::function<int64_t()>;  // the one that is known

  // `current` is called after each object, and each newline between them: what there was to tell has been
  // told.
  Watch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names, AskTimes asks,
        Revision revision, Told told, std::function<void()> current);
  ~Watch();

  // Discovery has another address from now on.
  void move(const tcp::endpoint& address);
  // Lists use these names from now on.
  void rename(ListNames names) { names_ = std::move(names); }

 private:
  class Stream;

  static constexpr std::chrono::milliseconds kSilence{2750};

  // What the one timer limits. Its end begins the next ask after a pause, and else ends the connection.
  enum class State {
    kPause,     // no connection
    kAsk,       // until the answer's head
    kAccepted,  // until its first object or newline
    kFollow,    // until the next one
  };

  void enter(State state, std::chrono::milliseconds limit);  // with a connection
  void pause(std::chrono::milliseconds length);
  void ask();
  void accepted();
  void lost();
  bool heard(const std::string& object);  // empty: a newline between objects

  boost::asio::io_context& io_;
  AskTimes asks_;
  tcp::endpoint address_;
  ListNames names_;
  Revision revision_;
  Told told_;
  std::function<void()> current_;
  State state_ = State::kPause;
  StateTimer timer_;
  std::chrono::steady_clock::time_point asked_;
  bool late_first_ = false;  // the last answer began with nothing for longer than AskTimes::kAnswer
  bool whole_ = false;       // a list could not be read: what it told is asked for from the start
  int losses_ = 0;           // watches that were lost since a line was heard
  std::shared_ptr<Stream> stream_;
};

}  // namespace firspool::relay
