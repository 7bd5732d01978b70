#include "partner_session.h"

#include <xxhash.h>

#include <boost/asio/write.hpp>
#include <cstdio>

namespace umberhoist::lab {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr double kHandshake = 0.03;  // the first request on a new connection takes so much longer

}  // namespace

Partner::Session::Session(Endpoint& endpoint, tcp::socket socket, bool over)
    : endpoint_(&endpoint), world_(endpoint.owner_.world_), socket_(std::move(socket)), over_(over) {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void Partner::Session::next() {
  parser_.emplace();
  parser_->body_limit(64 * 1024);
  first_ = -1;
  if (buffer_.size() > 0) return read();
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const Error& error) {
    if (error || self->endpoint_ == nullptr || self->endpoint_->owner_.state_ == State::kSilent) return;
    self->read();
  });
}

void Partner::Session::ran() {
  if (endpoint_ == nullptr || id_.empty()) return;  // the relay gave it up meanwhile
  Partner& owner = endpoint_->owner_;
  if (owner.state_ == State::kSilent || owner.state_ == State::kHung) return;
  if (owner.state_ == State::kLossy && world_.unit() < owner.factor_) return close(true);
  const bool error = owner.state_ == State::kErrors && world_.unit() < owner.factor_;
  answer(error ? "500 Internal Server Error" : "200 OK", owner.report(),
         error ? Oracles::Ran::kMaybe : Oracles::Ran::kDelivered, 0);
}

void Partner::Session::close(bool reset) {
  over_call();
  Error ignored;
  if (reset && socket_.is_open()) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  if (Endpoint* endpoint = std::exchange(endpoint_, nullptr)) endpoint->sessions_.erase(shared_from_this());
}

void Partner::Session::read() {
  if (first_ < 0) first_ = world_.now();
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
    if (self->endpoint_ == nullptr) return;
    if (error) return self->close(false);
    self->came();
  });
}

void Partner::Session::came() {
  const auto& request = parser_->get();
  const double now = world_.now();
  Partner& owner = endpoint_->owner_;
  if (owner.state_ == State::kSilent) return;
  const std::string id(request["X-Call-Id"]);
  const std::string& body = request.body();
  const HandIn* hand =
      world_.oracles.call(now, first_, id, endpoint_->id, owner.number_,
                          std::string(request["Idempotency-Key"]), XXH64(body.data(), body.size(), 0));
  if (hand == nullptr || request.method() != http::verb::post || request.target() != "/events") {
    return answer("400 Bad Request", "", Oracles::Ran::kNever, 0);
  }
  id_ = id;
  world_.parts.call(first_, now, id, hand->relay, owner.number_, endpoint_->zone, owner.kind());
  world_.figures.call(now, owner.number_, hand->relay, outage(owner.state_) || owner.fallen_);
  watch();
  owner.arrived(hand->relay);
  if (endpoint_ == nullptr) return;  // it fell over
  if (over_) return answer("503 Service Unavailable", owner.report(), Oracles::Ran::kNever, 0);
  if (owner.state_ == State::kHung) return;
  double told = 0;
  if (const std::string refusal = owner.refusal(told); !refusal.empty()) {
    world_.figures.refused_call(now, owner.number_);
    return answer(refusal, owner.report(), Oracles::Ran::kNever, told);
  }
  const double sigma = world_.scenario.partners.pace_sigma;
  double time = owner.spec_.pace * std::lognormal_distribution<double>(0, sigma)(world_.chance);
  if (owner.state_ == State::kSlow) time *= owner.factor_;
  if (fresh_) time += kHandshake;
  fresh_ = false;
  if (!endpoint_->run(shared_from_this(), time)) {
    answer("503 Service Unavailable", owner.report(), Oracles::Ran::kNever, 0);
  }
}

// The relay may give the call up: it closes, or ends its sending.
void Partner::Session::watch() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), id = id_](const Error& error) {
    if (error || self->endpoint_ == nullptr || self->id_ != id) return;
    char byte;
    Error peek;
    self->socket_.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, peek);
    if (peek) self->close(false);
  });
}

void Partner::Session::answer(const std::string& status, const std::string& headers, Oracles::Ran ran,
                              double told) {
  out_ = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + headers;
  if (told > 0) {
    char text[48];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", told);
    out_ += text;
  }
  out_ += "\r\n";
  const std::string id = std::exchange(id_, "");
  Error error;
  socket_.cancel(error);                                          // the watch for its end
  boost::asio::write(socket_, boost::asio::buffer(out_), error);  // short: the kernel takes it whole
  if (error) {
    id_ = id;
    return close(false);
  }
  if (!id.empty()) world_.oracles.call_answered(world_.now(), id, ran, told);
  if (ran == Oracles::Ran::kDelivered) {
    world_.parts.delivered(world_.now(), id);
    world_.delivered(id);
  }
  boost::asio::post(world_.io, [self = shared_from_this()] {
    if (self->endpoint_ != nullptr) self->next();
  });
}

void Partner::Session::over_call() {
  if (const std::string id = std::exchange(id_, ""); !id.empty()) world_.oracles.call_over(world_.now(), id);
}

}  // namespace umberhoist::lab
