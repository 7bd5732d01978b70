#include "partner.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>

namespace umberhoist::lab {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using Body = http::request_parser<http::string_body>;

constexpr double kHandshake = 0.03;  // the first request on a new connection takes so much longer
constexpr double kBurst = 0.5;       // seconds of the limit that may be saved up

}  // namespace

// One machine: a listener, its cores and the queue behind them.
class Partner::Endpoint : public std::enable_shared_from_this<Endpoint> {
 public:
  Endpoint(Partner& owner, std::string id);
  ~Endpoint() { close_all(); }

  void open();                                                     // accepts
  void shut(bool silent);                                          // down: refuses; silent: nothing comes up
  void close_all(bool reset = true);                               // connections
  bool run(const std::shared_ptr<Session>& session, double time);  // false: cores and queue are full
  void done();
  int cores() const { return std::max(1, static_cast<int>(std::round(cores_ * owner_.capacity()))); }

  std::string id;
  std::string phase = "active";
  tcp::endpoint address;

 private:
  friend class Session;
  void accept();

  Partner& owner_;
  int cores_;
  int running_ = 0;
  std::deque<std::pair<std::shared_ptr<Session>, double>> queue_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  std::vector<tcp::socket> fillers_;  // keep the accept queue full while silent
  std::set<std::shared_ptr<Session>> sessions_;
};

class Partner::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Endpoint& endpoint, tcp::socket socket, bool over)
      : endpoint_(&endpoint), world_(endpoint.owner_.world_), socket_(std::move(socket)), over_(over) {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void next() {
    parser_.emplace();
    parser_->body_limit(64 * 1024);
    first_ = -1;
    if (buffer_.size() > 0) return read();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const Error& error) {
      if (error || self->endpoint_ == nullptr || self->endpoint_->owner_.state_ == State::kSilent) return;
      self->read();
    });
  }

  // Its time in a core is over.
  void ran() {
    if (endpoint_ == nullptr || id_.empty()) return;  // the relay gave it up meanwhile
    Partner& owner = endpoint_->owner_;
    if (owner.state_ == State::kSilent || owner.state_ == State::kHung) return;
    if (owner.state_ == State::kLossy && world_.unit() < owner.factor_) return close(true);
    const bool error = owner.state_ == State::kErrors && world_.unit() < owner.factor_;
    answer(error ? "500 Internal Server Error" : "200 OK", owner.report(),
           error ? Oracles::Ran::kMaybe : Oracles::Ran::kDelivered, 0);
  }

  void close(bool reset) {
    over_call();
    Error ignored;
    if (reset && socket_.is_open()) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    if (Endpoint* endpoint = std::exchange(endpoint_, nullptr)) endpoint->sessions_.erase(shared_from_this());
  }

 private:
  friend class Endpoint;

  void read() {
    if (first_ < 0) first_ = world_.now();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->endpoint_ == nullptr) return;
      if (error) return self->close(false);
      self->came();
    });
  }

  void came() {
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
  void watch() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), id = id_](const Error& error) {
      if (error || self->endpoint_ == nullptr || self->id_ != id) return;
      char byte;
      Error peek;
      self->socket_.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, peek);
      if (peek) self->close(false);
    });
  }

  void answer(const std::string& status, const std::string& headers, Oracles::Ran ran, double told) {
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
    if (ran == Oracles::Ran::kDelivered) world_.delivered(id);
    boost::asio::post(world_.io, [self = shared_from_this()] {
      if (self->endpoint_ != nullptr) self->next();
    });
  }

  void over_call() {
    if (const std::string id = std::exchange(id_, ""); !id.empty())
      world_.oracles.call_over(world_.now(), id);
  }

  Endpoint* endpoint_;
  World& world_;
  tcp::socket socket_;
  bool over_;  // more connections than the endpoint holds
  bool fresh_ = true;
  boost::beast::flat_buffer buffer_;
  std::optional<Body> parser_;
  double first_ = -1;
  std::string id_;  // of the call that is out
  std::string out_;
};

Partner::Endpoint::Endpoint(Partner& owner, std::string name) : id(std::move(name)), owner_(owner) {
  const PlannedPartner& p = owner.spec_;
  cores_ = std::max(2, static_cast<int>(std::ceil(p.limit * p.pace * 1.6 / p.endpoints)));
  open();
}

void Partner::Endpoint::open() {
  fillers_.clear();
  if (!acceptor_) {
    acceptor_ = std::make_unique<tcp::acceptor>(owner_.world_.io);
    acceptor_->open(tcp::v4());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    acceptor_->bind(address.port() == 0 ? loopback() : address);
    address = acceptor_->local_endpoint();
  }
  acceptor_->listen(512);
  accept();
}

void Partner::Endpoint::accept() {
  acceptor_->async_accept([this](const Error& error, tcp::socket socket) {
    // Shut while this one was on its way: it goes unanswered.
    if (error == boost::asio::error::operation_aborted || !acceptor_) return;
    if (!error) {
      owner_.world_.figures.connected(owner_.world_.now(), owner_.number_);
      const bool over = static_cast<int>(sessions_.size()) >= owner_.world_.scenario.partners.connections;
      auto session = std::make_shared<Session>(*this, std::move(socket), over);
      sessions_.insert(session);
      session->next();
    }
    accept();
  });
}

void Partner::Endpoint::shut(bool silent) {
  if (!acceptor_) return;
  Error ignored;
  acceptor_->cancel(ignored);
  if (!silent) return acceptor_.reset();
  // A full accept queue of the shortest length: what comes now is dropped, as by a machine that has vanished.
  acceptor_->listen(0, ignored);
  for (int i = 0; i < 3; ++i) {
    tcp::socket filler(owner_.world_.io, tcp::v4());
    filler.non_blocking(true, ignored);
    // Not Asio's own, which waits for what never comes.
    ::connect(filler.native_handle(), address.data(), static_cast<socklen_t>(address.size()));
    fillers_.push_back(std::move(filler));
  }
}

void Partner::Endpoint::close_all(bool reset) {
  queue_.clear();
  for (const auto& session : std::set<std::shared_ptr<Session>>(sessions_)) session->close(reset);
}

bool Partner::Endpoint::run(const std::shared_ptr<Session>& session, double time) {
  if (running_ >= cores()) {
    if (static_cast<double>(queue_.size()) >= owner_.world_.scenario.partners.queue * cores()) return false;
    queue_.emplace_back(session, time);
    return true;
  }
  ++running_;
  // A call that was given up runs on, so the core is not the session's to free.
  owner_.world_.after(time, [self = weak_from_this(), session] {
    if (const auto endpoint = self.lock()) endpoint->done();
    session->ran();
  });
  return true;
}

// A core is free. The queue is gone through as it stands, with what was given up.
void Partner::Endpoint::done() {
  --running_;
  if (queue_.empty() || running_ >= cores()) return;
  const auto [session, time] = queue_.front();
  queue_.pop_front();
  run(session, time);
}

Partner::Partner(World& world, int number)
    : world_(world),
      number_(number),
      spec_(world.plan.partners.at(static_cast<size_t>(number))),
      tokens_(std::max(1.0, spec_.limit * kBurst)) {
  for (int i = 0; i < spec_.endpoints; ++i) {
    endpoints_.push_back(
        std::make_shared<Endpoint>(*this, "s-" + std::to_string(number) + "-" + std::to_string(made_++)));
  }
}

Partner::~Partner() = default;

std::vector<Partner::Listed> Partner::listed() const {
  std::vector<Listed> out;
  for (const auto& e : endpoints_) out.push_back({e->id, text_of(e->address), e->phase});
  return out;
}

void Partner::refill() {
  const double now = world_.now();
  const double most = std::max(1.0, limit_now() * kBurst);
  tokens_ = std::min(most, tokens_ + (now - refilled_) * limit_now());
  refilled_ = now;
  if (reported_at_ >= 0 && now - reported_at_ < world_.scenario.partners.report_s) return;
  reported_at_ = now;
  reported_left_ = std::clamp(tokens_ / most, 0.0, 1.0);
  reported_limit_ = limit_now();
}

std::string Partner::report() {
  refill();
  char text[64];
  std::snprintf(text, sizeof text, "X-Load-Report: x0=%.3f,x1=%.2f\r\n", reported_left_, reported_limit_);
  return text;
}

std::string Partner::refusal(double& told) {
  refill();
  const PartnerSpec& all = world_.scenario.partners;
  if (state_ == State::kShut) {
    if (world_.unit() < all.told_share) told = std::max(0.05, open_at_ - world_.now());
  } else if (tokens_ >= 1) {
    tokens_ -= 1;
    return "";
  } else {
    tokens_ = std::max(tokens_ - 0.3, -limit_now() * kBurst);  // a refused call uses the limit up too
    if (world_.unit() < all.told_share)
      told = std::max(all.wait_s.draw(world_.chance), (1 - tokens_) / limit_now());
  }
  return told > 0 ? "429 Too Many Requests" : "503 Service Unavailable";
}

double Partner::capacity() const {
  if (warm_from_ < 0) return 1;
  const PartnerSpec& all = world_.scenario.partners;
  const double warm = all.cold_s > 0 ? (world_.now() - warm_from_) / all.cold_s : 1;
  return std::clamp(all.start_capacity + (1 - all.start_capacity) * warm, 0.0, 1.0);
}

// Every call that reaches a cold partner weighs, refused ones too.
void Partner::arrived(int relay) {
  if (warm_from_ < 0 || fallen_) return;
  const PartnerSpec& all = world_.scenario.partners;
  const double now = world_.now();
  if (now - warm_from_ > all.cold_s) {
    warm_from_ = -1;
    arrivals_.clear();
    return;
  }
  arrivals_.emplace_back(now, relay);
  while (arrivals_.front().first < now - all.fall_s) arrivals_.pop_front();
  if (now - warm_from_ < all.fall_s) return;
  double cores = 0;
  for (const auto& e : endpoints_) cores += e->cores();  // as many as it has now: cold ones are fewer
  if (static_cast<double>(arrivals_.size()) > all.fall_multiple * all.fall_s * cores / spec_.pace + 1) fall();
}

void Partner::fall() {
  fallen_ = true;
  std::map<int, int> by_relay;
  for (const auto& [at, relay] : arrivals_) ++by_relay[relay];
  world_.oracles.pushed_over(world_.now(), number_, by_relay);
  world_.figures.fell(world_.now(), number_);
  for (const auto& e : endpoints_) {
    e->shut(false);
    e->close_all();
  }
}

void Partner::trouble(const std::string& state, double factor, double lasts) {
  static const std::map<std::string, State> states = {
      {"down", State::kDown},   {"silent", State::kSilent}, {"hung", State::kHung}, {"slow", State::kSlow},
      {"lossy", State::kLossy}, {"errors", State::kErrors}, {"shut", State::kShut}};
  if (state_ != State::kUp || fallen_) return;  // one trouble at a time
  state_ = states.at(state);
  factor_ = factor;
  open_at_ = world_.now() + lasts;
  warm_from_ = -1;
  if (outage(state_)) {
    world_.oracles.outage_began(world_.now(), number_);
    world_.figures.outage(world_.now(), number_, lasts);
  }
  for (const auto& e : endpoints_) {
    if (state_ == State::kDown) {
      e->shut(false);
      e->close_all();
    } else if (state_ == State::kSilent) {
      e->shut(true);
    }
  }
  world_.after(lasts, [this] { recover(); });
}

void Partner::recover() {
  const State was = std::exchange(state_, State::kUp);
  factor_ = 1;
  if (!outage(was)) return;
  world_.oracles.outage_ended(world_.now(), number_);
  if (was != State::kShut) warm_from_ = world_.now();
  arrivals_.clear();
  world_.oracles.came_back(number_);
  for (const auto& e : endpoints_) {
    if (was == State::kSilent || was == State::kHung)
      e->close_all();  // what was open is reset once it is back
    if (was == State::kDown || was == State::kSilent) e->open();
  }
}

std::string Partner::replace_one() {
  for (const auto& e : endpoints_) {
    if (e->phase != "active") continue;
    e->phase = "leaving";
    ++changes_;
    const std::string old = e->id;
    endpoints_.push_back(
        std::make_shared<Endpoint>(*this, "s-" + std::to_string(number_) + "-" + std::to_string(made_++)));
    if (state_ == State::kDown || fallen_) endpoints_.back()->shut(false);
    return old;
  }
  return "";
}

// Machines that were leaving are gone: their connections end, and their address refuses.
void Partner::remove_left() {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    if ((*it)->phase != "leaving") {
      ++it;
      continue;
    }
    (*it)->shut(false);
    (*it)->close_all(false);
    ++changes_;
    it = endpoints_.erase(it);
  }
}

}  // namespace umberhoist::lab
