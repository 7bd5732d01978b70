#include "handover.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <cstring>
#include <utility>

#include "log.h"
#include "whole_write.h"

namespace firspool::relay {
namespace {

using Error = boost::system::error_code;
using Local = boost::asio::local::stream_protocol;

constexpr size_t kMostText = 64 * 1024 * 1024;

// A socket's path is short by the system's rules, the folder's may be long: it is reached by its descriptor.
class Address {
 public:
  Address(const std::filesystem::path& folder, int place)
      : folder_(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC)),
        path_("/proc/self/fd/" + std::to_string(folder_) + "/handover." + std::to_string(place + 1)) {}
  ~Address() {
    if (folder_ >= 0) ::close(folder_);
  }
  Address(const Address&) = delete;
  Address& operator=(const Address&) = delete;

  const std::string& path() const { return path_; }

 private:
  int folder_;
  std::string path_;
};

}  // namespace

void Link::start(Heard heard, Lost lost) {
  heard_ = std::move(heard);
  lost_ = std::move(lost);
  read();
}

void Link::say(Word word, std::string_view text) {
  const auto size = static_cast<uint32_t>(text.size());
  std::string frame(head_.size(), '\0');
  frame[0] = static_cast<char>(word);
  std::memcpy(frame.data() + 1, &size, sizeof size);
  out_.push_back(frame.append(text));
  unsent_ += out_.back().size();
  if (out_.size() == 1) write();
}

void Link::close() {
  heard_ = {};
  lost_ = {};
  Error ignored;
  socket_.close(ignored);
}

void Link::write() {
  write_whole(socket_, boost::asio::buffer(out_.front()),
              [self = shared_from_this()](const Error& error, size_t) {
                if (error) return;  // the read ends too, and says so
                self->unsent_ -= self->out_.front().size();
                self->out_.pop_front();
                if (!self->out_.empty()) self->write();
              });
}

void Link::read() {
  boost::asio::async_read(
      socket_, boost::asio::buffer(head_), [self = shared_from_this()](const Error& error, size_t) {
        uint32_t size = 0;
        std::memcpy(&size, self->head_.data() + 1, sizeof size);
        if (error || size > kMostText) return self->lost();
        self->text_.resize(size);
        boost::asio::async_read(self->socket_, boost::asio::buffer(self->text_),
                                [self](const Error& failed, size_t) {
                                  if (failed) return self->lost();
                                  if (!self->heard_) return;
                                  self->heard_(static_cast<Word>(self->head_[0]), self->text_);
                                  if (self->heard_) self->read();
                                });
      });
}

void Link::lost() {
  const Lost lost = lost_;
  close();
  if (lost) lost();
}

Handover::Handover(boost::asio::io_context& io, const std::filesystem::path& folder, int place, Asked asked)
    : acceptor_(io), pause_(io), folder_(folder), place_(place), asked_(std::move(asked)) {
  listen();
}

void Handover::listen() {
  try {
    const Address address(folder_, place_);
    ::unlink(address.path().c_str());  // of a process that is gone: the place is this one's now
    acceptor_.open();
    acceptor_.bind(Local::endpoint(address.path()));
    acceptor_.listen();
    acceptor_.set_option(Local::acceptor::enable_connection_aborted(true));  // as in listen_at()
  } catch (const boost::system::system_error& fault) {
    if (!std::exchange(told_, true)) {
      log_event(LogLevel::kWarning, "successor_cannot_ask",
                std::string("a successor cannot ask yet: ") + fault.what());
    }
    Error ignored;
    acceptor_.close(ignored);
    return after_pause(&Handover::listen);
  }
  accept();
}

std::shared_ptr<Link> Handover::reach(boost::asio::io_context& io, const std::filesystem::path& folder,
                                      int place) {
  const Address address(folder, place);
  Local::socket socket(io);
  Error error;
  socket.connect(Local::endpoint(address.path()), error);
  return error ? nullptr : std::make_shared<Link>(std::move(socket));
}

void Handover::accept() {
  acceptor_.async_accept([this](const Error& error, Local::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) return after_pause(&Handover::accept);  // an accept at once would spin
    asked_(std::make_shared<Link>(std::move(socket)));
    accept();
  });
}

void Handover::after_pause(void (Handover::*then)()) {
  pause_.expires_after(kPause);
  pause_.async_wait([this, then](const Error& error) {
    if (!error) (this->*then)();
  });
}

}  // namespace firspool::relay
