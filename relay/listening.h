// Sockets at the addresses of the configuration, and what may be wrong with one, for the operators.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "system_fault.h"

namespace firspool::relay {

inline constexpr umberhoist::ErrorKind kAddressFaults[] = {
    {"address_unavailable",
     "see what else uses the address, and the machine's limits of descriptors and memory"},
};
inline constexpr const umberhoist::ErrorKind& kAddressUnavailable = kAddressFaults[0];

class AddressFault : public SystemFault {
 public:
  template <typename Endpoint>
  AddressFault(const Endpoint& address, const std::string& what, const boost::system::error_code& error)
      : SystemFault(kAddressUnavailable, address.address().to_string() + ":" + std::to_string(address.port()),
                    what, error.value()) {}
};

// An acceptor that listens there. Throws AddressFault.
inline boost::asio::ip::tcp::acceptor listen_at(boost::asio::io_context& io,
                                                const boost::asio::ip::tcp::endpoint& address) {
  using boost::asio::ip::tcp;
  try {
    tcp::acceptor out(io, address);
    // Without this asio keeps a caller's broken connect to itself, and waits for the next one, blocking or
    // not.
    out.set_option(tcp::acceptor::enable_connection_aborted(true));
    return out;
  } catch (const boost::system::system_error& fault) {
    throw AddressFault(address, "cannot be listened at", fault.code());
  }
}

}  // namespace firspool::relay
