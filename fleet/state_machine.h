// Interface of the protocols between relays: a state machine without sockets, clocks or randomness of its
// own. Its inputs are the time, datagrams and a seed; its outputs are datagrams and the time at which it
// wants to be called next. The same object runs in the relay, on the lab's simulated clock and in the model
// checker.
//
// Contract: time never decreases between calls on one object. Every call may queue datagrams; the driver
// takes them with take_datagrams() right after the call and sends them in that order. The network may lose,
// delay, duplicate and reorder datagrams. The driver calls on_timer() at next_wakeup() or later: a late call
// (busy core, stopped process) must not break the protocol. `from` is the member whose configured address the
// datagram came from; the state machine checks what the datagram claims about its sender against it. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace umberhoist::fleet {

using Time = int64_t;  // microseconds on a steady clock with an unspecified epoch
constexpr Time kMs = 1000;
constexpr Time kSecond = 1'000'000;
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr size_t kMaxNameSize = 64;  // bytes of a member's name

struct Datagram {
  std::string to;  // name of the receiving member
  std::string bytes;
  bool operator==(const Datagram&) const = default;
};

class StateMachine {
 public:
  virtual ~StateMachine() = default;

  virtual void start(Time now) = 0;
  virtual void on_datagram(Time now, const std::string& from, std::string_view bytes) = 0;
  virtual void on_timer(Time now) = 0;
  virtual Time next_wakeup() const = 0;  // kNever: no timer is pending

  std::vector<Datagram> take_datagrams() { return std::exchange(outgoing_, {}); }

 protected:
  void send(std::string to, std::string bytes) { outgoing_.push_back({std::move(to), std::move(bytes)}); }

 private:
  std::vector<Datagram> outgoing_;
};

}  // namespace umberhoist::fleet
