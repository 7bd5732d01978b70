#include "exchange.h"

#include <cctype>
#include <cmath>

#include "answer_fields.h"

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
  if (auto kept = owner_->pool_.take(call_.endpoint, call_.address)) {
    socket_ = std::move(kept->socket);
    idle_for_ = begun_ - kept->since;
    arm(deadline_);
    return write();
  }
  const Time connected_by = std::min(begun_ + call_.timeout, begun_ + owner_->limits_.connect_timeout);
  short_ = !probe_ && call_.budget.cap(call_.start_by) < connected_by;
  arm(short_ ? call_.budget.cap(call_.start_by) : connected_by);
  socket_.async_connect(call_.address, [self = shared_from_this()](const Error& error) {
    if (self->over_) return;
    if (error) return self->finish(Outcome::kConnectFailed);
    Error ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->arm(self->deadline_);
    self->write();
  });
}

void Upstream::Exchange::orphan() {
  over_ = true;
  owner_ = nullptr;
  Error ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void Upstream::Exchange::arm(Time at) {
  timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
  timer_.async_wait([self = shared_from_this()](const Error& error) {
    if (!error && !self->over_) self->overdue();
  });
}

void Upstream::Exchange::overdue() {
  if (short_ && !began_) return finish(Outcome::kMoot);
  give_up(Outcome::kTimeout);
}

void Upstream::Exchange::give_up(Outcome outcome) {
  if (over_) return;
  if (parser_ && parser_->is_header_done()) return answered(false);
  unread(written_ ? outcome : Outcome::kConnectFailed);
}

void Upstream::Exchange::unread(Outcome outcome) {
  if (!says_delivered()) return finish(outcome);
  final_ = true;
  finish(Outcome::kOk);
}

bool Upstream::Exchange::says_delivered() const {
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
  if (!probe_ && !owner_->may_start_(call_)) {
    idle_ = true;
    return finish(Outcome::kMoot);
  }
  began_ = true;
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
  if (!usable(socket_)) return finish(Outcome::kConnectFailed);
  Error error;
  socket_.non_blocking(true, error);
  if (!error) sent_ += socket_.write_some(boost::asio::buffer(request_) + sent_, error);
  if (error && error != boost::asio::error::would_block) return finish(Outcome::kConnectFailed);
  if (sent_ == request_.size()) {
    std::string().swap(request_);
    written_ = true;
    if (!probe_) owner_->on_written_(call_);
    return read();
  }
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const Error& failed) {
    if (self->over_) return;
    if (failed) return self->finish(Outcome::kConnectFailed);
    self->push();
  });
}

void Upstream::Exchange::read() {
  parser_.emplace();
  parser_->body_limit(kMostBody);
  parser_->get().result(0u);  // no status until one was read: a fresh response says 200
  http::async_read_header(
      socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
        if (self->over_) return;
        if (error) return self->unread(Outcome::kReset);
        self->arm(std::min(self->deadline_, steady_now() + kRestOfAnswer));
        http::async_read(self->socket_, self->buffer_, *self->parser_, [self](const Error& failed, size_t) {
          if (!self->over_) self->answered(!failed);
        });
      });
}

void Upstream::Exchange::answered(bool whole) {
  const auto& answer = parser_->get();
  idle_ = whole && parser_->keep_alive() && buffer_.size() == 0;
  report_ = parse_report(view(answer["X-Load-Report"]), owner_->report_fields_);
  if (!whole && answer.result_int() != 200) return finish(Outcome::kReset);
  switch (answer.result_int()) {
    case 200:
      final_ = true;
      return finish(Outcome::kOk);
    case 410:
      final_ = true;
      return finish(Outcome::kMoot);
    case 429:
      wait_ = static_cast<Time>(std::ceil(decimal(view(answer[http::field::retry_after])) * 1e6));
      return finish(Outcome::kFull);
    case 503:
      return finish(view(answer["X-Egress-Full"]) == "1" ? Outcome::kMoot : Outcome::kFull);
    case 504:
      return finish(Outcome::kMoot);
    default:
      return finish(Outcome::kError);
  }
}

void Upstream::Exchange::finish(Outcome outcome) {
  over_ = true;
  timer_.cancel();
  const auto self = shared_from_this();
  owner_->exchanges_.erase(name());
  if (idle_) {
    owner_->pool_.keep(call_.endpoint, std::move(socket_));
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
  const Time took = steady_now() - begun_;
  if (probe_) return owner_->probed_({call_.endpoint, outcome == Outcome::kOk, took, std::move(report_)});
  AttemptEnded out;
  out.id = call_.id;
  out.attempt = call_.attempt;
  out.endpoint = call_.endpoint;
  out.outcome = outcome;
  out.final = final_;
  out.took = took;
  out.wait = wait_;
  out.report = std::move(report_);
  owner_->ended_(out, began_);
}
}  // namespace firspool::relay
