#include "discovery.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>

namespace umberhoist::lab {
namespace {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr double kHeartbeat = 2;

std::string chunk(const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

}  // namespace

class Discovery::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Discovery& owner, tcp::socket socket)
      : owner_(&owner), world_(owner.world_), socket_(std::move(socket)) {}

  void read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](const Error& error, size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->close();
      self->came();
    });
  }

  void say(std::string bytes) {
    out_.push_back(std::move(bytes));
    if (out_.size() == 1) write();
  }

  void close() {
    Error ignored;
    socket_.close(ignored);
    if (Discovery* owner = std::exchange(owner_, nullptr)) owner->sessions_.erase(shared_from_this());
  }

  bool watching = false;

  // A change, or nothing new; what is in it counts as told once it is written.
  void tell(const json& list) {
    for (const json& member : list.at("members")) {
      if (member.at("phase") != "active") {
        world_.oracles.told_drain(world_.now(), owner_->relay_, member.at("id").get<std::string>());
      }
    }
    say(chunk(list.dump()));
  }

 private:
  void came() {
    const auto& request = parser_->get();
    const std::string target(request.target());
    if (request.method() == http::verb::post) {
      notices(request.body());
      say("HTTP/1.1 204 No Content\r\n\r\n");
      return read();
    }
    if (owner_->mute_) return read();  // silent: no answer
    world_.figures.asked_for_list(world_.now(), owner_->relay_);
    if (target.find("stream=1") == std::string::npos) {
      const std::string body = owner_->told_.dump();
      say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
      return read();
    }
    watching = true;
    say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    tell(owner_->told_);
    beat();
    read();  // sees the end
  }

  void beat() {
    world_.after(kHeartbeat, [self = shared_from_this()] {
      if (self->owner_ == nullptr) return;
      if (!self->owner_->mute_) self->say(chunk(""));
      self->beat();
    });
  }

  void notices(const std::string& body) {
    for (size_t from = 0, to; (to = body.find('\n', from)) != std::string::npos; from = to + 1) {
      const json notice = json::parse(body.substr(from, to - from), nullptr, false);
      if (!notice.is_object() || !notice.contains("id")) continue;
      const std::string id = notice["id"].get<std::string>();
      const std::string state = notice.value("state", "");
      const bool returned = state == "returned";
      world_.parts.noticed(world_.now(), id, state);
      if (world_.oracles.notice(world_.now(), id)) {
        world_.noticed(id, returned, notice.value("after_ms", 0.0) / 1000);
      }
    }
  }

  void write() {
    boost::asio::async_write(socket_, boost::asio::buffer(out_.front()),
                             [self = shared_from_this()](const Error& error, size_t) {
                               if (self->owner_ == nullptr) return;
                               if (error) return self->close();
                               self->out_.pop_front();
                               if (!self->out_.empty()) self->write();
                             });
  }

  Discovery* owner_;
  World& world_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::string> out_;
};

Discovery::Discovery(World& world, int relay, const std::vector<std::unique_ptr<Partner>>& partners)
    : world_(world), relay_(relay), partners_(partners), acceptor_(world.io, loopback()) {
  told_ = list();
  accept();
}

Discovery::~Discovery() {
  for (const auto& session : std::set<std::shared_ptr<Session>>(sessions_)) session->close();
}

void Discovery::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) {
      auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->read();
    }
    accept();
  });
}

json Discovery::known() const { return told_; }

// Whole each time: the revision is the count of changes so far.
json Discovery::list() const {
  json members = json::array();
  int64_t revision = 1;
  for (const auto& partner : partners_) {
    for (const auto& e : partner->listed()) {
      members.push_back({{"id", e.id},
                         {"host_port", e.address},
                         {"locality", e.zone},
                         {"flavor", partner->kind()},
                         {"cell", partner->number()},
                         {"phase", e.phase},
                         {"size", partner->limit()},
                         {"up_since_ms", 0}});
    }
    revision += partner->changes();
  }
  return {{"revision", revision}, {"complete", true}, {"members", members}};
}

void Discovery::changed(double after) {
  world_.after(after, [this] {
    if (mute_) {
      behind_ = true;
    } else {
      push();
    }
  });
}

void Discovery::push() {
  behind_ = false;
  const json now = list();
  if (now.at("revision").get<int64_t>() <= told_.at("revision").get<int64_t>()) return;
  told_ = now;
  for (const auto& session : std::set<std::shared_ptr<Session>>(sessions_)) {
    if (session->watching) session->tell(now);
  }
}

void Discovery::mute(bool on) {
  mute_ = on;
  if (!on && behind_) push();
}

}  // namespace umberhoist::lab
