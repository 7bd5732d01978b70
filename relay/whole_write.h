// Writes all of a buffer to a stream socket, whatever part of it the system takes at a time.
//
// Asio's own async_write takes a short write for a full socket and waits for the next edge of its
// readiness. Where the system took less than it had room for, that edge never comes. Here each wait asks
// anew whether the socket can be written to.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <memory>
#include <utility>

#include "own_want.h"

namespace firspool::relay {

// What the system takes at once, over interruptions: bytes. The socket does not block from now on.
template <typename Socket>
size_t write_now(Socket& socket, boost::asio::const_buffer bytes, boost::system::error_code& error) {
  error = {};
  if (!socket.non_blocking()) socket.non_blocking(true, error);
  if (error && error != boost::asio::error::interrupted) return 0;
  size_t written = 0;
  do {
    written = socket.write_some(bytes, error);
  } while (error == boost::asio::error::interrupted);
  return written;
}

// One write under way. Done: void(error, bytes that the system has).
template <typename Socket, typename Done>
class WholeWrite : public std::enable_shared_from_this<WholeWrite<Socket, Done>> {
 public:
  WholeWrite(Socket& socket, boost::asio::const_buffer bytes, Done done)
      : socket_(socket), bytes_(bytes), done_(std::move(done)) {}

  void proceed() {
    boost::system::error_code error;
    while (written_ < bytes_.size() && !error) written_ += write_now(socket_, bytes_ + written_, error);
    if (written_ == bytes_.size()) return finish({});
    if (error == boost::asio::error::would_block) return wait();
    if (is_own_want(error)) return after_own_want(socket_.get_executor(), again());
    finish(error);
  }

 private:
  void wait() {
    socket_.async_wait(Socket::wait_write,
                       [self = this->shared_from_this()](const boost::system::error_code& error) {
                         if (error) return self->done_(error, self->written_);
                         self->proceed();
                       });
  }

  auto again() {
    return [self = this->shared_from_this()] { self->proceed(); };
  }

  // Never from within the call that began it.
  void finish(const boost::system::error_code& error) {
    boost::asio::post(socket_.get_executor(),
                      [self = this->shared_from_this(), error] { self->done_(error, self->written_); });
  }

  Socket& socket_;
  boost::asio::const_buffer bytes_;
  Done done_;
  size_t written_ = 0;
};

// The socket and the bytes stay where they are until `done` was called; a socket that is closed meanwhile
// ends the write with an error. The socket does not block from now on.
template <typename Socket, typename Done>
void write_whole(Socket& socket, boost::asio::const_buffer bytes, Done done) {
  std::make_shared<WholeWrite<Socket, Done>>(socket, bytes, std::move(done))->proceed();
}

}  // namespace firspool::relay
