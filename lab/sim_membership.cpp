// The view of the fleet on the simulated clock: how soon it settles, whom it takes for dead wrongly, what it
// costs.
#include <algorithm>
#include <cmath>

#include "../fleet/membership.h"
#include "sim.h"

namespace umberhoist::lab {
namespace {

using fleet::Membership;
using nlohmann::json;

class MembershipPlay {
 public:
  MembershipPlay(const Scenario& scenario, uint64_t seed)
      : scenario_(scenario),
        plan_(draw(scenario, seed)),
        period_(time_of(scenario.sim.period_ms / 1000)),
        stored_(static_cast<size_t>(scenario.relays), 0),
        down_since_(stored_.size(), -1),
        network_(scenario.relays, seed,
                 [this](int member, uint64_t chance, int life) { return make(member, chance, life); }) {
    for (int i = 0; i < scenario.relays; ++i) names_.push_back(member_name(i));
  }

  json run() {
    std::set<int> cut;
    bool one_way = false;
    for (int i = 0; i < scenario_.relays; ++i) network_.start(i);
    last_fault_ = lay_faults(network_, plan_, cut, one_way, [this](int r, const std::string& folder) {
      if (folder == "emptied") stored_[static_cast<size_t>(r)] = 0;
      network_.start(r);
    });
    const Time end = std::max(last_fault_, time_of(scenario_.length_s)) + time_of(scenario_.settle_s);
    Time settled = -1;
    uint64_t bytes_before = 0;
    // At rest: the second half of what is before the first fault.
    rest_until_ = plan_.faults.empty() ? end : time_of(plan_.faults.front().at);
    rest_from_ = rest_until_ / 2;
    for (Time t = 0; t < end; t += period_ / 4) {
      network_.run(t);
      look(t);
      if (t <= rest_from_) bytes_before = network_.all_bytes();
      if (t <= rest_until_) rest_bytes_ = network_.all_bytes();
      if (t < last_fault_) continue;
      if (!agreed()) {
        settled = -1;
      } else if (settled < 0) {
        settled = t - last_fault_;
      }
    }
    return result(settled, end, bytes_before);
  }

 private:
  std::unique_ptr<fleet::StateMachine> make(int member, uint64_t chance, int life) {
    Membership::Settings s;
    s.cluster = "sim";
    s.name = member_name(member);
    s.names = names_;
    s.period = period_;
    s.version = "1";
    s.started_ms = static_cast<uint64_t>(life);
    s.incarnation = stored_[static_cast<size_t>(member)];
    s.lifeguard = s.anti_entropy = !scenario_.sim.plain;
    return std::make_unique<Membership>(std::move(s), chance);
  }

  Membership* member(int i) { return dynamic_cast<Membership*>(network_.machine(i)); }

  void look(Time now) {
    for (int i = 0; i < scenario_.relays; ++i) {
      Membership* m = member(i);
      Time& down = down_since_[static_cast<size_t>(i)];
      down = network_.up(i) ? -1 : down < 0 ? now : down;
      if (m == nullptr) continue;
      stored_[static_cast<size_t>(i)] = std::max(stored_[static_cast<size_t>(i)], m->incarnation());
      for (const Membership::Event& e : m->take_events()) {
        const int about = network_.number(e.name);
        const bool crashed = network_.machine(about) == nullptr;
        if (e.type == Membership::Event::Type::kSuspect) ++suspicions_;
        if (e.type == Membership::Event::Type::kViewsDiverged) ++disagreements_;
        if (e.type != Membership::Event::Type::kDead) continue;
        if (!crashed) {
          ++false_deaths_;
          if (first_false_.empty()) {
            first_false_ = member_name(i) + " took " + e.name + " for dead at " +
                           std::to_string(static_cast<double>(now) / 1e6) + " s";
          }
        } else {
          const Time after = now - down_since_[static_cast<size_t>(about)];
          if (first_detection_ < 0) first_detection_ = after;
          last_detection_ = std::max(last_detection_, after);
        }
      }
    }
  }

  // All that are up hold one view, and it is of all that are up.
  bool agreed() {
    uint64_t digest = 0;
    size_t up = 0;
    bool first = true;
    for (int i = 0; i < scenario_.relays; ++i) up += network_.up(i) ? 1 : 0;
    for (int i = 0; i < scenario_.relays; ++i) {
      if (!network_.up(i)) continue;
      const Membership* m = member(i);
      if (m->alive_count() != up || (!first && m->digest() != digest)) return false;
      digest = m->digest();
      first = false;
    }
    return true;
  }

  json result(Time settled, Time end, uint64_t bytes_before) {
    const double n = scenario_.relays;
    const double bound = 4 + 3 * std::log2(n);
    const double periods = settled < 0 ? -1 : static_cast<double>(settled) / static_cast<double>(period_);
    json out = sim_result(scenario_, plan_, static_cast<double>(end) / 1e6);
    const bool in_time = settled >= 0 && periods <= bound;
    char text[120];
    std::snprintf(text, sizeof text, "settled after %.2f periods of %.2f (-1: not at all)", periods, bound);
    out["oracles"]["settled"] = {{"held", in_time},
                                 {"checked", scenario_.relays},
                                 {"first_broken", in_time ? json(nullptr) : json(text)}};
    json& f = out["figures"];
    f["settle_periods"] = periods;
    f["settle_bound_periods"] = bound;
    f["false_deaths"] = static_cast<double>(false_deaths_);
    f["suspicions"] = static_cast<double>(suspicions_);
    f["disagreements"] = static_cast<double>(disagreements_);
    f["detect_first_periods"] = periods_of(first_detection_);
    f["detect_last_periods"] = periods_of(last_detection_);
    f["messages"] = static_cast<double>(network_.datagrams());
    f["bytes_per_member_and_period"] = static_cast<double>(network_.all_bytes()) / n /
                                       (static_cast<double>(end) / static_cast<double>(period_));
    f["bytes_at_rest"] =
        static_cast<double>(rest_bytes_ - bytes_before) / n / periods_of(rest_until_ - rest_from_);
    if (!first_false_.empty()) out["first_false_death"] = first_false_;
    return out;
  }

  double periods_of(Time t) const {
    return t < 0 ? -1 : static_cast<double>(t) / static_cast<double>(period_);
  }

  const Scenario& scenario_;
  Plan plan_;
  Time period_;
  std::vector<std::string> names_;
  std::vector<uint64_t> stored_;  // incarnations, as on disk
  std::vector<Time> down_since_;
  SimNetwork network_;
  Time last_fault_ = 0;
  Time rest_from_ = 0;
  Time rest_until_ = 0;
  uint64_t rest_bytes_ = 0;
  uint64_t false_deaths_ = 0;
  uint64_t suspicions_ = 0;
  uint64_t disagreements_ = 0;
  Time first_detection_ = -1;
  Time last_detection_ = -1;
  std::string first_false_;
};

}  // namespace

json simulate_membership(const Scenario& scenario, uint64_t seed) {
  return MembershipPlay(scenario, seed).run();
}

}  // namespace umberhoist::lab
