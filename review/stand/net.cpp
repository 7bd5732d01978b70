#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <utility>

namespace review {
namespace {

sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

int port_of(const Socket& socket) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

}  // namespace

Socket listen_on(int port) {
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(out.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = loopback(port);
  if (::bind(out.fd(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(out.fd(), 256) != 0)
    throw CannotRun("cannot listen on a loopback port");
  return out;
}

Socket::Socket(Socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  std::swap(buffer_, other.buffer_);
  return *this;
}

Socket Socket::connect(int port) {
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at = loopback(port);
  if (::connect(out.fd(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return Socket();
  const int on = 1;
  ::setsockopt(out.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return out;
}

void Socket::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  buffer_.clear();
}

void Socket::reset() {
  const linger at_once{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

void Socket::shut_down() { ::shutdown(fd_, SHUT_RDWR); }

void Socket::wait_at_most(int ms) {
  const timeval limit{ms / 1000, ms % 1000 * 1000};
  ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

bool Socket::send(const std::string& bytes) {
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

bool Socket::fill() {
  char bytes[16 * 1024];
  const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
  if (n <= 0) return false;
  buffer_.append(bytes, static_cast<size_t>(n));
  return true;
}

bool Socket::await_byte() { return !buffer_.empty() || fill(); }

bool Socket::line(std::string& out) {
  size_t end = 0;
  while ((end = buffer_.find('\n')) == std::string::npos) {
    if (!fill()) return false;
  }
  out = buffer_.substr(0, end);
  if (out.ends_with('\r')) out.pop_back();
  buffer_.erase(0, end + 1);
  return true;
}

bool Socket::exactly(size_t n, std::string& out) {
  while (buffer_.size() < n) {
    if (!fill()) return false;
  }
  out = buffer_.substr(0, n);
  buffer_.erase(0, n);
  return true;
}

Server::Server(Serve serve) : serve_(std::move(serve)), listener_(listen_on(0)) {
  port_ = port_of(listener_);
  acceptor_ = std::thread([this] { accept(); });
}

Server::~Server() { stop(); }

void Server::stop() {
  if (over_.exchange(true)) return;
  listener_.shut_down();
  acceptor_.join();
  listener_.close();
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
}

void Server::accept() {
  while (!over_) {
    const int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    open_.insert(fd);
    threads_.emplace_back([this, fd] {
      Socket socket(fd);
      serve_(socket);
      const std::lock_guard done(mutex_);
      open_.erase(fd);
      socket.close();
    });
  }
}

// Below the system's own ports, so that no connection takes it meanwhile.
int free_port() {
  static int next = 15'000 + ::getpid() * 397 % 16'000;  // cases may run side by side
  for (int tries = 0; tries < 5'000; ++tries) {
    next = next < 31'000 ? next + 1 : 15'000;
    try {
      listen_on(next);
      return next;
    } catch (const CannotRun&) {
    }
  }
  throw CannotRun("no free port");
}

}  // namespace review
