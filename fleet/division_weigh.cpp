// What is due to whom of one budget.
#include <algorithm>
#include <cmath>
#include <limits>

#include "division.h"
#include "filling.h"

namespace umberhoist::fleet {

double Divider::least() const { return static_cast<double>(kSecond) / static_cast<double>(settings_.term); }

// What one name may spend without talk: by the highest whole that it may go by.
double Divider::floor_of(const std::vector<Life>& lives, uint64_t budget, double whole) const {
  double out = 0;
  for (const Life& life : lives) {
    const auto s = life.shares.find(budget);
    double known = whole;
    if (s != life.shares.end()) {
      known = std::max(known, s->second.most_whole > 0 ? s->second.most_whole : s->second.told_whole);
    }
    out = std::max(out, floor_rate(life.floor, 1, known, settings_.term));
  }
  return out;
}

// Of a whole that is a little too small for floors: so much is kept back that a raise which brings them fits
// what is out already, whoever learns of it first.
double Divider::reserve(double whole) const {
  const double begins = least() * static_cast<double>(settings_.names.size()) / settings_.floor;
  return whole < begins ? std::max(0.0, whole - (1 - settings_.floor) * begins) : 0;
}

Divider::Budget& Divider::fresh(Time now, uint64_t budget) {
  Budget& b = budgets_.at(budget);
  if (b.stale || now >= b.until) weigh(now, budget, b);
  return b;
}

void Divider::weigh(Time now, uint64_t budget, Budget& b) {
  constexpr double kNone = std::numeric_limits<double>::infinity();
  const auto said = policy_.find(budget);
  double whole = said == policy_.end() ? kNone : said->second;
  double absent = 0;  // may be held by lives that are not heard
  b.parts = 0;
  std::vector<Wanting> by;
  for (auto& [name, lives] : relays_) {
    for (Life& life : lives) {
      const auto found = life.shares.find(budget);
      if (found == life.shares.end()) continue;
      Share& s = found->second;
      b.parts += s.most;
      if ((life.live || now <= life.over) && s.told_whole > 0) whole = std::min(whole, s.told_whole);
      if (!life.live) absent += s.most;
      s.due = s.need = 0;
      if (life.live && s.per_s > 0) {
        by.push_back({&name, &s});
      } else if (s.turn_until != 0) {
        s.served = now;
        s.turn_until = 0;
      }
    }
  }
  b.whole = whole == kNone ? 0 : whole;
  b.floors = 0;
  b.stale = false;
  b.starving = b.turns = false;
  b.until = kNever;
  std::map<const std::string*, double> floors;
  for (const std::string& name : settings_.names) {
    const auto known = relays_.find(name);
    const double floor = known == relays_.end()
                             ? floor_rate(settings_.floor, settings_.names.size(), b.whole, settings_.term)
                             : floor_of(known->second, budget, b.whole);
    b.floors += floor;
    if (known != relays_.end()) floors[&known->first] = floor;
  }
  b.floors = std::max(b.floors, reserve(b.whole));
  if (settings_.plant == Plant::kFloorsLeftOut) b.floors = 0;
  const double pool = std::max(0.0, b.whole - b.floors - absent);
  if (by.empty() || pool <= 0) return;
  if (by.size() > 1 && pool < least() * static_cast<double>(by.size())) return take_turns(now, b, pool, by);
  std::vector<double> needs;
  for (const Wanting& w : by) {
    const double floor = floors[w.relay];
    w.share->turn_until = 0;
    needs.push_back(std::max({0.0, std::min(w.share->per_s, b.whole) - floor, least() - floor}));
  }
  const std::vector<double> due = filled(pool, needs);
  for (size_t i = 0; i < by.size(); ++i) {
    Share& s = *by[i].share;
    s.need = std::min(needs[i], due[i]);
    s.due = due[i];
    b.starving = b.starving || s.last < 0.93 * s.need;
  }
  if (b.starving) b.until = now + settings_.period;  // until it is known not to be
}

void Divider::take_turns(Time now, Budget& b, double pool, std::vector<Wanting>& by) const {
  b.turns = true;
  for (const Wanting& w : by) {
    if (w.share->turn_until != 0 && w.share->turn_until <= now) {
      w.share->served = now;
      w.share->turn_until = 0;
    }
  }
  // Those whose turn it is first, then by how long ago they had one.
  std::ranges::sort(by, [](const Wanting& a, const Wanting& c) {
    const bool has = a.share->turn_until != 0, other = c.share->turn_until != 0;
    if (has != other) return has;
    return std::tie(a.share->served, *a.relay) < std::tie(c.share->served, *c.relay);
  });
  const size_t can = sharers(pool, least(), by.size());
  for (size_t i = 0; i < by.size(); ++i) {
    Share& s = *by[i].share;
    if (i >= can) {
      if (s.turn_until != 0) s.served = std::exchange(s.turn_until, 0);
      continue;
    }
    if (s.turn_until == 0) s.turn_until = kNever;
    s.need = s.due = pool / static_cast<double>(can);
    if (s.turn_until != kNever) b.until = std::min(b.until, s.turn_until);
  }
}

// What its next table says. Raised at most to what no other life may hold; what it may hold already is no
// raise.
double Divider::part_for(const Budget& b, const Share& s) const {
  const double floors = settings_.plant == Plant::kFloorsLeftOut ? 0 : b.floors;
  const double others = b.parts - s.most;
  const double can = std::max(s.most, (b.whole - floors - others) * (1 - 1e-9));
  const double due = rate_down(std::min(s.due, can));
  if (s.due <= 0 || due <= 0) return 0;
  if (due < s.last) {
    const bool holds = others + s.last + floors <= b.whole;
    const bool near = s.last <= 1.05 * s.due;
    return holds && near && !b.starving && !b.turns ? s.last : due;
  }
  if (due < 1.02 * s.last) return s.last;
  return s.last <= 0 && due < 0.9 * std::min(s.due, least()) ? 0 : due;
}

}  // namespace umberhoist::fleet
