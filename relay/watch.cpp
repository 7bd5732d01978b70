#include "watch.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "http_text.h"
#include "json_stream.h"
#include "log.h"
#include "whole_write.h"

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

}  // namespace

// One connection with one endless answer.
class Watch::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(Watch& owner) : owner_(&owner), socket_(owner.io_) {}

  void start(int64_t revision) {
    const std::string target = "/api/targets?stream=1&index=" + std::to_string(revision);
    http::request<http::empty_body> request(http::verb::get, target, kHttpVersion);
    request.set(http::field::host, owner_->address_.address().to_string());
    request_ = text_of(request);
    parser_.body_limit(boost::none);
    Error ignored;
    socket_.open(owner_->address_.protocol(), ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.async_connect(owner_->address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end();
      write_whole(self->socket_, boost::asio::buffer(self->request_), [self](const Error& failed, size_t) {
        if (failed) return self->end();
        http::async_read_header(self->socket_, self->buffer_, self->parser_,
                                [self](const Error& none, size_t) {
                                  if (none || self->parser_.get().result_int() != 200) return self->end();
                                  if (self->owner_ != nullptr) self->owner_->accepted();
                                  self->read();
                                });
      });
    });
  }

  void close() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void read() {
    http::async_read_some(socket_, buffer_, parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (!self->take(self->parser_.get().body()) || error || self->parser_.is_done()) return self->end();
      self->read();
    });
  }

  // False: the stream cannot be read on, or is not the watch's any more.
  bool take(std::string& body) {
    std::string_view rest = body;
    for (auto token = stream_.next(rest); token != JsonStream::Token::kNone; token = stream_.next(rest)) {
      if (token == JsonStream::Token::kUnreadable) return false;
      const bool object = token == JsonStream::Token::kObject;
      if (!owner_->heard(object ? stream_.object() : std::string()) || owner_ == nullptr) return false;
    }
    body.clear();
    return true;
  }

  void end() {
    if (owner_ != nullptr) owner_->lost();
  }

  Watch* owner_;
  tcp::socket socket_;
  std::string request_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  JsonStream stream_;
};

Watch::Watch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names, AskTimes asks,
             Revision revision, Told told, std::function<void()> current)
    : io_(io),
      asks_(std::move(asks)),
      address_(address),
      names_(std::move(names)),
      revision_(std::move(revision)),
      told_(std::move(told)),
      current_(std::move(current)),
      timer_(io) {
  pause(asks_.first());
}

Watch::~Watch() {
  if (stream_) stream_->close();
}

void Watch::enter(State state, milliseconds limit) {
  state_ = state;
  timer_.set_behind_reads(limit, [this] {
    if (state_ == State::kAccepted) late_first_ = true;
    lost();
  });
}

void Watch::pause(milliseconds length) {
  if (length.count() == 0) return ask();
  state_ = State::kPause;
  timer_.set(length, [this] { ask(); });
}

void Watch::ask() {
  if (stream_) stream_->close();
  enter(State::kAsk, asks_.answer());
  asked_ = std::chrono::steady_clock::now();
  stream_ = std::make_shared<Stream>(*this);
  stream_->start(whole_ ? 0 : revision_());
}

void Watch::accepted() {
  if (late_first_) return enter(State::kAccepted, kSilence);
  state_ = State::kAccepted;  // within what is left of the time for its answer
}

void Watch::move(const tcp::endpoint& address) {
  address_ = address;
  asks_.heard();
  ask();
}

void Watch::lost() {
  if (++losses_ == 1) log_event(LogLevel::kWarning, "watch_lost", "discovery: the watch is lost");
  stream_->close();
  pause(asks_.again());
}

bool Watch::heard(const std::string& object) {
  if (state_ != State::kFollow) late_first_ = std::chrono::steady_clock::now() - asked_ > AskTimes::kAnswer;
  enter(State::kFollow, kSilence);
  try {
    if (!object.empty()) {
      told_(parse_list(nlohmann::json::parse(object), names_));
      whole_ = false;
    }
  } catch (const std::exception& fault) {
    log_event(LogLevel::kWarning, "list_unreadable",
              std::string("discovery: a list cannot be read: ") + fault.what());
    whole_ = true;
    return false;
  }
  asks_.heard();
  if (losses_ > 0) {
    log_info("watch_heard", "discovery: heard again after " + std::to_string(losses_) + " watches",
             {{"watches", losses_}});
  }
  losses_ = 0;
  current_();
  return true;
}

}  // namespace firspool::relay
