#include "sim.h"

#include <algorithm>
#include <numeric>

#include "../fleet/heartbeat.h"
#include "sim_agreement.h"
#include "sim_budgets.h"

namespace umberhoist::lab {

using nlohmann::json;

SimNetwork::SimNetwork(int members, uint64_t seed, Make make)
    : members_(static_cast<size_t>(members)), seed_(seed), make_(std::move(make)), chance_(seed, 11) {}

uint64_t SimNetwork::all_bytes() const {
  return std::accumulate(members_.begin(), members_.end(), uint64_t{0},
                         [](uint64_t sum, const Member& m) { return sum + m.bytes; });
}

int SimNetwork::number(const std::string& name) const {
  return name.size() > 1 ? std::atoi(name.c_str() + 1) : -1;
}

void SimNetwork::at(Time when, std::function<void()> then) {
  events_.push({std::max(when, now_), ++order_, std::move(then)});
}

void SimNetwork::start(int member) {
  Member& m = of(member);
  ++m.life;
  m.paused = false;
  m.buffered.clear();
  m.armed = fleet::kNever;
  m.machine = make_(
      member, seed_ * 1000003 + static_cast<uint64_t>(member) * 101 + static_cast<uint64_t>(m.life), m.life);
  m.machine->start(now_);
  flush(member);
}

void SimNetwork::crash(int member) {
  of(member).machine.reset();
  of(member).paused = false;
  ++of(member).life;
}

void SimNetwork::pause(int member) { of(member).paused = true; }

void SimNetwork::resume(int member) {
  Member& m = of(member);
  if (!std::exchange(m.paused, false) || !m.machine) return;
  // What came meanwhile is read first, or the clock is looked at first: both happen.
  const bool clock_first = std::uniform_int_distribution<int>(0, 1)(chance_) == 1;
  if (clock_first && m.machine->next_wakeup() <= now_) m.machine->on_timer(now_);
  for (const auto& [from, bytes] : std::exchange(m.buffered, {})) {
    m.machine->on_datagram(now_, member_name(from), bytes);
  }
  m.armed = fleet::kNever;
  flush(member);
}

void SimNetwork::deliver(int member, int from, const std::string& bytes) {
  Member& m = of(member);
  if (!m.machine) return;
  if (m.paused) {
    if (m.buffered.size() < kMostBuffered) m.buffered.emplace_back(from, bytes);
    return;
  }
  m.machine->on_datagram(now_, member_name(from), bytes);
  flush(member);
}

// What a machine left after a call is sent, and its next time is kept.
void SimNetwork::flush(int member) {
  Member& m = of(member);
  for (fleet::Datagram& one : m.machine->take_datagrams()) {
    m.bytes += one.bytes.size();
    ++datagrams_;
    const int to = number(one.to);
    if (seen) seen(member, to, one.bytes);
    if (to < 0 || to >= members() || (blocked && blocked(member, to))) continue;
    const Way* own = ways ? ways(member, to) : nullptr;
    const Way& w = own != nullptr ? *own : way;
    std::uniform_real_distribution<double> unit(0, 1);
    if (w.loss > 0 && unit(chance_) < w.loss) continue;
    const int copies = w.duplicate > 0 && unit(chance_) < w.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Time wait = w.delay + static_cast<Time>(unit(chance_) * static_cast<double>(w.delay));
      if (w.reorder > 0 && unit(chance_) < w.reorder) wait += std::max<Time>(20 * fleet::kMs, w.delay);
      at(now_ + wait, [this, member, to, bytes = one.bytes] { deliver(to, member, bytes); });
    }
  }
  const Time next = m.machine->next_wakeup();
  if (next >= m.armed || next == fleet::kNever) return;
  m.armed = next;
  at(next, [this, member, life = m.life, next] {
    Member& later = of(member);
    if (later.life != life || later.armed != next) return;
    later.armed = fleet::kNever;
    if (!later.machine || later.paused) return;
    if (later.machine->next_wakeup() <= now_) later.machine->on_timer(now_);
    flush(member);
  });
}

void SimNetwork::run(Time until) {
  while (!events_.empty() && events_.top().at <= until) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.then();
  }
  now_ = std::max(now_, until);
}

// A scenario's faults of relays and of the network between them, laid on a simulated one. `start` makes a
// member live again; a kill without a time is for good. Answers when the last fault is over.
Time lay_faults(SimNetwork& network, const Plan& plan, std::set<int>& cut, bool& one_way,
                const std::function<void(int, const std::string&)>& start) {
  Time last = 0;
  network.blocked = [&](int from, int to) {
    return cut.contains(from) != cut.contains(to) && (!one_way || cut.contains(from));
  };
  for (const Fault& f : plan.faults) {
    const Time at = time_of(f.at), until = time_of(f.at + f.lasts);
    last = std::max(last, until);
    for (const int r : f.targets) {
      if (f.kind == "kill" || f.kind == "term") {
        network.at(at, [&network, r] { network.crash(r); });
        if (f.lasts > 0) network.at(until, [r, start, folder = f.folder] { start(r, folder); });
      } else if (f.kind == "stop") {
        network.at(at, [&network, r] { network.pause(r); });
        network.at(until, [&network, r] { network.resume(r); });
      }
    }
    if (f.kind != "net") continue;
    network.at(at, [&, f] {
      if (f.loss + f.delay + f.duplicate + f.reorder > 0) {
        network.way = {f.loss, std::max<Time>(500, time_of(f.delay)), f.duplicate, f.reorder};
      } else {
        cut = std::set<int>(f.targets.begin(), f.targets.end());
        one_way = f.one_way;
      }
    });
    network.at(until, [&] {
      cut.clear();
      network.way = {};
    });
  }
  return last;
}

json simulate(const Scenario& scenario, uint64_t seed) {
  if (scenario.sim.protocol == "membership") return simulate_membership(scenario, seed);
  if (scenario.sim.protocol == "agreement") return simulate_agreement(scenario, seed);
  if (scenario.sim.protocol == "budgets") return simulate_budgets(scenario, seed);
  const Plan plan = draw(scenario, seed);
  std::vector<std::string> names;
  for (int i = 0; i < scenario.relays; ++i) names.push_back(member_name(i));
  fleet::Heartbeat::Settings settings;
  settings.members = names;
  settings.period = time_of(scenario.sim.period_ms / 1000);
  SimNetwork network(scenario.relays, seed, [&](int member, uint64_t, int) {
    settings.name = member_name(member);
    return std::make_unique<fleet::Heartbeat>(settings);
  });
  std::set<int> cut;
  bool one_way = false;
  for (int i = 0; i < scenario.relays; ++i) network.start(i);
  const Time last =
      lay_faults(network, plan, cut, one_way, [&](int r, const std::string&) { network.start(r); });
  const Time end = std::max(last, time_of(scenario.length_s)) + time_of(scenario.settle_s);
  network.run(end);
  // All that live are watched by some, and by none taken for gone; those that are down are missed by each
  // watcher.
  uint64_t checked = 0, wrong = 0;
  std::string first;
  for (int i = 0; i < scenario.relays; ++i) {
    const auto* watcher = dynamic_cast<fleet::Heartbeat*>(network.machine(i));
    if (watcher == nullptr) continue;
    for (const std::string& name : names) {
      if (!watcher->watches(name)) continue;
      ++checked;
      const bool up = network.up(network.number(name));
      if (up != watcher->failed().contains(name)) continue;
      if (wrong++ == 0) first = member_name(i) + " takes " + name + " for " + (up ? "gone" : "alive");
    }
  }
  const double periods = static_cast<double>(end) / static_cast<double>(settings.period);
  json out = sim_result(scenario, plan, static_cast<double>(end) / 1e6);
  out["oracles"]["settled"] = {
      {"held", wrong == 0}, {"checked", checked}, {"first_broken", wrong == 0 ? json(nullptr) : json(first)}};
  out["figures"]["messages"] = static_cast<double>(network.datagrams());
  out["figures"]["bytes_per_member_and_period"] =
      static_cast<double>(network.all_bytes()) / scenario.relays / periods;
  return out;
}

json sim_result(const Scenario& scenario, const Plan& plan, double length) {
  json faults = json::array();
  for (const Fault& f : plan.faults) {
    faults.push_back({{"at", f.at}, {"until", f.at + f.lasts}, {"what", f.text()}});
  }
  return {{"scenario", scenario.name},
          {"what", scenario.what},
          {"seed", plan.seed},
          {"relays", scenario.relays},
          {"program", scenario.sim.protocol + " on a simulated clock"},
          {"length_s", length},
          {"plan", std::to_string(plan.digest())},
          {"oracles", json::object()},
          {"figures", json::object()},
          {"series", json::object()},
          {"faults", faults}};
}

}  // namespace umberhoist::lab
