#include "sim_agreement.h"

#include <algorithm>

namespace umberhoist::lab {

using fleet::Agreement;
using nlohmann::json;

namespace {

class AgreementPlay {
 public:
  AgreementPlay(const Scenario& scenario, uint64_t seed)
      : scenario_(scenario),
        plan_(draw(scenario, seed)),
        period_(time_of(scenario.sim.period_ms / 1000)),
        term_(6 * period_),
        audit_(term_),
        chance_(seed, 31),
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
      if (folder == "emptied")
        folders_[static_cast<size_t>(r)] = {"", folders_[static_cast<size_t>(r)].build, 0};
      network_.start(r);
    });
    const Time end = std::max(last, time_of(scenario_.length_s)) + time_of(scenario_.settle_s);
    lay_changes(time_of(scenario_.length_s));
    lay_deaths(last);
    for (Time t = 0; t < end; t += period_) {
      network_.run(t);
      look(t);
    }
    return result(end);
  }

 private:
  std::unique_ptr<fleet::StateMachine> make(int member, uint64_t seed) {
    Folder& folder = folders_[static_cast<size_t>(member)];
    auto guest = std::make_unique<AgreementGuest>(
        member,
        agreement_settings(member, scenario_.relays, scenario_.voters(), period_, term_, folder.build),
        folder, audit_, clocks_[static_cast<size_t>(member)], seed);
    guest->on_death = [this, member] {
      ++deaths_;
      network_.at(network_.now(), [this, member] { network_.crash(member); });
      // Back soon, later, or once all is over.
      const Time after = static_cast<Time>(chance_() % static_cast<uint64_t>(3 * term_)) + period_;
      network_.at(network_.now() + after, [this, member] {
        if (network_.machine(member) == nullptr) network_.start(member);
      });
    };
    return guest;
  }

  AgreementGuest* guest(int i) { return dynamic_cast<AgreementGuest*>(network_.machine(i)); }

  void lay_changes(Time until) {
    const int wanted = scenario_.sim.changes;
    for (int i = 0; i < wanted; ++i) {
      const Time at = time_of(8) + (until - time_of(8)) * i / std::max(1, wanted);
      const std::string id = "c" + std::to_string(i);
      const bool rival = scenario_.sim.rivals && chance_() % 3 == 0,
                 aborted = scenario_.sim.rivals && chance_() % 5 == 0;
      const bool too_new = scenario_.sim.rivals && chance_() % 6 == 0;
      network_.at(at, [this, id, too_new] { propose(id, too_new ? "need=2 " + id : "need=1 " + id); });
      if (rival) network_.at(at, [this, id] { propose(id + "-rival", "need=1 rival " + id); });
      if (aborted) {
        network_.at(at + static_cast<Time>(chance_() % static_cast<uint64_t>(term_)), [this, id] {
          if (AgreementGuest* g = anyone()) {
            g->agreement().abort(g->local(network_.now()), id);
            g->carry_out(network_.now());
            network_.nudge(last_anyone_);
          }
        });
      }
    }
  }

  // Processes that die between two steps of what they do.
  void lay_deaths(Time until) {
    for (int i = 0; i < scenario_.sim.deaths; ++i) {
      const Time at =
          time_of(8) + static_cast<Time>(chance_() % static_cast<uint64_t>(std::max<Time>(1, until)));
      const int member = static_cast<int>(chance_() % static_cast<uint64_t>(scenario_.relays));
      const int after = static_cast<int>(chance_() % 12);
      network_.at(at, [this, member, after] {
        if (AgreementGuest* g = guest(member)) g->dies_after = after;
      });
    }
  }

  AgreementGuest* anyone() {
    for (int tries = 0; tries < 20; ++tries) {
      last_anyone_ = static_cast<int>(chance_() % static_cast<uint64_t>(scenario_.relays));
      if (network_.up(last_anyone_)) return guest(last_anyone_);
    }
    return nullptr;
  }

  void propose(const std::string& id, const std::string& text) {
    AgreementGuest* g = anyone();
    if (g == nullptr) return;
    const std::string no = g->agreement().propose(g->local(network_.now()), id, text, 0);
    if (no.empty()) {
      proposed_[id] = network_.now();
    } else {
      ++turned_down_;
    }
    g->carry_out(network_.now());
    network_.nudge(last_anyone_);
  }

  void look(Time now) {
    for (int i = 0; i < scenario_.relays; ++i) {
      if (!network_.up(i)) continue;
      AgreementGuest* g = guest(i);
      const Agreement::View v = g->agreement().view(g->local(now));
      for (const auto& o : v.outcomes) {
        if (o.result == fleet::Outcome::Result::kAborted) audit_.aborted(o.id);
        const auto asked = proposed_.find(o.id);
        if (asked == proposed_.end() || ended_.contains(o.id)) continue;
        ended_[o.id] = now - asked->second;
        if (o.result == fleet::Outcome::Result::kInForce) in_force_[o.version] = {asked->second, -1};
      }
    }
    for (auto& [version, when] : in_force_) {
      if (when.second >= 0) continue;
      bool all = true;
      for (int i = 0; i < scenario_.relays && all; ++i) {
        all = !network_.up(i) || (audit_.version(i) >= version && audit_.open(i, now));
      }
      if (all) when.second = now - when.first;
    }
  }

  json result(Time end) {
    json out = sim_result(scenario_, plan_, static_cast<double>(end) / 1e6);
    std::string unsettled;
    uint64_t newest = 0;
    for (int i = 0; i < scenario_.relays; ++i) newest = std::max(newest, audit_.version(i));
    for (int i = 0; i < scenario_.relays; ++i) {
      if (!network_.up(i)) continue;
      AgreementGuest* g = guest(i);
      const Agreement::View v = g->agreement().view(g->local(end));
      if (v.version != newest || !v.closed_reason.empty()) {
        unsettled = member_name(i) + " holds version " + std::to_string(v.version) + " of " +
                    std::to_string(newest) + (v.closed_reason.empty() ? "" : ", shut: " + v.closed_reason);
      }
      if (v.change) unsettled = member_name(i) + " still sees " + v.change->id + " under way";
      if (!v.pending_request.empty()) unsettled = member_name(i) + " still hands in " + v.pending_request;
    }
    out["oracles"]["everywhere_or_nowhere"] = {
        {"held", audit_.broken().empty()},
        {"checked", audit_.checked()},
        {"first_broken", audit_.broken().empty() ? json(nullptr) : json(audit_.broken())}};
    out["oracles"]["settled"] = {{"held", unsettled.empty()},
                                 {"checked", scenario_.relays},
                                 {"first_broken", unsettled.empty() ? json(nullptr) : json(unsettled)}};
    json& f = out["figures"];
    const auto add = [&](const std::string& name, std::vector<double> all) {
      std::ranges::sort(all);
      f[name + "_median_s"] = all.empty() ? -1 : all[all.size() / 2];
      f[name + "_most_s"] = all.empty() ? -1 : all.back();
    };
    std::vector<double> ends, holds;
    for (const auto& [id, took] : ended_) ends.push_back(static_cast<double>(took) / 1e6);
    for (const auto& [version, when] : in_force_) {
      if (when.second >= 0) holds.push_back(static_cast<double>(when.second) / 1e6);
    }
    add("ended_after", ends);
    add("held_by_all_after", holds);
    size_t largest = 0, writes = 0;
    for (const Folder& folder : folders_) {
      largest = std::max(largest, folder.file.size());
      writes += folder.writes;
    }
    f["messages"] = static_cast<double>(network_.datagrams());
    f["proposed"] = static_cast<double>(proposed_.size());
    f["turned_down"] = static_cast<double>(turned_down_);
    f["ended"] = static_cast<double>(ended_.size());
    f["in_force"] = static_cast<double>(in_force_.size());
    f["deaths"] = static_cast<double>(deaths_);
    f["longest_mix_s"] = static_cast<double>(audit_.longest_mix()) / 1e6;
    f["largest_file"] = static_cast<double>(largest);
    f["writes_per_relay"] = static_cast<double>(writes) / scenario_.relays;
    f["bytes_per_member_and_period"] = static_cast<double>(network_.all_bytes()) / scenario_.relays /
                                       (static_cast<double>(end) / static_cast<double>(period_));
    return out;
  }

  using Folder = AgreementGuest::Folder;

  const Scenario& scenario_;
  Plan plan_;
  Time period_;
  Time term_;
  PolicyAudit audit_;
  Chance chance_;
  std::vector<Folder> folders_;
  std::vector<AgreementGuest::Clock> clocks_;
  SimNetwork network_;
  int last_anyone_ = 0;
  std::map<std::string, Time> proposed_;
  std::map<std::string, Time> ended_;                   // after so long
  std::map<uint64_t, std::pair<Time, Time>> in_force_;  // proposed when, held by all after
  int turned_down_ = 0;
  int deaths_ = 0;
};

}  // namespace

json simulate_agreement(const Scenario& scenario, uint64_t seed) {
  return AgreementPlay(scenario, seed).run();
}

}  // namespace umberhoist::lab
