// One machine of a partner: its listener, its cores and the queue behind them.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <set>

#include "partner.h"

namespace umberhoist::lab {

class Partner::Endpoint : public std::enable_shared_from_this<Endpoint> {
 public:
  Endpoint(Partner& owner, std::string id);
  ~Endpoint() { close_all(); }

  void open();                                                     // accepts
  void shut(bool silent);                                          // down: refuses; silent: nothing comes up
  void close_all(bool reset = true);                               // connections
  bool run(const std::shared_ptr<Session>& session, double time);  // false: cores and queue are full
  void done();
  int cores() const { return std::max(1, static_cast<int>(std::round(cores_ * owner_.capacity()))); }

  std::string id;
  std::string phase = "active";
  std::string zone;
  tcp::endpoint address;

 private:
  friend class Session;
  void accept();

  Partner& owner_;
  int cores_;
  int running_ = 0;
  std::deque<std::pair<std::shared_ptr<Session>, double>> queue_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  std::vector<tcp::socket> fillers_;  // keep the accept queue full while silent
  std::set<std::shared_ptr<Session>> sessions_;
};

}  // namespace umberhoist::lab
