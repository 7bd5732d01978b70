// A subscriber's connection to a relay: one command, one reply, which may be a bulk string.
#pragma once

#include <boost/asio/read.hpp>

#include "resp.h"

namespace umberhoist::lab {

class FeedClient : public std::enable_shared_from_this<FeedClient> {
 public:
  struct Reply {
    char kind = 0;     // '+', '-' or '$'; 0: it ended, or took too long
    std::string text;  // the line, or the bulk string
  };
  using Done = std::function<void(const Reply&)>;

  explicit FeedClient(World& world) : socket_(world.io), timer_(world.io) {}

  void open(const tcp::endpoint& at, std::function<void(bool)> then) {
    socket_.async_connect(at, [self = shared_from_this(), then = std::move(then)](const Error& error) {
      Error ignored;
      if (!error) self->socket_.set_option(tcp::no_delay(true), ignored);
      then(!error);
    });
  }

  // One at a time.
  void ask(const std::vector<std::string>& words, double within, Done done) {
    done_ = std::move(done);
    out_ = resp(words);
    timer_.expires_after(std::chrono::milliseconds(static_cast<int>(within * 1000)));
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->end({});
    });
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this()](const Error& error, size_t) {
                               if (error) self->end({});
                             });
    line([self = shared_from_this()](const std::string& text) {
      if (text.empty()) return self->end({});
      if (text.front() != '$') return self->end({text.front(), text.substr(1)});
      self->bulk(static_cast<size_t>(std::max(0L, std::atol(text.c_str() + 1))));
    });
  }

  void close() {
    Error ignored;
    timer_.cancel();
    socket_.close(ignored);
  }
  bool open() const { return socket_.is_open(); }
  bool busy() const { return static_cast<bool>(done_); }  // a reply is on its way

 private:
  using Error = boost::system::error_code;
  static constexpr size_t kMost = 8 << 20;

  void line(std::function<void(const std::string&)> then) {
    boost::asio::async_read_until(
        socket_, boost::asio::dynamic_buffer(in_, kMost), '\n',
        [self = shared_from_this(), then = std::move(then)](const Error& error, size_t count) {
          if (error) return then("");
          const std::string text = self->in_.substr(0, count);
          self->in_.erase(0, count);
          then(text.substr(0, text.find_first_of("\r\n")));
        });
  }

  void bulk(size_t size) {
    const size_t whole = size + 2;
    const auto take = [self = shared_from_this(), size, whole] {
      const std::string text = self->in_.substr(0, size);
      self->in_.erase(0, whole);
      self->end({'$', text});
    };
    if (whole > kMost) return end({});
    if (in_.size() >= whole) return take();
    boost::asio::async_read(socket_, boost::asio::dynamic_buffer(in_, kMost),
                            boost::asio::transfer_at_least(whole - in_.size()),
                            [self = shared_from_this(), take](const Error& error, size_t) {
                              if (error) return self->end({});
                              take();
                            });
  }

  void end(const Reply& reply) {
    if (!done_) return;
    timer_.cancel();
    if (reply.kind == 0) close();
    std::exchange(done_, nullptr)(reply);
  }

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string in_;
  std::string out_;
  Done done_;
};

}  // namespace umberhoist::lab
