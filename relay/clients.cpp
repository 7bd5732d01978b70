#include "clients.h"

#include <fcntl.h>

#include <algorithm>

#include "client_session.h"
#include "listening.h"
#include "peer_state.h"
#include "put.h"

namespace firspool::relay {
namespace {

constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr auto kRoomPause = std::chrono::milliseconds(20);
constexpr Time kClientPatience = 400'000;  // a client that is still there sent its request no longer ago

// Of an inherited socket, so that it is still at hand should a successor fail. Two processes accept from it:
// asio never blocks in an accept, and tries again where the other was first.
tcp::acceptor duplicate_of(boost::asio::io_context& io, const tcp::endpoint& listen, int inherited) {
  const int own = ::fcntl(inherited, F_DUPFD_CLOEXEC, 0);
  if (own < 0) {
    throw AddressFault(listen, "has a socket that cannot be inherited",
                       {errno, boost::system::system_category()});
  }
  tcp::acceptor out(io, listen.protocol(), own);
  out.set_option(tcp::acceptor::enable_connection_aborted(true));  // as in listen_at()
  return out;
}

}  // namespace

Clients::Clients(boost::asio::io_context& io, const tcp::endpoint& listen, std::optional<int> inherited,
                 Limits limits, Put put, Busy busy)
    : io_(io),
      acceptor_(inherited ? duplicate_of(io, listen, *inherited) : listen_at(io, listen)),
      pause_(io),
      inherited_(inherited.has_value()),
      limits_(limits),
      busy_(std::move(busy)) {
  add("MSG.PUT", [put = std::move(put)](const Words& words, Time read, Answer answer) {
    put(parse_put(words, read), std::move(answer));
  });
  accept();
}

Clients::~Clients() {
  for (const auto* sessions : {&sessions_, &lingering_}) {
    for (const auto& session : *sessions) session->orphan();
  }
}

void Clients::accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  if (finishing_ && !full()) return drain();
  accepting_ = true;
  if (full()) {
    if (full_since_ == 0) full_since_ = steady_now();
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](const boost::system::error_code& error) {
      if (error == boost::asio::error::operation_aborted) return;
      accepting_ = false;
      if (full()) return make_room();
      accept();
    });
    return;
  }
  acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error) admit(std::move(socket));
    if (finishing_) return;
    accepting_ = false;
    if (error == boost::asio::error::no_descriptors && !lingering_.empty()) {
      return lingering_.front()->close();
    }
    if (error && error != boost::asio::error::connection_aborted) return pause();
    accept();
  });
}

boost::system::error_code Clients::accept_next() {
  boost::system::error_code ignored;
  acceptor_.non_blocking(true, ignored);
  while (true) {
    boost::system::error_code error;
    tcp::socket socket = acceptor_.accept(io_, error);
    if (!error) admit(std::move(socket));
    if (error != boost::asio::error::no_descriptors || lingering_.empty()) return error;
    lingering_.front()->close();
  }
}

// A client waits in the backlog, and to close it there would lose what it has written. It gets the place of a
// connection that only waits for its peer's end, or on which no request comes. If there is none yet, it waits
// on.
void Clients::make_room() {
  if (!lingering_.empty()) return lingering_.front()->close();  // and comes back to accept()
  const Time now = steady_now();
  const auto yields =
      std::ranges::find_if(sessions_, [&](const auto& session) { return session->may_yield(now); });
  if (yields != sessions_.end()) (*yields)->yield();
  pause_.expires_after(kRoomPause);
  pause_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) accept();
  });
}

// Of a connection that is accepted now.
Time Clients::earliest_arrival() {
  const Time now = steady_now();
  if (full_since_ == 0) return now;
  const Time earliest = std::max(full_since_, now - kClientPatience);
  if (!is_waiting(acceptor_)) full_since_ = 0;
  return earliest;
}

// Out of descriptors, or the client is gone again: an accept at once would spin.
void Clients::pause() {
  accepting_ = true;
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    accepting_ = false;
    accept();
  });
}

void Clients::admit(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto session = std::make_shared<Session>(*this, std::move(socket), earliest_arrival());
  session->place = sessions_.insert(sessions_.end(), session);
  session->begin();
}

void Clients::lingers(Sessions::iterator place) {
  lingering_.splice(lingering_.end(), sessions_, place);
  accept();
}

void Clients::forget(Sessions::iterator place, bool lingered) {
  (lingered ? lingering_ : sessions_).erase(place);
  accept();
}

// Peers that leave their requests unfinished would have the memory: the one that holds most of it goes.
void Clients::evict_largest() {
  if (buffered_ <= limits_.bytes) return;
  (*std::ranges::max_element(sessions_, {}, [](const auto& session) {
    return session->buffered();
  }))->evict();
}

void Clients::finish() {
  finishing_ = true;
  boost::system::error_code ignored;
  acceptor_.cancel(ignored);
  pause_.cancel();
  accepting_ = false;
  for (const auto& session : sessions_) session->finish();
  if (inherited_) {
    acceptor_.close(ignored);
  } else {
    accept();
  }
}

void Clients::end_reading() {
  reading_over_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  for (const auto& session : sessions_) session->end_reading();
}

void Clients::limit(size_t most) {
  limits_.connections = most;
  accept();
}

// What waits in the backlog would be reset with its request unread: it is served too, as places come free.
void Clients::drain() {
  accepting_ = true;  // what is closed on the way comes back here
  boost::system::error_code error;
  while (!full() && !error) error = accept_next();
  accepting_ = false;
  if (!error) return accept();  // full: one that only waits for its peer's end may make room
  if (error != boost::asio::error::would_block) return pause();
  acceptor_.close(error);  // nobody waits
}

}  // namespace firspool::relay
