#include "operator.h"

#include <boost/asio/read_until.hpp>

#include "listening.h"
#include "whole_write.h"

namespace firspool::relay {
namespace {

using tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr size_t kMostLine = 128;
constexpr size_t kMostPolicyLine = 1024;             // it names a file
constexpr auto kPatience = std::chrono::seconds(1);  // for a caller's line, and for it to take the reply
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

class Operator::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Operator& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  std::list<std::shared_ptr<Caller>>::iterator place;

  void begin() {
    timer_.expires_after(kPatience);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->close();
    });
    hear(kMostLine);
  }

  void close() {
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    if (owner_ != nullptr) std::exchange(owner_, nullptr)->callers_.erase(place);
  }

  void orphan() {
    owner_ = nullptr;
    close();
  }

 private:
  void hear(size_t most) {
    boost::asio::async_read_until(
        socket_, boost::asio::dynamic_buffer(in_, most), '\n',
        [self = shared_from_this()](const Error& error, size_t count) { self->read(error, count); });
  }

  void read(const Error& error, size_t count) {
    if (owner_ == nullptr) return;
    if (error == boost::asio::error::not_found && in_.size() == kMostLine && in_.starts_with("POLICY ")) {
      return hear(kMostPolicyLine);
    }
    if (error == boost::asio::error::not_found) return answer("ERR line is too long\n");
    if (error) return close();
    std::string call = in_.substr(0, count - 1);
    if (call.ends_with('\r')) call.pop_back();
    answer(owner_->reply_(call));
  }

  void answer(std::string reply) {
    out_ = std::move(reply);
    write_whole(socket_, boost::asio::buffer(out_),
                [self = shared_from_this()](const Error&, size_t) { self->close(); });
  }

  Operator* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string in_;
  std::string out_;
};

Operator::Operator(boost::asio::io_context& io, const tcp::endpoint& listen, Reply reply)
    : io_(io), acceptor_(listen_at(io, listen)), pause_(io), reply_(std::move(reply)) {
  accept();
}

Operator::~Operator() {
  for (const auto& caller : callers_) caller->orphan();
}

void Operator::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {  // out of descriptors, or the caller is gone again: an accept at once would spin
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](const Error& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    // One that asks must not wait for those that say nothing.
    if (callers_.size() >= kMostCallers) callers_.front()->close();
    auto caller = std::make_shared<Caller>(*this, std::move(socket));
    caller->place = callers_.insert(callers_.end(), caller);
    caller->begin();
    accept();
  });
}

}  // namespace firspool::relay
