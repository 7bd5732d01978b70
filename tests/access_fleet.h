// A simulated fleet that replicates its hit counts, for tests.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "../access/hit_replicator.h"

namespace umberhoist::access {

using fleet::kSecond;

inline RuleKey key(int number) {
  return {"acme", "r" + std::to_string(number), static_cast<uint64_t>(number + 1) * 0x9e3779b97f4a7c15};
}

// Runs on simulated time. Messages may be lost, delayed and duplicated.
struct Fleet {
  struct Relay {
    std::string name;
    uint64_t folder_id = 0;
    HitCounts own;
    std::unique_ptr<HitReplicator> replicator;
    bool up = true;
  };
  struct InFlight {
    Time at;
    std::string from, to, bytes;
  };
  std::vector<std::unique_ptr<Relay>> relays;
  std::multimap<Time, InFlight> in_flight;
  std::mt19937 random;
  Time now = 0;
  double loss_probability = 0;
  size_t longest_message = 0, sent_bytes = 0;
  std::vector<int> partition;  // by relay; messages do not cross partitions

  Fleet(size_t count, unsigned seed) : random(seed), partition(count, 0) {
    for (size_t i = 0; i < count; ++i) {
      relays.push_back(std::make_unique<Relay>());
      relays.back()->name = "n" + std::to_string(i);
      start(i);
    }
  }
  void start(size_t i) {
    Relay& r = *relays[i];
    r.folder_id = random();
    r.own = {};
    r.replicator = std::make_unique<HitReplicator>(r.name, random());
    r.replicator->set_own(r.folder_id, r.own);
    r.up = true;
    update_peers();
    r.replicator->start(now);
  }
  void update_peers() {
    for (const auto& r : relays) {
      std::vector<std::string> live;
      for (const auto& other : relays) {
        if (other->up && other != r) live.push_back(other->name);
      }
      if (r->replicator) r->replicator->set_peers(std::move(live));
    }
  }
  void kill(size_t i) {
    relays[i]->up = false;
    relays[i]->replicator.reset();
    update_peers();
  }
  void send_all(Relay& r) {
    for (auto& message : r.replicator->take_datagrams()) {
      longest_message = std::max(longest_message, message.bytes.size());
      sent_bytes += message.bytes.size();
      for (int copies = random() % 10 == 0 ? 2 : 1; copies > 0; --copies) {
        if (std::generate_canonical<double, 32>(random) < loss_probability) continue;
        const Time at = now + 1000 + static_cast<Time>(random() % 200'000);
        in_flight.emplace(at, InFlight{at, r.name, message.to, message.bytes});
      }
    }
  }
  size_t index(const std::string& name) const { return std::stoul(name.substr(1)); }
  void run(Time span) {
    const Time until = now + span;
    for (;;) {
      Time next = until;
      for (const auto& r : relays) {
        if (r->up) next = std::min(next, std::max(now, r->replicator->next_wakeup()));
      }
      if (!in_flight.empty()) next = std::min(next, in_flight.begin()->first);
      now = next;
      if (now >= until) return;
      while (!in_flight.empty() && in_flight.begin()->first <= now) {
        const InFlight f = in_flight.begin()->second;
        in_flight.erase(in_flight.begin());
        Relay& to = *relays[index(f.to)];
        if (!to.up || partition[index(f.from)] != partition[index(f.to)]) continue;
        to.replicator->on_datagram(now, f.from, f.bytes);
        send_all(to);
      }
      for (const auto& r : relays) {
        if (!r->up || r->replicator->next_wakeup() > now) continue;
        r->replicator->on_timer(now);
        send_all(*r);
      }
    }
  }
  void hit(size_t relay, int rule, int times = 1) {
    for (; times > 0; --times) relays[relay]->own.add("acme", {{key(rule).id, key(rule).digest}});
  }
  bool all_converged_to(const HitCounts& expected) {
    for (const auto& r : relays) {
      if (r->up && r->replicator->fleet_counts(now).digest() != expected.digest()) return false;
    }
    return true;
  }
};

}  // namespace umberhoist::access
