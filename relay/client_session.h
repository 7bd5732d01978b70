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
  Session(Clients& owner, tcp::socket socket);

  std::list<std::shared_ptr<Session>>::iterator place;

  // Waits for a request: the first, or the next one after an answer.
  void begin();
  // Looks at what is read so far: handles a whole request, or reads on.
  void proceed();

  // Bytes that push_out() would free.
  size_t buffered() const { return reading_ && !pushed_out_ ? counted_ : 0; }
  // Ends the read, which then answers.
  void push_out();
  // Wakes a pending read, which then decides: bytes that came in the meantime are a request to be served.
  void finish();
  // The owner is gone.
  void orphan();

 private:
  void arm(std::chrono::milliseconds time);
  void overdue();
  void read(const boost::system::error_code& error, size_t count, bool waited);
  // The bytes of its request that is not whole, in the whole of them.
  void count();
  // A request crossed the decision to close: it is read and served before.
  void proceed_once();
  // The parser holds no whole request when it is fed: the last byte of each that it finds came with this
  // read.
  void feed(size_t count, bool waited);
  void handle(const std::vector<std::string>& words);
  void answer_last(std::string line);
  void answer(std::string line);
  void close();

  Clients* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  RespParser parser_;
  std::array<char, 16 * 1024> bytes_;
  std::string out_;
  Time drained_;  // when the socket held nothing more to read
  Time read_at_ = 0;
  bool reading_ = false;
  bool writing_ = false;
  bool grace_ = false;  // the connection's time is up, but for the rest of a request that is under way
  bool late_ = false;   // and that did not come
  bool pushed_out_ = false;
  size_t counted_ = 0;  // bytes that the owner counts of it
  bool last_ = false;
};

}  // namespace firspool::relay
