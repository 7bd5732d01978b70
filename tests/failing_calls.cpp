// Preloaded into a relay, lets its system calls fail by a seeded plan, in the ways that Linux documents.
//
// FAILING_CALLS holds NAME=VALUE pairs with commas between: `seed`; shares of calls that fail, by name:
// `interrupt` (EINTR of send, recv, epoll_wait), `short` (sends and receives of one byte), `accept`,
// `socket`, `connect`, `setsockopt`, `watch` (epoll_ctl that adds a socket), and of regular files `write`
// (cut short, then ENOSPC), `eio` (writes), `read` (EIO), `truncate`, `rename`; files fail for the first
// `spell_ms` of every `period_ms` only. The wall clock is `clock_step_s` ahead in every second span of
// `clock_every_s` seconds.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <initializer_list>
#include <random>

namespace {

template <typename Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

double setting(const char* name, double otherwise = 0) {
  const char* text = std::getenv("FAILING_CALLS");
  const size_t length = std::strlen(name);
  while (text != nullptr && *text != '\0') {
    if (std::strncmp(text, name, length) == 0 && text[length] == '=') return std::atof(text + length + 1);
    text = std::strchr(text, ',');
    if (text != nullptr) ++text;
  }
  return otherwise;
}

std::mt19937_64& random_bits() {
  static std::mt19937_64 bits(static_cast<uint64_t>(setting("seed", 1)) * 1'000'003 +
                              static_cast<uint64_t>(::getpid()));
  return bits;
}

bool chance(double share) { return share > 0 && std::bernoulli_distribution(share)(random_bits()); }

int fail(std::initializer_list<int> errors) {
  const size_t which = random_bits()() % errors.size();
  errno = *(errors.begin() + which);
  return -1;
}

bool in_spell() {
  static const double period = setting("period_ms", 4000);
  static const double spell = setting("spell_ms", 0);
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  const double ms = static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
  return ms - period * static_cast<double>(static_cast<long long>(ms / period)) < spell;
}

bool is_regular(int fd) {
  struct stat what {};
  return ::fstat(fd, &what) == 0 && S_ISREG(what.st_mode);
}

bool is_socket(int fd) {
  struct stat what {};
  return ::fstat(fd, &what) == 0 && S_ISSOCK(what.st_mode);
}

bool interrupted() {
  static const double share = setting("interrupt");
  return chance(share);
}

size_t shortened(size_t count) {
  static const double share = setting("short");
  return count > 1 && chance(share) ? 1 : count;
}

}  // namespace

extern "C" {

ssize_t write(int fd, const void* bytes, size_t count) {
  static const auto real = next<ssize_t(int, const void*, size_t)>("write");
  static const double cut = setting("write");
  static const double broken = setting("eio");
  if (fd <= 2 || count == 0 || !in_spell() || !is_regular(fd)) return real(fd, bytes, count);
  if (chance(broken)) return fail({EIO});
  if (!chance(cut)) return real(fd, bytes, count);
  const size_t some = random_bits()() % count;
  return some == 0 ? fail({ENOSPC}) : real(fd, bytes, some);
}

ssize_t read(int fd, void* bytes, size_t count) {
  static const auto real = next<ssize_t(int, void*, size_t)>("read");
  static const double broken = setting("read");
  if (broken > 0 && in_spell() && is_regular(fd) && chance(broken)) return fail({EIO});
  return real(fd, bytes, count);
}

int ftruncate(int fd, off_t size) noexcept {
  static const auto real = next<int(int, off_t)>("ftruncate");
  static const double share = setting("truncate");
  return in_spell() && chance(share) ? fail({EIO}) : real(fd, size);
}

int rename(const char* from, const char* to) noexcept {
  static const auto real = next<int(const char*, const char*)>("rename");
  static const double share = setting("rename");
  return in_spell() && chance(share) ? fail({ENOSPC, EIO}) : real(from, to);
}

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto real = next<int(clockid_t, timespec*)>("clock_gettime");
  static const auto step = static_cast<time_t>(setting("clock_step_s"));
  static const auto every = static_cast<time_t>(setting("clock_every_s", 3));
  const int result = real(clock, now);
  if (result != 0 || clock != CLOCK_REALTIME || step == 0) return result;
  timespec steady{};
  real(CLOCK_MONOTONIC, &steady);
  if (steady.tv_sec / every % 2 == 1) now->tv_sec += step;
  return result;
}

ssize_t send(int fd, const void* bytes, size_t count, int flags) {
  static const auto real = next<ssize_t(int, const void*, size_t, int)>("send");
  return interrupted() ? fail({EINTR}) : real(fd, bytes, shortened(count), flags);
}

ssize_t recv(int fd, void* bytes, size_t count, int flags) {
  static const auto real = next<ssize_t(int, void*, size_t, int)>("recv");
  return interrupted() ? fail({EINTR}) : real(fd, bytes, shortened(count), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real = next<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (interrupted()) return fail({EINTR});
  if (message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0) return real(fd, message, flags);
  iovec first = message->msg_iov[0];
  first.iov_len = shortened(first.iov_len);
  if (first.iov_len == message->msg_iov[0].iov_len) return real(fd, message, flags);
  msghdr less = *message;
  less.msg_iov = &first;
  less.msg_iovlen = 1;
  return real(fd, &less, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto real = next<ssize_t(int, msghdr*, int)>("recvmsg");
  return interrupted() ? fail({EINTR}) : real(fd, message, flags);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  static const auto real = next<int(int, epoll_event*, int, int)>("epoll_wait");
  return interrupted() ? fail({EINTR}) : real(fd, events, most, timeout);
}

int accept(int fd, sockaddr* address, socklen_t* length) {
  static const auto real = next<int(int, sockaddr*, socklen_t*)>("accept");
  static const double share = setting("accept");
  return chance(share) ? fail({ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR}) : real(fd, address, length);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = next<int(int, int, int)>("socket");
  static const double share = setting("socket");
  return chance(share) ? fail({ENFILE, EMFILE, ENOBUFS, ENOMEM}) : real(domain, type, protocol);
}

int setsockopt(int fd, int level, int name, const void* value, socklen_t length) noexcept {
  static const auto real = next<int(int, int, int, const void*, socklen_t)>("setsockopt");
  static const double share = setting("setsockopt");
  return chance(share) ? fail({ENOBUFS, ENOMEM}) : real(fd, level, name, value, length);
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static const auto real = next<int(int, int, int, epoll_event*)>("epoll_ctl");
  static const double share = setting("watch");
  return operation == EPOLL_CTL_ADD && is_socket(fd) && chance(share) ? fail({ENOMEM, ENOSPC})
                                                                      : real(epoll, operation, fd, event);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto real = next<int(int, const sockaddr*, socklen_t)>("connect");
  static const double share = setting("connect");
  return chance(share) ? fail({EADDRNOTAVAIL, EAGAIN, EINTR}) : real(fd, address, length);
}

}  // extern "C"
