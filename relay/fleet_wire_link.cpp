#include "fleet_wire_link.h"

#include <boost/asio/read.hpp>

#include "../fleet/decoding.h"
#include "whole_write.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr uint64_t kWire = 1;
constexpr size_t kMostHello = 512;
constexpr auto kHelloWithin = std::chrono::seconds(1);

}  // namespace

std::string frame(std::string_view bytes) {
  const size_t n = bytes.size();
  std::string out = {static_cast<char>(n >> 24), static_cast<char>(n >> 16), static_cast<char>(n >> 8),
                     static_cast<char>(n)};
  out += bytes;
  return out;
}

FleetWire::Link::Link(FleetWire& owner, tcp::socket socket)
    : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

bool FleetWire::Link::dial(const std::string& to, const tcp::endpoint& at) {
  peer = to;
  push(frame(fleet::to_cbor({kWire, owner_->settings_.cluster, owner_->name_, to})));
  limit();
  // From the address under which its peers know it.
  Error bad;
  socket_.open(tcp::v4(), bad);
  if (!bad) socket_.bind({owner_->settings_.bind.address(), 0}, bad);
  if (bad) {
    close();
    return false;
  }
  socket_.async_connect(at, [self = shared_from_this()](const Error& error) {
    if (self->owner_ == nullptr) return;
    if (error) return self->close();
    self->timer_.cancel();
    self->connected_ = true;
    self->begin();
  });
  return true;
}

void FleetWire::Link::accepted() {
  connected_ = true;
  limit();
  begin();
}

bool FleetWire::Link::push(std::string bytes) {
  if (queued_ + bytes.size() > kMostQueued) return false;
  queued_ += bytes.size();
  out_.push_back(std::move(bytes));
  if (unanswered_ == 0) unanswered_ = steady_now();
  if (connected_) write();
  return true;
}

bool FleetWire::Link::silent() const {
  return unanswered_ != 0 && steady_now() - unanswered_ > kSilence * owner_->settings_.period;
}

void FleetWire::Link::close() {
  timer_.cancel();
  Error ignored;
  socket_.close(ignored);
  if (owner_ != nullptr) std::exchange(owner_, nullptr)->links_.erase(place);
}

void FleetWire::Link::orphan() {
  owner_ = nullptr;
  close();
}

void FleetWire::Link::limit() {
  timer_.expires_after(kHelloWithin);
  timer_.async_wait([self = shared_from_this()](const Error& error) {
    if (!error) self->close();
  });
}

void FleetWire::Link::begin() {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  write();
  read();
}

void FleetWire::Link::read() {
  boost::asio::async_read(socket_, boost::asio::buffer(head_),
                          [self = shared_from_this()](const Error& error, size_t) {
                            if (self->owner_ == nullptr) return;
                            if (error) return self->close();
                            size_t length = 0;
                            for (const unsigned char c : self->head_) length = (length << 8) | c;
                            if (length > (self->peer.empty() ? kMostHello : self->owner_->most_frame_))
                              return self->close();
                            self->in_.resize(length);
                            boost::asio::async_read(self->socket_, boost::asio::buffer(self->in_),
                                                    [self](const Error& failed, size_t) {
                                                      if (self->owner_ == nullptr) return;
                                                      if (failed) return self->close();
                                                      self->unanswered_ = 0;
                                                      self->heard();
                                                    });
                          });
}

void FleetWire::Link::heard() {
  if (peer.empty()) {
    if (!hello()) return close();
    timer_.cancel();
    owner_->named(*this);
  } else {
    owner_->heard(peer, in_);
  }
  if (owner_ != nullptr) read();
}

bool FleetWire::Link::hello() {
  try {
    const json said = fleet::from_cbor(in_);
    if (fleet::decode_uint(fleet::at(said, 0)) != kWire) return false;
    if (fleet::decode_text(fleet::at(said, 1), 64) != owner_->settings_.cluster) return false;
    if (fleet::decode_text(fleet::at(said, 3), 64) != owner_->name_) return false;
    const std::string name = fleet::decode_text(fleet::at(said, 2), 64);
    Error gone;
    const auto from = socket_.remote_endpoint(gone);
    const FleetSettings::Peer* known = owner_->find(name);
    if (gone || known == nullptr || known->address.address() != from.address()) return false;
    peer = name;
    return true;
  } catch (const fleet::DecodeError&) {
    return false;
  }
}

void FleetWire::Link::write() {
  if (writing_ || out_.empty()) return;
  writing_ = true;
  write_whole(socket_, boost::asio::buffer(out_.front()),
              [self = shared_from_this()](const Error& error, size_t count) {
                if (self->owner_ == nullptr) return;
                if (error) return self->close();
                self->writing_ = false;
                self->queued_ -= count;
                self->out_.pop_front();
                self->write();
              });
}

}  // namespace firspool::relay
