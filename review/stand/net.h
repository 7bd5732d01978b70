// Loopback sockets for the stand-ins, blocking, with time limits.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "record.h"

namespace review {

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { close(); }

  static Socket connect(int port);  // not open: refused

  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void close();
  void reset();                         // the peer sees a reset
  void shut_down();                     // wakes whoever waits in it
  void wait_at_most(int ms);            // a read that takes longer fails
  bool send(const std::string& bytes);  // all of it
  bool line(std::string& out);          // without its end; false: the stream is over, or the time is
  bool exactly(size_t n, std::string& out);
  bool await_byte();  // something can be read

 private:
  bool fill();

  int fd_;
  std::string buffer_;
};

// Accepts on a loopback port and serves each connection in a thread of its own until it is destroyed.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;

  explicit Server(Serve serve);
  ~Server();
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void stop();  // refuses new connections and ends those that there are

 private:
  void accept();

  Serve serve_;
  Socket listener_;
  int port_ = 0;
  std::atomic<bool> over_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

int free_port();             // it was free a moment ago
Socket listen_on(int port);  // on loopback; 0: a free one

}  // namespace review
