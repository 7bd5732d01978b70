#include "client_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cctype>
#include <stdexcept>

namespace firspool::relay {
namespace {

// A connection with no open request may be closed after 2 s, and a peer that has not made one is owed an
// error line or a close within 3 s of connecting. Without this, quiet peers fill all places in the end.
constexpr auto kQuiet = std::chrono::milliseconds(2000);
constexpr auto kRestOfRequest = std::chrono::milliseconds(500);  // for one that is under way by then

std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
  return text;
}

}  // namespace

Clients::Session::Session(Clients& owner, tcp::socket socket)
    : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_), drained_(steady_now()) {}

void Clients::Session::begin() {
  arm(kQuiet);
  proceed();
}

void Clients::Session::proceed() {
  std::optional<std::vector<std::string>> words;
  try {
    words = parser_.next();
  } catch (const RespError& error) {
    return answer_last("-ERR protocol error: " + std::string(error.what()));
  }
  count();
  if (words) return handle(*words);
  if (owner_ == nullptr) return;
  if (pushed_out_) return answer_last(owner_->busy_());
  if (late_) return answer_last("-ERR protocol error: request is not complete");
  reading_ = true;
  // What is there already came at some time since the last read.
  boost::system::error_code failed;
  const bool waited = socket_.available(failed) > 0 && !failed;
  socket_.async_read_some(
      boost::asio::buffer(bytes_),
      [self = shared_from_this(), waited](auto error, size_t count) { self->read(error, count, waited); });
  if (owner_->finishing_) finish();
  owner_->make_room();
}

void Clients::Session::push_out() {
  if (buffered() == 0) return;
  pushed_out_ = true;
  owner_->buffered_ -= std::exchange(counted_, 0);
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void Clients::Session::finish() {
  boost::system::error_code ignored;
  if (reading_ && parser_.empty()) socket_.cancel(ignored);
}

void Clients::Session::orphan() {
  owner_ = nullptr;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void Clients::Session::arm(std::chrono::milliseconds time) {
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    const bool due = self->timer_.expiry() <= boost::asio::steady_timer::clock_type::now();
    if (!error && due && self->owner_ != nullptr) self->overdue();
  });
}

void Clients::Session::overdue() {
  if (writing_) return close();  // the peer does not read its answer
  if (!reading_) return;         // its request is being decided on
  late_ = grace_;
  if (!std::exchange(grace_, true)) arm(kRestOfRequest);
  boost::system::error_code ignored;
  if (late_ || parser_.empty()) socket_.cancel(ignored);  // wakes the read, which decides
}

void Clients::Session::read(const boost::system::error_code& error, size_t count, bool waited) {
  reading_ = false;
  if (owner_ == nullptr) return;
  if (count > 0) {
    feed(count, waited);
    return proceed();
  }
  boost::system::error_code failed;
  if (error == boost::asio::error::operation_aborted && socket_.available(failed) > 0 && !failed) {
    return proceed_once();
  }
  if (late_ || pushed_out_) return proceed();
  close();
}

void Clients::Session::count() {
  if (owner_ == nullptr || pushed_out_) return;
  owner_->buffered_ += parser_.size() - counted_;
  counted_ = parser_.size();
}

void Clients::Session::proceed_once() {
  boost::system::error_code error;
  const size_t count = socket_.read_some(boost::asio::buffer(bytes_), error);
  if (count == 0) return close();
  feed(count, false);
  proceed();
}

void Clients::Session::feed(size_t count, bool waited) {
  const Time now = steady_now();
  read_at_ = waited ? drained_ : now;
  if (count < bytes_.size()) drained_ = now;
  parser_.feed({bytes_.data(), count});
}

void Clients::Session::handle(const std::vector<std::string>& words) {
  timer_.cancel();
  grace_ = late_ = false;
  const std::string command = upper(words[0]);
  if (command == "PING" && words.size() <= 2) {
    if (words.size() == 1) return answer("+PONG");
    return answer("$" + std::to_string(words[1].size()) + "\r\n" + words[1]);
  }
  if (owner_ == nullptr) return;
  const auto known = owner_->commands_.find(command);
  if (known == owner_->commands_.end()) return answer("-ERR unknown command");
  try {
    known->second(words, read_at_,
                  [self = shared_from_this()](const std::string& line) { self->answer(line); });
  } catch (const std::invalid_argument& error) {
    answer(std::string("-ERR ") + error.what());
  }
}

void Clients::Session::answer_last(std::string line) {
  last_ = true;
  answer(std::move(line));
}

void Clients::Session::answer(std::string line) {
  arm(kQuiet);
  writing_ = true;
  out_ = std::move(line) + "\r\n";
  boost::asio::async_write(socket_, boost::asio::buffer(out_),
                           [self = shared_from_this()](auto error, size_t) {
                             self->writing_ = false;
                             if (self->owner_ == nullptr) return;
                             if (error || self->last_) return self->close();
                             self->begin();
                           });
}

void Clients::Session::close() {
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  socket_.close(ignored);
  if (owner_ == nullptr) return;
  owner_->buffered_ -= counted_;
  std::exchange(owner_, nullptr)->forget(place);
}

}  // namespace firspool::relay
