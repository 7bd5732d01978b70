#include "fleet_wire.h"

#include <algorithm>

#include "fleet_wire_link.h"
#include "listening.h"

namespace firspool::relay {
namespace {

using Error = boost::system::error_code;

constexpr auto kAcceptPause = std::chrono::milliseconds(50);

}  // namespace

FleetWire::FleetWire(boost::asio::io_context& io, const FleetSettings& settings, std::string name,
                     size_t most_frame, Heard heard)
    : io_(io),
      settings_(settings),
      name_(std::move(name)),
      most_frame_(most_frame),
      heard_(std::move(heard)),
      acceptor_(listen_at(io, settings.bind)),
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

void FleetWire::heard(const std::string& from, std::string_view bytes) {
  const auto channel = bytes.empty() ? channels_.end() : channels_.find(bytes.front());
  if (channel == channels_.end()) return heard_(from, bytes);
  channel->second(from, bytes.substr(1));
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
