// Ports for relays: each stays the relay's over its restarts. They lie below the range from which the kernel
// gives outgoing connections theirs, and a socket on another loopback address keeps other labs on this
// machine from them.
#pragma once

#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <list>

#include "range.h"

namespace umberhoist::lab {

class Ports {
 public:
  explicit Ports(boost::asio::io_context& io)
      : io_(io), next_(kFirst + static_cast<int>(::getpid()) * 97 % kCount) {}

  // Free for TCP and UDP on 127.0.0.1 now. Throws Unusable where there is none.
  boost::asio::ip::tcp::endpoint take() {
    using boost::asio::ip::address_v4;
    for (int tries = 0; tries < kCount; ++tries) {
      const auto port = static_cast<uint16_t>(next_);
      next_ = next_ + 1 < kFirst + kCount ? next_ + 1 : kFirst;
      try {
        boost::asio::ip::tcp::acceptor mine(io_, {address_v4({127, 77, 77, 77}), port}, false);
        boost::asio::ip::tcp::acceptor(io_, {address_v4::loopback(), port}, false);
        boost::asio::ip::udp::socket(io_, {address_v4::loopback(), port});
        held_.push_back(std::move(mine));
        return {address_v4::loopback(), port};
      } catch (const boost::system::system_error&) {
      }
    }
    throw Unusable("no free ports for relays");
  }

 private:
  static constexpr int kFirst = 11'000;
  static constexpr int kCount = 20'000;
  boost::asio::io_context& io_;
  int next_;
  std::list<boost::asio::ip::tcp::acceptor> held_;
};

}  // namespace umberhoist::lab
