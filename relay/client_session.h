// One client: a request is read, answered, and only then the next one is looked at.
#pragma once

#include <array>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "clients.h"
#include "resp.h"

namespace firspool::relay {

class Clients::Session : public std::enable_shared_from_this<Session> {
 public:
  // `arrived`: the earliest time at which its first bytes may have come.
  Session(Clients& owner, tcp::socket socket, Time arrived);

  std::list<std::shared_ptr<Session>>::iterator place;

  // Waits for a request: the first, or the next one after an answer.
  void begin();

  // Bytes that evict() would free.
  size_t buffered() const { return state_ == State::kReading && !evicted_ ? counted_ : 0; }
  // For want of memory: ends the read, which then answers so.
  void evict();
  // Whether a client that waits for a place may have this one's: nothing ever came on it, or a part of a
  // request that does not go on. One that was answered keeps it while it rests.
  bool may_yield(Time now) const;
  void yield();
  // Wakes a pending read, which then decides: bytes that came in the meantime are a request to be served.
  void finish();
  // Wakes a pending read, which then ends the connection.
  void end_reading();
  bool lingering() const { return state_ == State::kLingering; }
  // Ends it at once, whatever its state: what it counted is given back, and the owner forgets it.
  void close();
  // The owner is gone: it ends at once, and what was answered is still handed over.
  void orphan();

 private:
  // What is owed in each: nothing while reading, the answer while deciding, the rest of it while writing, and
  // nothing but an orderly end while lingering.
  enum class State {
    kReading,    // waits for a request, or for the rest of one
    kDeciding,   // one is with its command; nothing more is read
    kWriting,    // its answer is on the way; nothing more is read
    kLingering,  // no more is sent; what still comes is read and dropped
    kClosed,
  };
  // How long a read may still take.
  enum class Patience {
    kQuiet,
    kRest,  // the connection's time is up, but for the rest of a request that is under way
    kOver,  // and that did not come
  };

  // Looks at what is read so far: handles a whole request, or reads on.
  void proceed();
  void arm(std::chrono::microseconds time);
  void overdue();
  void read(const boost::system::error_code& error, size_t count, bool waited);
  // The bytes of its request that is not whole, in the whole of them.
  void count();
  void uncount();
  // A request crossed the decision to close: it is read and served before.
  void proceed_once();
  // What the socket holds, over interruptions.
  size_t read_now(boost::system::error_code& error);
  // The parser holds no whole request when it is fed: the last byte of each that it finds came with this
  // read.
  void feed(size_t count, bool waited);
  void handle(const std::vector<std::string>& words);
  void answer_last(std::string line);
  void answer(std::string line);
  // A close over unread bytes would reset the connection, and an answer that the peer has not read would go
  // with it: the sending side ends first, and the socket is closed after the peer's end or a bound.
  void linger();
  void drop();
  void end();

  Clients* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  RespParser parser_;
  std::array<char, 16 * 1024> bytes_;
  std::string out_;
  Time opened_;
  Time drained_;  // when the socket held nothing more to read
  Time read_at_ = 0;
  State state_ = State::kReading;
  Patience patience_ = Patience::kQuiet;
  bool fresh_ = true;  // no request came on it
  bool evicted_ = false;
  bool yielding_ = false;
  Time part_since_ = 0;  // when the first bytes of a request that is not whole came
  size_t counted_ = 0;   // bytes that the owner counts of it
  size_t dropped_ = 0;   // bytes that came while lingering
  bool last_ = false;
};

}  // namespace firspool::relay
