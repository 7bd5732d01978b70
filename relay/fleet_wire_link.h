// One connection between two relays: its frames, and who its other side is.
#pragma once

#include <array>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "budget.h"
#include "fleet_wire.h"

namespace firspool::relay {

// A message as it goes over the wire: behind its length.
std::string frame(std::string_view bytes);

class FleetWire::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(FleetWire& owner, tcp::socket socket);

  std::list<std::shared_ptr<Link>>::iterator place;
  std::string peer;  // empty: it has not said yet

  // False: it could not be begun, and is gone.
  bool dial(const std::string& to, const tcp::endpoint& at);
  void accepted();
  bool push(std::string bytes);  // a frame; false: too much waits for the peer already
  bool silent() const;           // sent to, and nothing came for kSilence periods
  void close();
  void orphan();  // the owner is gone

 private:
  // For the connection to come up, or for its other side to say who it is.
  void limit();
  void begin();
  void read();
  void heard();
  bool hello();
  void write();

  FleetWire* owner_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  bool connected_ = false;
  bool writing_ = false;
  Time unanswered_ = 0;  // since when it has been sent to and nothing came
  size_t queued_ = 0;
  std::deque<std::string> out_;
  std::array<unsigned char, 4> head_;
  std::string in_;
};

}  // namespace firspool::relay
