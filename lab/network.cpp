#include "network.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <set>

namespace umberhoist::lab {
namespace {

using Error = boost::system::error_code;

constexpr size_t kMostDatagram = 2048;

}  // namespace

// One TCP connection of a relay to another, in two halves: each a stream with the faults of its direction.
// Loss is no byte's lot here: what TCP would send again shows as a delay.
class PairNetwork::Pipe : public std::enable_shared_from_this<Pipe> {
 public:
  Pipe(PairNetwork& owner, int from, int to, tcp::socket socket)
      : owner_(&owner), ends_{std::move(socket), tcp::socket(owner.world_.io)}, from_(from), to_(to) {}

  void open() {
    ends_[1].async_connect(owner_->bound(to_), [self = shared_from_this()](const Error& error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->close();
      self->pump(0);
      self->pump(1);
    });
  }

  void close() {
    Error ignored;
    for (tcp::socket& end : ends_) end.close(ignored);
    if (PairNetwork* owner = std::exchange(owner_, nullptr)) owner->pipes_.erase(shared_from_this());
  }

 private:
  const Way& way(int half) const { return half == 0 ? owner_->way(from_, to_) : owner_->way(to_, from_); }

  void pump(int half) {
    ends_[half].async_read_some(boost::asio::buffer(bytes_[half]),
                                [self = shared_from_this(), half](const Error& error, size_t count) {
                                  if (self->owner_ == nullptr) return;
                                  if (error) return self->close();
                                  self->pass(half, count);
                                });
  }

  void pass(int half, size_t count) {
    const Way& now = way(half);
    World& world = owner_->world_;
    // Over a cut nothing passes and nothing ends: it goes on once it is healed, as TCP would try again.
    if (now.cut) {
      return world.after(0.05, [self = shared_from_this(), half, count] {
        if (self->owner_ != nullptr) self->pass(half, count);
      });
    }
    const double again = now.loss > 0 && world.unit() < now.loss ? 0.2 : 0;
    world.after(now.delay * (1 + world.unit()) + again, [self = shared_from_this(), half, count] {
      if (self->owner_ == nullptr) return;
      boost::asio::async_write(self->ends_[1 - half], boost::asio::buffer(self->bytes_[half], count),
                               [self, half](const Error& error, size_t) {
                                 if (self->owner_ == nullptr) return;
                                 if (error) return self->close();
                                 ++self->owner_->carried_;
                                 self->pump(half);
                               });
    });
  }

  PairNetwork* owner_;
  tcp::socket ends_[2];
  int from_;
  int to_;
  std::array<char, 16 * 1024> bytes_[2];
};

PairNetwork::PairNetwork(World& world, int relays)
    : world_(world),
      relays_(relays),
      ways_(static_cast<size_t>(relays * relays)),
      sockets_(ways_.size()),
      acceptors_(ways_.size()),
      buffers_(ways_.size(), std::vector<char>(kMostDatagram)) {
  for (int i = 0; i < relays; ++i) bound_.push_back(world.ports.take());
  for (int from = 0; from < relays; ++from) {
    for (int to = 0; to < relays; ++to) {
      if (from == to) continue;
      const tcp::endpoint at = world.ports.take();
      acceptors_[index(from, to)] = std::make_unique<tcp::acceptor>(world.io, at);
      sockets_[index(from, to)] =
          std::make_unique<udp::socket>(world.io, udp::endpoint(at.address(), at.port()));
      receive(from, to);
      accept(from, to);
    }
  }
}

PairNetwork::~PairNetwork() {
  for (const auto& pipe : std::set<std::shared_ptr<Pipe>>(pipes_)) pipe->close();
}

tcp::endpoint PairNetwork::way_to(int from, int to) const {
  return from == to ? bound(to) : acceptors_.at(index(from, to))->local_endpoint();
}

nlohmann::json PairNetwork::section(int relay) const {
  nlohmann::json peers = nlohmann::json::array();
  const int voters = world_.scenario.voters();
  for (int i = 0; i < relays_; ++i) {
    peers.push_back(
        {{"name", "n" + std::to_string(i)}, {"address", text_of(way_to(relay, i))}, {"voter", i < voters}});
  }
  return {{"cluster", "lab"}, {"bind", text_of(bound(relay))},
          {"peers", peers},   {"period_ms", 500},
          {"term_ms", 3000},  {"isolated", world_.scenario.relay.isolated}};
}

void PairNetwork::receive(int from, int to) {
  const size_t i = index(from, to);
  auto sender = std::make_shared<udp::endpoint>();
  sockets_[i]->async_receive_from(boost::asio::buffer(buffers_[i]), *sender,
                                  [this, i, from, to, sender](const Error& error, size_t count) {
                                    if (error == boost::asio::error::operation_aborted) return;
                                    if (!error) carry(from, to, std::string(buffers_[i].data(), count));
                                    receive(from, to);
                                  });
}

void PairNetwork::carry(int from, int to, const std::string& bytes) {
  const Way& now = way(from, to);
  if (now.cut || (now.loss > 0 && world_.unit() < now.loss)) {
    ++lost_;
    return;
  }
  const int copies = now.duplicate > 0 && world_.unit() < now.duplicate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    double wait = now.delay * (1 + world_.unit());
    if (now.reorder > 0 && world_.unit() < now.reorder) wait += std::max(0.02, now.delay);
    const auto send = [this, from, to, bytes] {
      Error unreachable;  // nobody is bound there now: lost, as on a network
      const tcp::endpoint at = bound(to);
      sockets_[index(to, from)]->send_to(boost::asio::buffer(bytes), {at.address(), at.port()}, 0,
                                         unreachable);
      ++carried_;
    };
    if (wait > 0) {
      world_.after(wait, send);
    } else {
      send();
    }
  }
}

void PairNetwork::accept(int from, int to) {
  acceptors_[index(from, to)]->async_accept([this, from, to](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error && !way(from, to).cut && !way(to, from).cut) {
      auto pipe = std::make_shared<Pipe>(*this, from, to, std::move(socket));
      pipes_.insert(pipe);
      pipe->open();
    }
    accept(from, to);
  });
}

void PairNetwork::each_between(const std::vector<int>& side,
                               const std::function<void(Way& out, Way& in)>& apply) {
  for (const int from : side) {
    for (int to = 0; to < relays_; ++to) {
      if (std::ranges::find(side, to) == side.end()) apply(way(from, to), way(to, from));
    }
  }
}

void PairNetwork::cut(const std::vector<int>& side, bool one_way) {
  each_between(side, [&](Way& out, Way& in) {
    out.cut = true;
    in.cut = in.cut || !one_way;
  });
}

void PairNetwork::disturb(const std::vector<int>& side, const Way& given) {
  each_between(side, [&](Way& out, Way& in) { out = in = given; });
}

void PairNetwork::heal() { std::ranges::fill(ways_, Way{}); }

}  // namespace umberhoist::lab
