// Changes of policy on the simulated clock: whether they take hold everywhere or nowhere, and how soon.
#include "sim_agreement.h"

#include <algorithm>

namespace umberhoist::lab {

using fleet::Agreement;
using nlohmann::json;

// ---- The audit ----

void PolicyAudit::broke(Time now, const std::string& what) {
  if (broken_.empty()) broken_ = "at " + std::to_string(static_cast<double>(now) / 1e6) + " s: " + what;
}

void PolicyAudit::adopted(Time now, int relay, uint64_t version, const std::string& id,
                          const std::string& text, int build) {
  ++checked_;
  const auto [known, fresh] = texts_.try_emplace(version, text);
  if (known->second != text) {
    broke(now, "P1: " + member_name(relay) + " holds another text as version " + std::to_string(version));
  }
  if (aborted_.contains(id)) broke(now, "P2: " + member_name(relay) + " holds " + id + ", which was aborted");
  if (!cannot_hold(text, build).empty()) {
    broke(now, "P6: " + member_name(relay) + " holds what its build cannot: " + text);
  }
  Relay& r = relays_[relay];
  r.version = version;
  r.text = text;
  r.until = 0;
}

void PolicyAudit::door(Time now, int relay, Time until, int build) {
  Relay& r = relays_[relay];
  r.until = until;
  r.build = build;
  if (until <= now) return;
  ++checked_;
  if (!cannot_hold(r.text, build).empty()) {
    broke(now, "P6: " + member_name(relay) + " acts under what its build cannot hold: " + r.text);
  }
  // Leases last by their relay's clock; twice the clocks' bound covers what it may be slow by.
  const Time most = term_ + 2 * term_ / fleet::kDriftOne + 2 * fleet::kMs;
  const auto [first, fresh] = first_act_.try_emplace(r.version, now);
  const auto mixed = [&](int old, const Relay& o, uint64_t version, Time since) {
    const std::string next = texts_.contains(version) ? texts_.at(version) : "";
    longest_mix_ = std::max(longest_mix_, o.until - since);
    if (o.until > since + most) {
      broke(now, "P4: " + member_name(old) + " acts under version " + std::to_string(o.version) + " for " +
                     std::to_string((o.until - since) / fleet::kMs) + " ms after " + std::to_string(version) +
                     " was in force");
    }
    if (!cannot_hold(next, o.build).empty()) {
      broke(now, "P2: " + member_name(old) + " acts under version " + std::to_string(o.version) + " while " +
                     std::to_string(version) + ", which it cannot hold, is in force");
    }
  };
  if (fresh) {
    for (const auto& [other, o] : relays_) {
      if (other != relay && o.until > now && o.version < r.version) mixed(other, o, r.version, now);
    }
  }
  for (const auto& [version, since] : first_act_) {
    if (version > r.version) mixed(relay, r, version, since);
  }
}

// ---- A relay ----

std::string cannot_hold(const std::string& policy, int build) {
  if (!policy.starts_with("need=")) return policy.empty() ? "" : "it does not read";
  const int need = std::atoi(policy.c_str() + 5);
  return build >= need ? "" : "build " + std::to_string(build) + " does not know it";
}

Agreement::Settings agreement_settings(int relay, int relays, int voters, Time period, Time term, int build) {
  Agreement::Settings s;
  s.cluster = "sim";
  s.name = member_name(relay);
  for (int i = 0; i < relays; ++i) s.names.push_back(member_name(i));
  for (int i = 0; i < voters; ++i) s.voters.push_back(member_name(i));
  s.period = period;
  s.term = term;
  s.own = "need=1 file";
  s.program = std::to_string(build);
  s.check = [build](const std::string& text) { return cannot_hold(text, build); };
  return s;
}

AgreementGuest::AgreementGuest(int relay, Agreement::Settings settings, Folder& folder, PolicyAudit& audit,
                               Clock clock, uint64_t seed)
    : relay_(relay),
      folder_(folder),
      audit_(audit),
      clock_(clock),
      agreement_(std::move(settings), folder.file, seed) {}

void AgreementGuest::start(Time now) {
  agreement_.start(clock_.local(now));
  // What is on disk is what it holds, as the relay reads it at its start.
  if (const auto v = agreement_.view(clock_.local(now)); v.version > 0) {
    audit_.adopted(now, relay_, v.version, v.id, agreement_.text(), 1 << 20);
  }
  carry_out(now);
}

void AgreementGuest::received(Time now, const std::string& from, std::string_view bytes) {
  if (dead_) return;
  agreement_.received(clock_.local(now), from, bytes);
  carry_out(now);
}

void AgreementGuest::woke(Time now) {
  if (dead_) return;
  agreement_.woke(clock_.local(now));
  carry_out(now);
}

Time AgreementGuest::next() const {
  const Time at = dead_ ? fleet::kNever : agreement_.next();
  return at == fleet::kNever ? at : clock_.real(at) + 1;
}

void AgreementGuest::carry_out(Time now) {
  for (const Agreement::Output& output : agreement_.take()) {
    const bool dies = dies_after == 0;
    if (dies_after > 0) --dies_after;
    if (const auto* write = std::get_if<Agreement::Write>(&output)) {
      ++folder_.writes;
      // A file that is replaced is renamed: the old one or the new one. One that grows may be torn.
      if (write->whole && !dies) folder_.file = write->bytes;
      if (!write->whole)
        folder_.file += dies ? write->bytes.substr(0, write->bytes.size() / 2) : write->bytes;
    } else if (dies) {
    } else if (const auto* send = std::get_if<Agreement::Send>(&output)) {
      this->send(send->to, send->bytes);
    } else if (const auto* adopt = std::get_if<Agreement::Adopt>(&output)) {
      audit_.adopted(now, relay_, adopt->version, adopt->id, adopt->text, folder_.build);
    } else if (const auto* door = std::get_if<Agreement::Door>(&output)) {
      audit_.door(now, relay_, door->until == 0 ? 0 : clock_.real(door->until), folder_.build);
    }
    if (!dies) continue;
    dead_ = true;
    audit_.crashed(relay_);
    if (on_death) on_death();
    return;
  }
}

// ---- A play ----

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
      std::uniform_real_distribution<double> rate(1 - 0.4 / fleet::kDriftOne, 1 + 0.4 / fleet::kDriftOne);
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
  std::unique_ptr<fleet::Machine> make(int member, uint64_t seed) {
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
        if (o.what == fleet::Outcome::What::kAborted) audit_.aborted(o.id);
        const auto asked = proposed_.find(o.id);
        if (asked == proposed_.end() || ended_.contains(o.id)) continue;
        ended_[o.id] = now - asked->second;
        if (o.what == fleet::Outcome::What::kInForce) in_force_[o.version] = {asked->second, -1};
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
      if (v.version != newest || !v.closed.empty()) {
        unsettled = member_name(i) + " holds version " + std::to_string(v.version) + " of " +
                    std::to_string(newest) + (v.closed.empty() ? "" : ", shut: " + v.closed);
      }
      if (v.change) unsettled = member_name(i) + " still sees " + v.change->id + " under way";
      if (!v.asking.empty()) unsettled = member_name(i) + " still hands in " + v.asking;
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
