#include "notices.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "http_text.h"
#include "log.h"
#include "whole_write.h"

namespace firspool::relay {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kFirstPause{10};
constexpr milliseconds kLongestPause{100};
constexpr milliseconds kFirstAnswer{120};
constexpr milliseconds kLongestAnswer{1000};

}  // namespace

milliseconds PostTimes::answer() const {
  return std::min(kFirstAnswer * (1 << std::min(failed_, 4)), kLongestAnswer);
}

milliseconds PostTimes::pause() {
  return std::min(kFirstPause * (1 << std::min(failed_++, 4)), kLongestPause);
}

// A kept-alive connection for notices, one request at a time.
class Notices::Post : public std::enable_shared_from_this<Post> {
 public:
  explicit Post(Notices& owner) : owner_(&owner), socket_(owner.io_) {}

  void send(const std::string& body) {
    http::request<http::string_body> request(http::verb::post, "/v2/finals", kHttpVersion, body);
    request.set(http::field::host, owner_->address_.address().to_string());
    request.set(http::field::content_type, "application/x-ndjson");
    request.prepare_payload();
    request_ = text_of(request);
    if (socket_.is_open()) return write();
    Error ignored;
    socket_.open(owner_->address_.protocol(), ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.async_connect(owner_->address_, [self = shared_from_this()](const Error& error) {
      if (error) return self->end(Answer::kNone);
      self->write();
    });
  }

  bool reusable() const { return reusable_; }

  void close() {
    owner_ = nullptr;
    Error ignored;
    socket_.close(ignored);
  }

 private:
  void write() {
    write_whole(
        socket_, boost::asio::buffer(request_), [self = shared_from_this()](const Error& error, size_t) {
          if (error) return self->end(Answer::kNone);
          self->answer_ = {};
          http::async_read(self->socket_, self->buffer_, self->answer_, [self](const Error& failed, size_t) {
            self->reusable_ = !failed && self->answer_.keep_alive();
            self->end(failed ? Answer::kNone : answer_of(self->answer_.result_int()));
          });
        });
  }

  static Answer answer_of(unsigned status) {
    return status == 204 ? Answer::kTaken : status == 400 ? Answer::kUnreadable : Answer::kNone;
  }

  void end(Answer answer) {
    reusable_ = reusable_ && answer != Answer::kNone;
    if (owner_ != nullptr) owner_->ended(answer);
  }

  Notices* owner_;
  tcp::socket socket_;
  std::string request_;
  boost::beast::flat_buffer buffer_;
  http::response<http::string_body> answer_;
  bool reusable_ = false;
};

Notices::Notices(boost::asio::io_context& io, const tcp::endpoint& address, Sent sent)
    : io_(io), address_(address), sent_(std::move(sent)), timer_(io) {}

Notices::~Notices() {
  if (post_) post_->close();
}

void Notices::add(Notice notice) {
  queue_.push_back({std::move(notice), steady_now()});
  if (state_ == State::kIdle) proceed();
}

void Notices::drop() {
  if (post_) post_->close();
  post_.reset();
}

// What is out to the old address goes again to the new one: a second notice does no harm.
void Notices::move(const tcp::endpoint& address) {
  address_ = address;
  times_.answered();
  drop();
  proceed();
}

void Notices::proceed() {
  timer_.cancel();
  state_ = State::kIdle;
  out_ = 0;
  if (queue_.empty()) return;
  std::string body;
  for (; out_ < std::min(queue_.size(), most_); ++out_) {
    const Notice& notice = queue_[out_].notice;
    nlohmann::json line = {{"id", notice.id}, {"state", notice.returned ? "returned" : "failed"}};
    if (notice.returned && notice.after > 0) line["after_ms"] = (notice.after + 999) / 1000;
    body += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  }
  if (!post_) post_ = std::make_shared<Post>(*this);
  state_ = State::kOut;
  timer_.set_behind_reads(times_.answer(), [this] {
    drop();
    ended(Answer::kNone);
  });
  post_->send(body);
}

void Notices::ended(Answer answer) {
  if (post_ && !post_->reusable()) drop();
  if (answer == Answer::kNone) {
    state_ = State::kPause;
    return timer_.set(times_.pause(), [this] { proceed(); });
  }
  times_.answered();
  if (answer == Answer::kTaken) {
    for (; out_ > 0; --out_) settle();
    most_ = std::min(2 * most_, kMostNotices);
  } else if (out_ > 1) {
    most_ = out_ / 2;
  } else {  // the same bytes would not be read later either, and hold up all others
    log_event(LogLevel::kWarning, "notice_unreadable",
              "discovery: it cannot read the notice of " + queue_.front().notice.id,
              {{"id", queue_.front().notice.id}});
    settle();
  }
  proceed();
}

void Notices::settle() {
  sent_(queue_.front().notice.id);
  queue_.pop_front();
}

}  // namespace firspool::relay
