// What every protocol between relays is to those that drive it: a state machine with no socket, clock or
// chance of its own. Time, datagrams and a seed go in; datagrams and a time to be woken come out. The same
// object runs in service, on the lab's simulated clock and under the model checker.
//
// Contract: times never go back between calls on one object. Each call may leave datagrams, which the driver
// takes with take() right after it and sends in that order; the network may lose, delay, repeat and reorder
// them. The driver calls woke() at next() or later; a call that comes late (a busy core, a stopped process)
// is allowed and must do no harm. `from` is the member whose address a datagram came from, as the driver's
// configuration has it; what it says of itself is the machine's to check against that. Not safe for use by
// several threads.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace umberhoist::fleet {

using Time = int64_t;  // microseconds on a steady clock of unspecified origin
constexpr Time kMs = 1000;
constexpr Time kSecond = 1'000'000;
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr size_t kMostName = 64;  // bytes of a member's name

struct Datagram {
  std::string to;  // a member's name
  std::string bytes;
  bool operator==(const Datagram&) const = default;
};

class Machine {
 public:
  virtual ~Machine() = default;

  virtual void start(Time now) = 0;
  virtual void received(Time now, const std::string& from, std::string_view bytes) = 0;
  virtual void woke(Time now) = 0;
  virtual Time next() const = 0;  // kNever: nothing to wait for

  std::vector<Datagram> take() { return std::exchange(out_, {}); }

 protected:
  void send(std::string to, std::string bytes) { out_.push_back({std::move(to), std::move(bytes)}); }

 private:
  std::vector<Datagram> out_;
};

}  // namespace umberhoist::fleet
