#include "exchange.h"

#include <cctype>
#include <cmath>

#include "answer_fields.h"
#include "peer_state.h"
#include "whole_write.h"

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr Time kSecond = 1'000'000;
constexpr Time kRestOfAnswer = kSecond / 4;  // after its head, which has decided

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

Upstream::Exchange::Exchange(Upstream& owner, Call call, bool probe)
    : owner_(&owner), call_(std::move(call)), probe_(probe), socket_(owner.io_), timer_(owner.io_) {}

void Upstream::Exchange::start() {
  begun_ = steady_now();
  deadline_ = probe_ ? begun_ + call_.timeout : call_.budget.cap(begun_ + call_.timeout);
  if (auto kept = owner_->pool_.acquire(call_.endpoint, call_.address)) {
    socket_ = std::move(kept->socket);
    idle_for_ = begun_ - kept->since;
    arm(deadline_);
    return write();
  }
  connect();
}

void Upstream::Exchange::connect() {
  const Time connected_by = std::min(begun_ + call_.timeout, begun_ + owner_->limits_.connect_timeout);
  short_ = !probe_ && call_.budget.cap(call_.start_by) < connected_by;
  arm(short_ ? call_.budget.cap(call_.start_by) : connected_by);
  open_connection();
}

void Upstream::Exchange::open_connection() {
  Error error;
  socket_.close(error);
  socket_.open(call_.address.protocol(), error);
  if (error) return broke(Break::kOwnWant);
  Error ignored;  // it is only slower without
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.async_connect(call_.address, [self = shared_from_this()](const Error& failed) {
    if (self->moment_ != Moment::kConnecting) return;
    if (failed == boost::asio::error::interrupted) return self->open_connection();
    if (failed) return self->broke(break_by(failed));
    Error unconnected;
    (void)self->socket_.remote_endpoint(unconnected);
    if (unconnected) return self->broke(Break::kOwnWant);  // no port: a connect that never began looks done
    self->arm(self->deadline_);
    self->write();
  });
}

void Upstream::Exchange::orphan() {
  moment_ = Moment::kOver;
  owner_ = nullptr;
  Error ignored;
  socket_.close(ignored);
  timer_.cancel();
}

// A handler that is queued while the time is set anew runs all the same, and finds it not yet due.
void Upstream::Exchange::arm(Time at) {
  timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
  timer_.async_wait([self = shared_from_this()](const Error& error) {
    const bool due = self->timer_.expiry() <= std::chrono::steady_clock::now();
    if (!error && due && self->moment_ != Moment::kOver) self->overdue();
  });
}

// That too little time is left for a connect says nothing of the host.
void Upstream::Exchange::overdue() {
  if (moment_ == Moment::kConnecting && short_) return finish(Outcome::kNotSent);
  broke(Break::kTimeout);
}

void Upstream::Exchange::broke(Break how) {
  const Outcome outcome = outcome_of(moment_, how, says_200());
  end_.final = outcome == Outcome::kOk;
  finish(outcome);
}

bool Upstream::Exchange::says_200() const {
  if (!parser_) return false;
  if (parser_->get().result_int() == 200) return true;
  const auto bytes = buffer_.data();
  std::string_view line(static_cast<const char*>(bytes.data()), bytes.size());
  if (!line.starts_with("HTTP/")) return false;
  line.remove_prefix(std::min(line.find(' '), line.size()));
  return line.starts_with(" 200") && line.size() > 4 &&
         std::isspace(static_cast<unsigned char>(line[4])) != 0;
}

void Upstream::Exchange::write() {
  // The connection took its time: what was told meanwhile counts.
  if (!probe_ && !owner_->may_start_(call_)) return finish(Outcome::kNotSent, Then::kKeep);
  moment_ = Moment::kWriting;
  request_ = request_text();
  std::string().swap(call_.body);
  push();
}

std::string Upstream::Exchange::request_text() const {
  std::string out = probe_ ? "GET /-/healthy HTTP/1.1\r\n" : "POST /events HTTP/1.1\r\n";
  out += "Host: " + call_.address.address().to_string() + "\r\n";
  if (probe_) return out + "\r\n";
  out += "X-Call-Id: " + call_.call_id + "\r\n";
  if (!call_.key.empty()) out += "Idempotency-Key: " + call_.key + "\r\n";
  out += "X-Budget: " + budget_text(deadline_ - steady_now()) + "\r\n";
  return out + "Content-Length: " + std::to_string(call_.body.size()) + "\r\n\r\n" + call_.body;
}

void Upstream::Exchange::push() {
  if (is_stale(socket_)) return broke(Break::kConnection);
  Error error;
  sent_ += write_now(socket_, boost::asio::buffer(request_) + sent_, error);
  if (error && error != boost::asio::error::would_block) return broke(break_by(error));
  if (sent_ == request_.size()) {
    moment_ = Moment::kAwaitingHead;
    std::string().swap(request_);
    if (!probe_) owner_->on_written_(call_);
    return read();
  }
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const Error& failed) {
    if (self->moment_ == Moment::kOver) return;
    if (failed) return self->broke(Break::kConnection);
    self->push();
  });
}

void Upstream::Exchange::read() {
  parser_.emplace();
  parser_->body_limit(kMostBody);
  parser_->get().result(0u);  // no status until one was read: a fresh response says 200
  const auto body_read = [self = shared_from_this()](const Error& error, size_t) {
    if (self->moment_ == Moment::kOver) return;
    if (error) return self->broke(Break::kConnection);
    const bool keep = self->parser_->keep_alive() && self->buffer_.size() == 0;
    self->answered(keep ? Then::kKeep : Then::kClose);
  };
  const auto head_read = [self = shared_from_this(), body_read](const Error& error, size_t) {
    if (self->moment_ == Moment::kOver) return;
    if (error) return self->broke(Break::kConnection);
    const unsigned status = self->parser_->get().result_int();
    if (status >= 100 && status < 200) return self->read();  // interim: the answer is yet to come
    self->moment_ = Moment::kReadingBody;
    self->end_.report =
        parse_report(view(self->parser_->get()["X-Load-Report"]), self->owner_->report_fields_);
    self->arm(std::min(self->deadline_, steady_now() + kRestOfAnswer));
    http::async_read(self->socket_, self->buffer_, *self->parser_, body_read);
  };
  http::async_read_header(socket_, buffer_, *parser_, head_read);
}

void Upstream::Exchange::answered(Then then) {
  const auto& answer = parser_->get();
  switch (answer.result_int()) {
    case 200:
      end_.final = true;
      return finish(Outcome::kOk, then);
    case 410:
      end_.final = true;
      return finish(Outcome::kNotForwarded, then);
    case 429:
      end_.retry_after = static_cast<Time>(std::ceil(decimal(view(answer[http::field::retry_after])) * 1e6));
      return finish(Outcome::kFull, then);
    case 503:
      return finish(view(answer["X-Egress-Full"]) == "1" ? Outcome::kNotForwarded : Outcome::kFull, then);
    case 504:
      return finish(Outcome::kNotForwarded, then);
    default:
      return finish(Outcome::kError, then);
  }
}

void Upstream::Exchange::finish(Outcome outcome, Then then) {
  const bool began = std::exchange(moment_, Moment::kOver) != Moment::kConnecting;
  timer_.cancel();
  const auto self = shared_from_this();
  owner_->exchanges_.erase(name());
  if (then == Then::kKeep) {
    owner_->pool_.release(call_.endpoint, std::move(socket_));
  } else {
    Error ignored;
    socket_.close(ignored);
  }
  // After silence the host's other idle connections are suspect: a call lost on one may have run, one that
  // finds no new connection has not.
  if (outcome == Outcome::kTimeout || outcome == Outcome::kReset || outcome == Outcome::kConnectFailed) {
    owner_->close_idle(call_.endpoint);
  }
  if (outcome == Outcome::kReset) owner_->count_broken(idle_for_);
  end_.took = steady_now() - begun_;
  if (probe_) {
    return owner_->probed_({call_.endpoint, outcome == Outcome::kOk, end_.took, std::move(end_.report)});
  }
  end_.id = call_.id;
  end_.attempt = call_.attempt;
  end_.endpoint = call_.endpoint;
  end_.outcome = outcome;
  owner_->ended_(end_, began);
}

}  // namespace firspool::relay
