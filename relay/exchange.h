// One request and its answer on one connection.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "upstream.h"

namespace firspool::relay {

class Upstream::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Upstream& owner, Call call, bool probe);

  std::tuple<bool, uint64_t, int> name() const { return {probe_, call_.id, call_.attempt}; }

  void start();
  void cancel() { give_up(Outcome::kCancelled); }

  void orphan();

 private:
  static constexpr size_t kMostBody = 64 * 1024;

  void arm(Time at);

  // That too little time is left for a connect says nothing of the host.
  void overdue();

  // What was never wholly written cannot have run.
  void give_up(Outcome outcome);

  // An answer that cannot be read may have run, but a first line that says 200 is true.
  void unread(Outcome outcome);
  bool says_delivered() const;
  void write();
  std::string request_text() const;

  // Hands the kernel what it takes at once, so that what it has of the request is known at any moment: a
  // write that is in flight could be over, and the call run, before its handler says so. What the host says
  // or does before the last byte answers no call, and that byte is not sent then.
  void push();
  void read();

  // A 200 decides, also where the rest of the answer is lost; of another answer all must be there to count.
  void answered(bool whole);
  void finish(Outcome outcome);

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
  bool short_ = false;  // its time ends before a connect's would
  bool began_ = false;
  bool written_ = false;
  bool over_ = false;
  std::optional<Time> idle_for_;  // how long its connection had been idle; none: it is a fresh one
  bool idle_ = false;             // the connection may be used again
  bool final_ = false;
  Time wait_ = 0;
  std::vector<float> report_;
};

}  // namespace firspool::relay
