// The watch on the list of hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "ask_times.h"
#include "directory.h"

namespace firspool::relay {

// Follows the watch for as long as it lives: a connection that ends or falls silent is opened again.
class Watch {
 public:
  using Told = std::function<void(const HostList&)>;
  using Revision = std::function<int64_t()>;  // the one that is known

  // `current` is called after each object, and each newline between them: what there was to tell has been
  // told.
  Watch(boost::asio::io_context& io, const tcp::endpoint& address, ListNames names, AskTimes asks,
        Revision revision, Told told, std::function<void()> current);
  ~Watch();

  // Discovery has another address from now on.
  void move(const tcp::endpoint& address);
  // Lists use these names from now on.
  void rename(ListNames names) { names_ = std::move(names); }

 private:
  class Stream;

  void connect();
  void connect_after(std::chrono::milliseconds pause);
  void lost();
  bool heard(const std::string& object);  // empty: a newline between objects

  boost::asio::io_context& io_;
  AskTimes asks_;
  tcp::endpoint address_;
  ListNames names_;
  Revision revision_;
  Told told_;
  std::function<void()> current_;
  boost::asio::steady_timer pause_;
  int losses_ = 0;  // watches that were lost since a line was heard
  std::shared_ptr<Stream> stream_;
};

}  // namespace firspool::relay
