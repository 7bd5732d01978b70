#include "connection_pool.h"

#include "peer_state.h"

namespace firspool::relay {
namespace {

using Error = boost::system::error_code;

constexpr size_t kMostPerHost = 64;

}  // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& io, Limits limits)
    : limits_(limits), evict_timer_(io) {
  evict_stale();
}

std::optional<ConnectionPool::Idle> ConnectionPool::acquire(const Endpoint& endpoint,
                                                            const tcp::endpoint& address) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return {};
  while (!it->second.empty()) {
    Idle last = std::move(it->second.back());
    it->second.pop_back();
    --size_;
    Error gone;
    const bool same = last.socket.remote_endpoint(gone) == address && !gone;
    const bool young = steady_now() - last.since < reuse_for(limits_.idle);
    if (same && young && !is_stale(last.socket)) return last;
  }
  return {};
}

void ConnectionPool::release(const Endpoint& endpoint, tcp::socket socket) {
  std::vector<Idle>& list = idle_[endpoint];
  if (list.size() >= kMostPerHost || size_ >= limits_.most) return;
  list.push_back({std::move(socket), steady_now()});
  ++size_;
}

void ConnectionPool::evict_stale() {
  const Time now = steady_now();
  for (auto& [endpoint, list] : idle_) {
    size_ -= std::erase_if(list, [&](Idle& idle) {
      return now - idle.since >= reuse_for(limits_.idle) || is_stale(idle.socket);
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  evict_timer_.expires_after(std::chrono::milliseconds(250));
  evict_timer_.async_wait([this](const Error& error) {
    if (!error) evict_stale();
  });
}

void ConnectionPool::close(const Endpoint& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  size_ -= it->second.size();
  idle_.erase(it);
}

void ConnectionPool::close_all() {
  idle_.clear();
  size_ = 0;
}

}  // namespace firspool::relay
