#include "fleet_wire.h"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "../fleet/reading.h"
#include "budget.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;
using tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr uint64_t kWire = 1;
constexpr size_t kMostHello = 512;
constexpr auto kHelloWithin = std::chrono::seconds(1);
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

std::string frame(std::string_view bytes) {
  const size_t n = bytes.size();
  std::string out = {static_cast<char>(n >> 24), static_cast<char>(n >> 16), static_cast<char>(n >> 8),
                     static_cast<char>(n)};
  out += bytes;
  return out;
}

}  // namespace

class FleetWire::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(FleetWire& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {}

  std::list<std::shared_ptr<Link>>::iterator place;
  std::string peer;  // empty: it has not said yet

  // False: it could not be begun, and is gone.
  bool dial(const std::string& to, const tcp::endpoint& at) {
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

  void accepted() {
    connected_ = true;
    limit();
    begin();
  }

  bool push(std::string bytes) {
    if (queued_ + bytes.size() > kMostQueued) return false;
    queued_ += bytes.size();
    out_.push_back(std::move(bytes));
    if (unanswered_ == 0) unanswered_ = steady_now();
    if (connected_) write();
    return true;
  }

  bool silent() const {
    return unanswered_ != 0 && steady_now() - unanswered_ > kSilence * owner_->settings_.period;
  }

  void close() {
    timer_.cancel();
    Error ignored;
    socket_.close(ignored);
    if (owner_ != nullptr) std::exchange(owner_, nullptr)->links_.erase(place);
  }

  void orphan() {
    owner_ = nullptr;
    close();
  }

 private:
  // For the connection to come up, or for its other side to say who it is.
  void limit() {
    timer_.expires_after(kHelloWithin);
    timer_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error) self->close();
    });
  }

  void begin() {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    write();
    read();
  }

  void read() {
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

  void heard() {
    if (peer.empty()) {
      if (!hello()) return close();
      timer_.cancel();
      owner_->named(*this);
    } else {
      owner_->heard_(peer, in_);
    }
    if (owner_ != nullptr) read();
  }

  bool hello() {
    try {
      const json said = fleet::from_cbor(in_);
      if (fleet::number_of(fleet::at(said, 0)) != kWire) return false;
      if (fleet::text_of(fleet::at(said, 1), 64) != owner_->settings_.cluster) return false;
      if (fleet::text_of(fleet::at(said, 3), 64) != owner_->name_) return false;
      const std::string name = fleet::text_of(fleet::at(said, 2), 64);
      Error gone;
      const auto from = socket_.remote_endpoint(gone);
      const FleetSettings::Peer* known = owner_->find(name);
      if (gone || known == nullptr || known->address.address() != from.address()) return false;
      peer = name;
      return true;
    } catch (const fleet::Bad&) {
      return false;
    }
  }

  void write() {
    if (writing_ || out_.empty()) return;
    writing_ = true;
    boost::asio::async_write(socket_, boost::asio::buffer(out_.front()),
                             [self = shared_from_this()](const Error& error, size_t count) {
                               if (self->owner_ == nullptr) return;
                               if (error) return self->close();
                               self->writing_ = false;
                               self->queued_ -= count;
                               self->out_.pop_front();
                               self->write();
                             });
  }

  FleetWire* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  bool connected_ = false;
  bool writing_ = false;
  Time unanswered_ = 0;  // since when it has been sent to and nothing came
  size_t queued_ = 0;
  std::deque<std::string> out_;
  std::array<unsigned char, 4> head_;
  std::string in_;
};

FleetWire::FleetWire(boost::asio::io_context& io, const FleetSettings& settings, std::string name,
                     size_t most_frame, Heard heard)
    : io_(io),
      settings_(settings),
      name_(std::move(name)),
      most_frame_(most_frame),
      heard_(std::move(heard)),
      acceptor_(io, settings.bind),
      pause_(io) {
  accept();
}

FleetWire::~FleetWire() {
  for (const auto& link : links_) link->orphan();
}

void FleetWire::accept() {
  acceptor_.async_accept([this](const Error& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](const Error& stopped) {
        if (!stopped) accept();
      });
      return;
    }
    // One that says who it is must not wait for those that do not.
    if (std::ranges::count_if(links_, [](const auto& l) { return l->peer.empty(); }) >=
        static_cast<std::ptrdiff_t>(kMostUnnamed)) {
      (*std::ranges::find_if(links_, [](const auto& l) { return l->peer.empty(); }))->close();
    }
    auto link = std::make_shared<Link>(*this, std::move(socket));
    link->place = links_.insert(links_.end(), link);
    link->accepted();
    accept();
  });
}

const FleetSettings::Peer* FleetWire::find(const std::string& peer) const {
  const auto it = std::ranges::find(settings_.peers, peer, &FleetSettings::Peer::name);
  return it == settings_.peers.end() ? nullptr : &*it;
}

// The newest of a peer's connections is the one that is written to; a third is one too many.
void FleetWire::named(Link& link) {
  std::vector<Link*> same;
  for (const auto& l : links_) {
    if (l->peer == link.peer && l.get() != &link) same.push_back(l.get());
  }
  if (same.size() >= 2) same.front()->close();
}

FleetWire::Link* FleetWire::link_to(const std::string& to) {
  const auto found =
      std::find_if(links_.rbegin(), links_.rend(), [&](const auto& l) { return l->peer == to; });
  if (found != links_.rend()) {
    if (!(*found)->silent()) return found->get();
    (*found)->close();
  }
  const FleetSettings::Peer* peer = find(to);
  Time& last = dialled_[to];
  if (peer == nullptr || (last != 0 && steady_now() - last < settings_.period / 4)) return nullptr;
  last = steady_now();
  auto link = std::make_shared<Link>(*this, tcp::socket(io_));
  link->place = links_.insert(links_.end(), link);
  return link->dial(to, peer->address) ? link.get() : nullptr;
}

void FleetWire::send(const std::string& to, std::string bytes) {
  const size_t size = bytes.size();
  Link* link = size > most_frame_ ? nullptr : link_to(to);
  if (link == nullptr || !link->push(frame(bytes))) {
    ++dropped_;
    return;
  }
  ++sent_;
  sent_bytes_ += size;
}

void FleetWire::retune(const FleetSettings& settings) {
  settings_ = settings;
  std::vector<std::shared_ptr<Link>> gone;
  for (const auto& l : links_) {
    if (!l->peer.empty() && find(l->peer) == nullptr) gone.push_back(l);
  }
  for (const auto& l : gone) l->close();
  std::erase_if(dialled_, [&](const auto& entry) { return find(entry.first) == nullptr; });
}

}  // namespace firspool::relay
