// The clients' side of the relay under a test's control: the loop runs only where the test says so, and the
// test's sockets send between two of its steps.
#pragma once

#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <functional>
#include <memory>

#include "clients.h"
#include "peers.h"

namespace firspool::relay {

class ClientsStage : public ::testing::Test {
 protected:
  using Socket = testing::Socket;

  static constexpr const char* kFacts = "c=safe,d=8000,dest=7";
  static constexpr const char* kPing = "*1\r\n$4\r\nPING\r\n";
  static inline const std::string kPong = "+PONG\r\n";
  static constexpr Time kQuiet = 2'000'000;  // a connection at rest is ended then

  void serve(Clients::Limits limits) {
    clients_ = std::make_unique<Clients>(
        io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), std::optional<int>(), limits,
        [this](Handed handed, Clients::Answer answer) {
          handed_.push_back(handed.id);
          due_.push_back(handed.budget.due());
          if (decide_) return answer("+OK");
          answers_.push_back(std::move(answer));
        },
        [] { return "-BUSY 700"; });
    port_ = clients_->address().port();
  }
  Socket connect() const { return Socket::connect(port_); }

  // The last turn of the process.
  void end() {
    clients_->end_reading();
    settle();
  }
  // Runs what is ready, until nothing is.
  void settle() {
    io_.restart();
    while (io_.poll() > 0) io_.restart();
  }
  // Runs the loop until something holds; only a failure reaches the deadline.
  [[nodiscard]] bool run_until(const std::function<bool()>& holds) {
    const Time until = steady_now() + Time{testing::kDeadlineMs} * 1000;
    bool held = holds();
    while (!held && steady_now() < until) {
      io_.restart();
      io_.run_one_for(std::chrono::milliseconds(5));
      held = holds();
    }
    return held;
  }
  [[nodiscard]] bool run_to(size_t handed) {
    return run_until([&] { return handed_.size() >= handed; });
  }
  // Lets time pass in which the loop does not run.
  static void stall(Time time) { std::this_thread::sleep_for(std::chrono::microseconds(time)); }

  static size_t waiting(const Socket& socket) {  // bytes that the peer could read
    int count = 0;
    ::ioctl(socket.fd(), FIONREAD, &count);
    return static_cast<size_t>(count);
  }
  // Bytes of the client's that the relay's end, in this process, has not read.
  static size_t unread_by_relay(const Socket& client) {
    sockaddr_in own{}, peer{};
    socklen_t size = sizeof own;
    ::getsockname(client.fd(), reinterpret_cast<sockaddr*>(&own), &size);
    int count = 0;
    for (int fd = 3; fd < 1024; ++fd) {
      size = sizeof peer;
      if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) continue;
      if (peer.sin_port == own.sin_port) ::ioctl(fd, FIONREAD, &count);
    }
    return static_cast<size_t>(count);
  }
  // The stream's end or a reset is there, with nothing before it.
  static bool over(const Socket& socket) {
    char byte = 0;
    const ssize_t got = ::recv(socket.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN);
  }
  // A reset behind the stream's end shows in this alone.
  static int error_of(const Socket& socket) {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }
  // All that the peer can read up to the end; what an orderly end is not shows as "reset".
  std::string read_all(const Socket& socket) {
    std::string out;
    std::string end;
    const bool came = run_until([&] {
      char bytes[4096];
      const ssize_t got = ::recv(socket.fd(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (got > 0) out.append(bytes, static_cast<size_t>(got));
      if (got == 0) end = error_of(socket) == 0 ? "end" : "reset";
      if (got < 0 && errno != EAGAIN) end = "reset";
      return !end.empty();
    });
    return out + (came ? end : "nothing");
  }

  boost::asio::io_context io_;
  bool decide_ = false;  // at once, for all
  std::vector<std::string> handed_;
  std::vector<Time> due_;  // of each
  std::vector<Clients::Answer> answers_;
  std::unique_ptr<Clients> clients_;
  uint16_t port_ = 0;
};

}  // namespace firspool::relay
