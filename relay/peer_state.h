// What a socket tells of its peer without reading.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace firspool::relay {

// The peer has ended its side or the connection is broken, whatever of it is still unread.
bool has_gone(boost::asio::ip::tcp::socket& socket);

// A closed or chattering peer shows in what can be read from a connection that should be silent.
bool is_stale(boost::asio::ip::tcp::socket& socket);

// Whether a connection waits to be accepted.
bool is_waiting(boost::asio::ip::tcp::acceptor& acceptor);

}  // namespace firspool::relay
