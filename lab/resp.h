// A client's side of a relay: one request, one line, on a connection that may be kept.
#pragma once

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "world.h"

namespace umberhoist::lab {

inline std::string hex(uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

inline std::string resp(const std::vector<std::string>& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}

class RespConnection : public std::enable_shared_from_this<RespConnection> {
 public:
  using Done = std::function<void(const std::string& line, bool timed_out)>;  // empty line: it ended

  explicit RespConnection(World& world) : world_(world), socket_(world.io), timer_(world.io) {}

  void open(const tcp::endpoint& at, std::function<void(bool)> then) {
    socket_.async_connect(
        at, [self = shared_from_this(), then = std::move(then)](const boost::system::error_code& error) {
          boost::system::error_code ignored;
          if (!error) self->socket_.set_option(tcp::no_delay(true), ignored);
          then(!error);
        });
  }

  void ask(const std::string& request, Done done) {
    done_ = std::move(done);
    out_ = request;
    timer_.expires_after(std::chrono::milliseconds(static_cast<int>(kAnswerWithin * 1000)));
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
      if (!error) self->end("", true);
    });
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this()](const boost::system::error_code& error, size_t) {
                               if (error) self->end("", false);
                             });
    boost::asio::async_read_until(
        socket_, boost::asio::dynamic_buffer(in_, 512), '\n',
        [self = shared_from_this()](const boost::system::error_code& error, size_t count) {
          if (error) return self->end("", false);
          const std::string line = self->in_.substr(0, count);
          self->in_.erase(0, count);
          self->end(line.substr(0, line.find_first_of("\r\n")), false);
        });
  }

  void close() {
    boost::system::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }
  bool open() const { return socket_.is_open(); }

 private:
  static constexpr double kAnswerWithin = 0.4;  // seconds

  void end(const std::string& line, bool timed_out) {
    if (!done_) return;
    timer_.cancel();
    if (line.empty()) close();
    std::exchange(done_, nullptr)(line, timed_out);
  }

  World& world_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string in_;
  std::string out_;
  Done done_;
};

}  // namespace umberhoist::lab
