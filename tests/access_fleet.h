// A fleet that spreads its hit counts, on a clock of its own.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "../access/spread.h"

namespace umberhoist::access {

using fleet::kSecond;

inline RuleKey key(int number) {
  return {"acme", "r" + std::to_string(number), static_cast<uint64_t>(number + 1) * 0x9e3779b97f4a7c15};
}

// A fleet on a clock of its own; messages may be lost, late, repeated.
struct Fleet {
  struct Relay {
    std::string name;
    uint64_t number = 0;
    Counts own;
    std::unique_ptr<Spread> spread;
    bool up = true;
  };
  struct Flying {
    Time at;
    std::string from, to, bytes;
  };
  std::vector<std::unique_ptr<Relay>> relays;
  std::multimap<Time, Flying> flying;
  std::mt19937 random;
  Time now = 0;
  double lost = 0;
  size_t longest = 0, sent = 0;
  std::vector<int> group;  // relays of different groups do not hear each other

  Fleet(size_t count, unsigned seed) : random(seed), group(count, 0) {
    for (size_t i = 0; i < count; ++i) {
      relays.push_back(std::make_unique<Relay>());
      relays.back()->name = "n" + std::to_string(i);
      start(i);
    }
  }
  void start(size_t i) {
    Relay& r = *relays[i];
    r.number = random();
    r.own = {};
    r.spread = std::make_unique<Spread>(r.name, random());
    r.spread->own(r.number, r.own);
    r.up = true;
    tell_peers();
    r.spread->start(now);
  }
  void tell_peers() {
    for (const auto& r : relays) {
      std::vector<std::string> live;
      for (const auto& other : relays) {
        if (other->up && other != r) live.push_back(other->name);
      }
      if (r->spread) r->spread->peers(std::move(live));
    }
  }
  void kill(size_t i) {
    relays[i]->up = false;
    relays[i]->spread.reset();
    tell_peers();
  }
  void send_all(Relay& r) {
    for (auto& message : r.spread->take_datagrams()) {
      longest = std::max(longest, message.bytes.size());
      sent += message.bytes.size();
      for (int copies = random() % 10 == 0 ? 2 : 1; copies > 0; --copies) {
        if (std::generate_canonical<double, 32>(random) < lost) continue;
        const Time at = now + 1000 + static_cast<Time>(random() % 200'000);
        flying.emplace(at, Flying{at, r.name, message.to, message.bytes});
      }
    }
  }
  size_t index(const std::string& name) const { return std::stoul(name.substr(1)); }
  void run(Time span) {
    const Time until = now + span;
    for (;;) {
      Time next = until;
      for (const auto& r : relays) {
        if (r->up) next = std::min(next, std::max(now, r->spread->next_wakeup()));
      }
      if (!flying.empty()) next = std::min(next, flying.begin()->first);
      now = next;
      if (now >= until) return;
      while (!flying.empty() && flying.begin()->first <= now) {
        const Flying f = flying.begin()->second;
        flying.erase(flying.begin());
        Relay& to = *relays[index(f.to)];
        if (!to.up || group[index(f.from)] != group[index(f.to)]) continue;
        to.spread->on_datagram(now, f.from, f.bytes);
        send_all(to);
      }
      for (const auto& r : relays) {
        if (!r->up || r->spread->next_wakeup() > now) continue;
        r->spread->on_timer(now);
        send_all(*r);
      }
    }
  }
  void hit(size_t relay, int rule, int times = 1) {
    for (; times > 0; --times) relays[relay]->own.add("acme", {{key(rule).id, key(rule).digest}});
  }
  bool all_know(const Counts& truth) {
    for (const auto& r : relays) {
      if (r->up && r->spread->fleet(now).digest() != truth.digest()) return false;
    }
    return true;
  }
};

}  // namespace umberhoist::access
