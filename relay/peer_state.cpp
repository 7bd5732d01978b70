#include "peer_state.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace firspool::relay {
namespace {

// Which of the events are there now; none where that cannot be told.
short events_now(int descriptor, short events) {
  pollfd look{descriptor, events, 0};
  int found = 0;
  do {
    found = ::poll(&look, 1, 0);
  } while (found < 0 && errno == EINTR);
  return found > 0 ? look.revents : short{0};
}

}  // namespace

bool has_gone(boost::asio::ip::tcp::socket& socket) {
  return (events_now(socket.native_handle(), POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool is_stale(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  ssize_t got = 0;
  do {
    got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (got < 0 && errno == EINTR);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool is_waiting(boost::asio::ip::tcp::acceptor& acceptor) {
  return (events_now(acceptor.native_handle(), POLLIN) & POLLIN) != 0;
}

}  // namespace firspool::relay
