// Connections that take places and ask for nothing: silent ones, ones that stop in the middle of a request,
// and ones that asked once and stay. One that the relay ends is opened again a little later.
#pragma once

#include <memory>
#include <vector>

#include "fleet.h"

namespace umberhoist::lab {

class Crowd {
 public:
  // load.crowd connections to each relay, drawn for each.
  Crowd(World& world, const Fleet& fleet);
  ~Crowd();

  void start();
  void stop();
  void tell(Figures& figures) const;

 private:
  enum class Kind { kSilent, kHalfRequest, kAskedOnce };
  struct One;

  void connect(const std::shared_ptr<One>& one);
  void connect_later(const std::shared_ptr<One>& one);
  void stay(const std::shared_ptr<One>& one);
  void drain(const std::shared_ptr<One>& one);  // until the relay ends it

  World& world_;
  const Fleet& fleet_;
  std::vector<std::shared_ptr<One>> all_;
  bool over_ = false;
  uint64_t ended_ = 0;  // by relays
};

}  // namespace umberhoist::lab
