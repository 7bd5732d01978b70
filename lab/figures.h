// What a play measured: counts by the second of the play, worth by message, latencies as a histogram.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

#include "plan.h"

namespace umberhoist::lab {

// Jain's index of fairness: 1 where all have the same, 1/n where one has all; 1 of nothing.
double jain(const std::vector<double>& shares);

class Figures {
 public:
  Figures(const Scenario& scenario, const Plan& plan);

  // A message, by when it was first handed in.
  void asked(size_t message);
  void withdrawn(size_t message);  // its client left: nobody waits for it
  void served(size_t message, double now, int relay);
  void refused(double now);   // at the door
  void returned(double now);  // by a notice
  void failed(double now);

  void call(double now, int partner, int relay, bool in_outage);
  void refused_call(double now, int partner);  // above a limit, or shut
  void connected(double now, int partner);
  void outage(double now, int partner, double lasts);
  void fell(double now, int partner);
  void asked_for_list(double now, int relay);
  void used(double now, int relay, double cpu_s, double memory_bytes, int descriptors);
  void view_settled(double after) { view_settled_ = std::max(view_settled_, after); }
  void policy(double longest_mix, double slowest, int in_force) {
    policy_mix_ = longest_mix;
    policy_slowest_ = slowest;
    policy_in_force_ = in_force;
  }
  void add(const std::string& name, double value) { more_[name] = value; }  // of a part of its own
  void policy_turned_down() { ++policy_turned_down_; }
  void lab_used(double share_of_core) { lab_cpu_ = share_of_core; }

  // {"figures":{...},"series":{...}}; the play ended at `end`.
  nlohmann::json result(double end) const;

 private:
  struct Served {
    double at = -1;
    double worth = 0;
    bool asked = false;
  };
  struct Bin {
    double asked = 0;  // worth
    double served = 0;
    double calls = 0;
    double refused_calls = 0;
    double connects = 0;
    double refused = 0;
    double returned = 0;
    double failed = 0;
    double asks = 0;
    double scouts = 0;
  };

  Bin& bin(double now) { return bins_[static_cast<size_t>(std::max(0.0, std::min(now, 1e5)))]; }
  double share(const std::function<bool(size_t)>& which) const;
  double recovered(const Fault& fault, double end) const;

  const Scenario& scenario_;
  const Plan& plan_;
  std::vector<Served> messages_;
  std::map<size_t, Bin> bins_;  // by second
  std::vector<double> by_relay_;
  int outages_ = 0;
  int fallen_ = 0;
  std::vector<double> memory_;
  std::vector<double> cpu_;
  int descriptors_ = 0;
  double lab_cpu_ = 0;
  double view_settled_ = -1;  // the slowest
  double policy_mix_ = -1;
  double policy_slowest_ = -1;
  int policy_in_force_ = -1;  // -1: none was changed
  int policy_turned_down_ = 0;
  std::map<std::string, double> more_;
  std::vector<std::pair<double, double>> memory_series_;
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(120, 1e-3, 1e2))) latency_;
};

}  // namespace umberhoist::lab
