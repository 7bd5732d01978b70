// One request and its answer on one connection.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "call_moment.h"
#include "upstream.h"

namespace firspool::relay {

class Upstream::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Upstream& owner, Call call, bool probe);

  std::tuple<bool, uint64_t, int> name() const { return {probe_, call_.id, call_.attempt}; }

  void start();
  void cancel() { broke(Break::kCancelled); }
  void orphan();  // its owner goes: nobody is told

 private:
  static constexpr size_t kMostBody = 64 * 1024;
  enum class Then { kClose, kKeep };  // what becomes of the connection

  void connect();
  void open_connection();
  void write();
  std::string request_text() const;

  // Hands the kernel what it takes at once, so that what it has of the request is known at any moment: a
  // write that is in flight could be over, and the call run, before its handler says so. What the host says
  // or does before the last byte answers no call, and that byte is not sent then.
  void push();
  void read();

  void arm(Time at);
  void overdue();

  // It ends without a whole answer. A 200 decides, also where the rest of the answer is lost; of another
  // answer all must be there to count.
  void broke(Break how);
  bool says_200() const;
  void answered(Then then);  // whole

  // The one place that settles a call: its connection, its owner's count, and who is told.
  void finish(Outcome outcome, Then then = Then::kClose);

  Upstream* owner_;
  Call call_;
  bool probe_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string request_;
  size_t sent_ = 0;  // bytes of it that the kernel has
  boost::beast::flat_buffer buffer_{kMostBody};
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  Time begun_ = 0;
  Time deadline_ = 0;
  Moment moment_ = Moment::kConnecting;
  bool short_ = false;            // its time to connect is less than a host is owed
  std::optional<Time> idle_for_;  // how long its connection had been idle; none: it is a fresh one
  AttemptEnded end_;              // what is known of it so far
};

}  // namespace firspool::relay
