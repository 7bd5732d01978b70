// How a client's connection ends: in order, at once, or with its process.
#include "client_session.h"

namespace firspool::relay {
namespace {

// For the peer's end after ours. With the times of a request (client_session.cpp) it stays under what the end
// of the process leaves.
constexpr auto kLinger = std::chrono::milliseconds(500);
constexpr size_t kMostDropped = 1024 * 1024;  // bytes

}  // namespace

void Clients::Session::linger() {
  uncount();
  state_ = State::kLingering;
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  arm(kLinger);
  owner_->lingers(place);
  drop();
}

void Clients::Session::drop() {
  socket_.async_read_some(boost::asio::buffer(bytes_), [self = shared_from_this()](auto error, size_t count) {
    if (self->state_ != State::kLingering) return;
    self->dropped_ += count;
    if (error || self->dropped_ >= kMostDropped) return self->close();
    self->drop();
  });
}

void Clients::Session::close() {
  uncount();
  Clients& owner = *owner_;
  const auto where = place;
  const bool lingered = lingering();
  end();
  owner.forget(where, lingered);
}

void Clients::Session::end() {
  state_ = State::kClosed;
  owner_ = nullptr;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Clients::Session::orphan() {
  boost::system::error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  socket_.non_blocking(true, error);
  for (size_t count = 0; !error && count < kMostDropped;) {
    count += read_now(error);
  }
  end();
}

}  // namespace firspool::relay
