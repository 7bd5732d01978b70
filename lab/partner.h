// A roaming partner: one destination with its endpoints, played over HTTP/1.1 on loopback. The model is the
// protocol page's and the operators' brief's:
//
// - An endpoint has cores, a short queue behind them, a log-normal pace, and holds only so many connections.
// - The destination takes a plain rate from all relays together; refused calls use it up too; a part of the
//   refusals tell how long to wait. Every answer reports the share left (x0) and the limit (x1), refreshed at
//   times.
// - In trouble it is down (connections refused), silent (nothing comes up, nothing is answered), hung (takes
// calls,
//   never answers), slow, lossy (answers get lost after the call has run), erring (500) or shut (503 until it
//   opens).
// - After an outage it returns with `start_capacity` of its capacity and is warm after `cold_s`. Sent more
// than
//   `fall_multiple` times what it can do for `fall_s`, it falls over and stays down.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "rule_plan.h"
#include "world.h"

namespace umberhoist::lab {

class Partner {
 public:
  Partner(World& world, int number);
  ~Partner();

  struct Listed {
    std::string id;
    std::string address;
    std::string phase;
    std::string zone;
  };
  std::vector<Listed> listed() const;
  int number() const { return number_; }
  int changes() const { return changes_; }  // of its list, so far; grows with each
  bool large() const { return spec_.large; }
  double limit() const { return spec_.limit; }
  const char* kind() const { return kKinds[spec_.large ? 0 : 1]; }

  void trouble(const std::string& state, double factor, double lasts);
  void lower_limit(double factor);
  // One endpoint is replaced: a new one joins, the old one is leaving, and later gone. Returns the old one's
  // id.
  std::string replace_one();
  void remove_left();

 private:
  class Endpoint;
  class Session;

  enum class State { kUp, kDown, kSilent, kHung, kSlow, kLossy, kErrors, kShut };
  static bool outage(State state) {
    return state == State::kDown || state == State::kSilent || state == State::kHung || state == State::kShut;
  }

  double limit_now() const { return spec_.limit * limit_factor_; }
  double capacity() const;  // share of it, now: below 1 while cold
  void refill();
  std::string report();
  std::string refusal(double& told);  // above the limit, or shut
  void arrived(int relay);
  void recover();
  void fall();

  World& world_;
  int number_;
  PlannedPartner spec_;
  State state_ = State::kUp;
  double factor_ = 1;
  double open_at_ = 0;  // shut until then
  bool fallen_ = false;
  double warm_from_ = -1;  // cold since
  double limit_factor_ = 1;
  double tokens_;
  double refilled_ = 0;
  double reported_at_ = -1;
  double reported_left_ = 1;
  double reported_limit_ = 0;
  std::deque<std::pair<double, int>> arrivals_;  // while cold: when, by which relay
  int changes_ = 0;
  int made_ = 0;  // endpoints so far
  std::vector<std::shared_ptr<Endpoint>> endpoints_;
};

}  // namespace umberhoist::lab
