#include "crowd.h"

#include <array>
#include <boost/asio/write.hpp>

namespace umberhoist::lab {
namespace {

using Error = boost::system::error_code;

constexpr Range kReopenAfter = {0.05, 0.5};  // seconds
constexpr int kCrowdKinds = 3;

}  // namespace

struct Crowd::One {
  explicit One(boost::asio::io_context& io) : socket(io) {}

  int relay = 0;
  Kind kind = Kind::kSilent;
  tcp::socket socket;
  std::string out;
  std::array<char, 256> in;
};

Crowd::Crowd(World& world, const Fleet& fleet) : world_(world), fleet_(fleet) {
  for (int relay = 0; relay < static_cast<int>(fleet.size()); ++relay) {
    const int count = static_cast<int>(world.scenario.load.crowd.draw(world.chance));
    for (int i = 0; i < count; ++i) {
      auto one = std::make_shared<One>(world.io);
      one->relay = relay;
      one->kind = static_cast<Kind>(i % kCrowdKinds);
      all_.push_back(std::move(one));
    }
  }
}

Crowd::~Crowd() { stop(); }

void Crowd::start() {
  for (const auto& one : all_) connect(one);
}

void Crowd::stop() {
  over_ = true;
  Error ignored;
  for (const auto& one : all_) one->socket.close(ignored);
}

void Crowd::tell(Figures& figures) const {
  if (!all_.empty()) figures.add("crowd_ended_by_relays", static_cast<double>(ended_));
}

void Crowd::connect_later(const std::shared_ptr<One>& one) {
  Error ignored;
  one->socket.close(ignored);
  world_.after(kReopenAfter.draw(world_.chance), [this, one] { connect(one); });
}

void Crowd::connect(const std::shared_ptr<One>& one) {
  if (over_) return;
  if (!fleet_.serving(one->relay)) return connect_later(one);
  one->socket.async_connect(fleet_.address(one->relay), [this, one](const Error& error) {
    if (over_) return;
    if (error) return connect_later(one);
    stay(one);
  });
}

void Crowd::stay(const std::shared_ptr<One>& one) {
  if (one->kind == Kind::kHalfRequest) one->out = "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000";
  if (one->kind == Kind::kAskedOnce) one->out = "*1\r\n$4\r\nPING\r\n";
  boost::asio::async_write(one->socket, boost::asio::buffer(one->out), [one](const Error&, size_t) {});
  drain(one);
}

void Crowd::drain(const std::shared_ptr<One>& one) {
  one->socket.async_read_some(boost::asio::buffer(one->in), [this, one](const Error& error, size_t) {
    if (error == boost::asio::error::operation_aborted || over_) return;
    if (!error) return drain(one);
    ++ended_;
    connect_later(one);
  });
}

}  // namespace umberhoist::lab
