#include "client_session.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

#include "own_want.h"
#include "peer_state.h"
#include "whole_write.h"

namespace firspool::relay {
namespace {

// A connection with no open request may be closed after 2 s, and a peer that has not made one is owed an
// error line or a close within 3 s of connecting. Without this, quiet peers fill all places in the end.
constexpr auto kQuiet = std::chrono::milliseconds(2000);
constexpr auto kRestOfRequest = std::chrono::milliseconds(500);  // for one that is under way by then
// At the planned end, for the first request on a connection, from its accept on: a client opens one in order
// to send.
constexpr Time kFirstRequest = 300'000;
// While others wait for places: a client connects in order to send, and waits 400 ms for its answer. What
// keeps silent for so long is none, or has given up; and one that waits is still served in time.
constexpr Time kFirstByte = 100'000;
constexpr Time kNextPart = 200'000;

std::string upper(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::toupper(c); });
  return text;
}

}  // namespace

Clients::Session::Session(Clients& owner, tcp::socket socket, Time arrived)
    : owner_(&owner),
      socket_(std::move(socket)),
      timer_(owner.io_),
      opened_(steady_now()),
      drained_(arrived) {}

void Clients::Session::begin() {
  state_ = State::kReading;
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
  if (owner_->reading_over_) return linger();
  if (evicted_) return answer_last(owner_->busy_());
  if (patience_ == Patience::kOver) return answer_last("-ERR protocol error: request is not complete");
  // What is there already came at some time since the last read.
  boost::system::error_code failed;
  const bool waited = socket_.available(failed) > 0 && !failed;
  socket_.async_read_some(
      boost::asio::buffer(bytes_),
      [self = shared_from_this(), waited](auto error, size_t count) { self->read(error, count, waited); });
  if (owner_->finishing_) finish();
  owner_->evict_largest();
}

void Clients::Session::evict() {
  if (buffered() == 0) return;
  evicted_ = true;
  uncount();
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

bool Clients::Session::may_yield(Time now) const {
  if (state_ != State::kReading || yielding_ || evicted_) return false;
  if (parser_.empty()) return fresh_ && now - opened_ >= kFirstByte;
  return now - part_since_ >= kNextPart;
}

void Clients::Session::yield() {
  yielding_ = true;
  ++(parser_.empty() ? owner_->given_up_.quiet : owner_->given_up_.part);
  if (!parser_.empty()) return evict();
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void Clients::Session::finish() {
  if (state_ != State::kReading || !parser_.empty()) return;
  const Time rest = opened_ + kFirstRequest - steady_now();
  if (fresh_ && rest > 0) return arm(std::chrono::microseconds(rest));
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

void Clients::Session::end_reading() {
  boost::system::error_code ignored;
  if (state_ == State::kReading) socket_.cancel(ignored);
}

void Clients::Session::arm(std::chrono::microseconds time) {
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    const bool due = self->timer_.expiry() <= boost::asio::steady_timer::clock_type::now();
    if (!error && due) self->overdue();
  });
}

void Clients::Session::overdue() {
  switch (state_) {
    case State::kReading: {
      const bool over = patience_ == Patience::kRest;
      patience_ = over ? Patience::kOver : Patience::kRest;
      if (!over) arm(kRestOfRequest);
      boost::system::error_code ignored;
      if (over || parser_.empty()) socket_.cancel(ignored);  // wakes the read, which decides
      return;
    }
    case State::kWriting:    // the peer does not read its answer
    case State::kLingering:  // nor ends
      return close();
    case State::kDeciding:
    case State::kClosed:
      return;
  }
}

void Clients::Session::read(const boost::system::error_code& error, size_t count, bool waited) {
  if (state_ != State::kReading) return;
  if (count > 0) {
    feed(count, waited);
    return proceed();
  }
  boost::system::error_code failed;
  const bool woken = error == boost::asio::error::operation_aborted;
  if (woken && owner_->reading_over_) return linger();
  if (woken && socket_.available(failed) > 0 && !failed) return proceed_once();
  if (patience_ == Patience::kOver || evicted_) return proceed();
  if (woken) return linger();
  if (is_own_want(error)) {
    return after_own_want(socket_.get_executor(), [self = shared_from_this()] {
      if (self->state_ == State::kReading) self->proceed();
    });
  }
  close();  // the peer ended, and nothing of it is unread
}

void Clients::Session::count() {
  if (evicted_) return;
  owner_->buffered_ += parser_.size() - counted_;
  counted_ = parser_.size();
}

void Clients::Session::uncount() { owner_->buffered_ -= std::exchange(counted_, 0); }

void Clients::Session::proceed_once() {
  boost::system::error_code error;
  const size_t count = read_now(error);
  if (count == 0) return close();
  feed(count, false);
  proceed();
}

size_t Clients::Session::read_now(boost::system::error_code& error) {
  size_t count = 0;
  do {
    count = socket_.read_some(boost::asio::buffer(bytes_), error);
  } while (error == boost::asio::error::interrupted);
  return count;
}

void Clients::Session::feed(size_t count, bool waited) {
  const Time now = steady_now();
  read_at_ = waited ? drained_ : now;
  if (count < bytes_.size()) drained_ = now;
  if (parser_.empty()) part_since_ = now;
  parser_.feed({bytes_.data(), count});
}

void Clients::Session::handle(const std::vector<std::string>& words) {
  state_ = State::kDeciding;
  timer_.cancel();
  fresh_ = evicted_ = yielding_ = false;
  patience_ = Patience::kQuiet;
  const std::string command = upper(words[0]);
  if (command == "PING" && words.size() <= 2) {
    if (words.size() == 1) return answer("+PONG");
    return answer("$" + std::to_string(words[1].size()) + "\r\n" + words[1]);
  }
  if (has_gone(socket_)) {
    ++owner_->given_up_.gone;
    return answer_last(owner_->busy_());
  }
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
  if (state_ == State::kClosed) return;  // the owner is gone
  state_ = State::kWriting;
  arm(kQuiet);
  out_ = std::move(line) + "\r\n";
  write_whole(socket_, boost::asio::buffer(out_),
              [self = shared_from_this()](const boost::system::error_code& error, size_t) {
                if (self->state_ != State::kWriting) return;
                if (error) return self->close();
                if (self->last_) return self->linger();
                self->begin();
              });
}

}  // namespace firspool::relay
