// The operator's address: one line a connection, one reply. It reads what others count and decides nothing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace firspool::relay {

class Operator {
 public:
  using Reply = std::function<std::string(const std::string& call)>;  // whole lines, each with its end

  static constexpr size_t kMostCallers = 8;
  static constexpr size_t kDescriptors = kMostCallers + 2;  // with the listener and one being accepted

  // Listens at once; throws boost::system::system_error.
  Operator(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Reply reply);
  ~Operator();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;

  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  Reply reply_;
  std::list<std::shared_ptr<Caller>> callers_;  // the oldest first
};

}  // namespace firspool::relay
