#include "sim_budgets.h"

#include <algorithm>

namespace umberhoist::lab {

using nlohmann::json;

namespace {

class BudgetPlay {
 public:
  BudgetPlay(const Scenario& scenario, uint64_t seed)
      : scenario_(scenario),
        plan_(draw(scenario, seed)),
        period_(time_of(scenario.sim.period_ms / 1000)),
        term_(6 * period_),
        policy_audit_(term_),
        audit_(scenario.relays, period_, term_, [this] { return network_.now(); }),
        chance_(seed, 37),
        folders_(static_cast<size_t>(scenario.relays)),
        network_(scenario.relays, seed, [this](int member, uint64_t own, int) { return make(member, own); }) {
    for (int i = 0; i < scenario.relays; ++i) {
      std::uniform_real_distribution<double> rate(1 - 0.4 / fleet::kInverseDriftBound,
                                                  1 + 0.4 / fleet::kInverseDriftBound);
      clocks_.push_back({static_cast<Time>(chance_() % 1'000'000'000) + fleet::kSecond, rate(chance_)});
    }
  }

  json run() {
    std::set<int> cut;
    bool one_way = false;
    for (int i = 0; i < scenario_.relays; ++i) network_.start(i);
    const Time last = lay_faults(network_, plan_, cut, one_way, [this](int r, const std::string& folder) {
      if (folder == "emptied") folders_[static_cast<size_t>(r)] = {};
      network_.start(r);
    });
    const Time length = time_of(scenario_.length_s);
    lay_wholes(length);
    lay_deaths(length);
    change_ = std::max(last, length);
    const Time end = change_ + time_of(scenario_.settle_s);
    for (Time t = 0; t < end; t += period_) {
      network_.run(t);
      audit_.look();
      look(t);
    }
    return result(end);
  }

 private:
  using Folder = AgreementGuest::Folder;

  std::unique_ptr<fleet::StateMachine> make(int member, uint64_t seed) {
    const auto m = static_cast<size_t>(member);
    auto process =
        std::make_shared<BudgetProcess>(member, scenario_.relays, seed + 1, period_, term_, clocks_[m],
                                        audit_, fleet::BudgetAllocator::InjectedFault::kNone);
    auto settings =
        agreement_settings(member, scenario_.relays, scenario_.voters(), period_, term_, folders_[m].build);
    settings.piggyback = process.get();
    audit_.begins(member, std::move(process));
    auto guest = std::make_unique<AgreementGuest>(member, std::move(settings), folders_[m], policy_audit_,
                                                  clocks_[m], seed);
    guest->on_death = [this, member] {
      network_.at(network_.now(), [this, member] { network_.crash(member); });
      const Time after = static_cast<Time>(chance_() % static_cast<uint64_t>(2 * term_)) + period_;
      change_ = std::max(change_, network_.now() + after);
      network_.at(network_.now() + after, [this, member] {
        if (network_.machine(member) == nullptr) network_.start(member);
      });
    };
    return guest;
  }

  // The destinations' limits fall and rise; each relay that runs learns of it by half a second later.
  void lay_wholes(Time until) {
    for (int i = 0; i < scenario_.sim.changes; ++i) {
      const Time at = time_of(12) + (until - time_of(12)) * i / std::max(1, scenario_.sim.changes);
      const int budget = static_cast<int>(chance_() % 2);
      const double whole =
          play_whole(budget, scenario_.relays) * std::uniform_real_distribution<double>(0.3, 1)(chance_);
      network_.at(at, [this, budget, whole] {
        const Time known = fleet::kSecond / 2;
        audit_.whole(budget, whole, known);
        for (int r = 0; r < scenario_.relays; ++r) {
          const Time in = static_cast<Time>(chance_() % static_cast<uint64_t>(known));
          network_.at(network_.now() + in, [this, r, budget] { learn(r, budget); });
        }
      });
    }
  }

  void learn(int relay, int budget) {
    if (network_.up(relay)) return audit_.process(relay)->knows(budget, audit_.whole(budget));
    // Stopped: once it is woken. Down: it learns at its start.
    if (network_.machine(relay) == nullptr) return;
    network_.at(network_.now() + period_ / 4, [this, relay, budget] { learn(relay, budget); });
  }

  void lay_deaths(Time until) {
    for (int i = 0; i < scenario_.sim.deaths; ++i) {
      const Time at = time_of(12) + static_cast<Time>(chance_() % static_cast<uint64_t>(until - time_of(12)));
      const int member = static_cast<int>(chance_() % static_cast<uint64_t>(scenario_.relays));
      network_.at(at, [this, member, after = static_cast<int>(chance_() % 12)] {  // of its steps
        if (auto* g = dynamic_cast<AgreementGuest*>(network_.machine(member))) g->dies_after = after;
      });
    }
  }

  // Jain's index over those that are up, and how much of what can be in their hands is.
  void look(Time now) {
    for (const int b : {0, 3}) {
      double one = 0, two = 0;
      int up = 0;
      for (int r = 0; r < scenario_.relays; ++r) {
        if (!network_.up(r)) continue;
        const double may = audit_.process(r)->may(now, b);
        one += may;
        two += may * may;
        ++up;
      }
      const double jain = two > 0 ? one * one / (up * two) : 0;
      const double floors = kPlayFloor * (scenario_.relays - up) / scenario_.relays;
      const double used = one / (audit_.whole(b) * (1 - floors));
      if (jain < 0.98) unfair_ = now;
      if (used < 0.95) unused_ = now;
      used_sum_ += used;
      ++used_count_;
      least_jain_ = now >= change_ + 3 * term_ ? std::min(least_jain_, jain) : least_jain_;
      least_used_ = now >= change_ + 3 * term_ ? std::min(least_used_, used) : least_used_;
    }
  }

  json result(Time end) {
    json out = sim_result(scenario_, plan_, static_cast<double>(end) / 1e6);
    const auto oracle = [&](const char* name, bool held, uint64_t checked, const std::string& first) {
      out["oracles"][name] = {
          {"held", held}, {"checked", checked}, {"first_broken", held ? json(nullptr) : json(first)}};
    };
    oracle("budget_kept", audit_.broken().empty(), audit_.checked(), audit_.broken());
    oracle("everywhere_or_nowhere", policy_audit_.broken().empty(), policy_audit_.checked(),
           policy_audit_.broken());
    oracle("budget_fair", least_jain_ >= 0.98, used_count_, "Jain's index " + std::to_string(least_jain_));
    oracle("budget_used", least_used_ >= 0.95, used_count_, std::to_string(least_used_) + " in hands");
    uint64_t told = 0, given = 0;
    for (int r = 0; r < scenario_.relays; ++r) {
      told += audit_.process(r)->told;
      given += audit_.process(r)->given;
    }
    const double periods = static_cast<double>(end) / static_cast<double>(period_);
    json& f = out["figures"];
    f["messages"] = static_cast<double>(network_.datagrams());
    f["fair_after_s"] = std::max(0.0, static_cast<double>(unfair_ + period_ - change_) / 1e6);
    f["used_after_s"] = std::max(0.0, static_cast<double>(unused_ + period_ - change_) / 1e6);
    f["used_mean"] = used_sum_ / static_cast<double>(used_count_);
    f["used_at_end_least"] = least_used_;
    f["jain_at_end_least"] = least_jain_;
    f["most_over_lowered"] = audit_.most_over();
    f["told_bytes_per_member_and_period"] = static_cast<double>(told) / scenario_.relays / periods;
    f["given_bytes_per_member_and_period"] = static_cast<double>(given) / scenario_.relays / periods;
    f["bytes_per_member_and_period"] = static_cast<double>(network_.all_bytes()) / scenario_.relays / periods;
    return out;
  }

  const Scenario& scenario_;
  Plan plan_;
  Time period_;
  Time term_;
  PolicyAudit policy_audit_;
  BudgetAudit audit_;
  Chance chance_;
  std::vector<Folder> folders_;
  std::vector<AgreementGuest::Clock> clocks_;
  SimNetwork network_;
  Time change_ = 0;  // the last fault is over
  Time unfair_ = 0, unused_ = 0;
  double used_sum_ = 0;
  uint64_t used_count_ = 0;
  double least_jain_ = 1, least_used_ = 1;
};

}  // namespace

json simulate_budgets(const Scenario& scenario, uint64_t seed) { return BudgetPlay(scenario, seed).run(); }

}  // namespace umberhoist::lab
