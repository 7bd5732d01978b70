#include "plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace umberhoist::lab {
namespace {

template <typename Items, typename Weight>
int weighted(const Items& items, Weight weight, Chance& chance) {
  double sum = 0;
  for (const auto& item : items) sum += weight(item);
  double at = std::uniform_real_distribution<double>(0, sum)(chance);
  for (size_t i = 0; i < items.size(); ++i) {
    at -= weight(items[i]);
    if (at < 0) return static_cast<int>(i);
  }
  return static_cast<int>(items.size()) - 1;
}

void draw_partners(const Scenario& s, Plan& plan, Chance& world) {
  const int large = std::max(1, static_cast<int>(std::round(s.partners.large_share * s.partners.count)));
  for (int i = 0; i < s.partners.count; ++i) {
    PlannedPartner p;
    p.large = i < large;
    p.endpoints = static_cast<int>(std::floor(s.partners.endpoints.draw(world) + 0.5));
    p.pace = s.partners.pace_s.draw(world);
    p.weight = std::uniform_real_distribution<double>(0.5, 1.5)(world);
    plan.partners.push_back(p);
  }
  // Large ones get 60% of what may go anywhere, and all of what goes to large ones only.
  double large_sum = 0, small_sum = 0, anywhere = 0, all = 0;
  for (const PlannedPartner& p : plan.partners) (p.large ? large_sum : small_sum) += p.weight;
  for (const ClassSpec& c : s.classes) {
    all += c.share;
    if (!c.large_only) anywhere += c.share;
  }
  const double large_part = small_sum > 0 ? 0.6 : 1.0;
  for (PlannedPartner& p : plan.partners) {
    p.weight *= p.large ? large_part / large_sum : (1 - large_part) / small_sum;
    const double own =
        p.large ? p.weight / large_part * (large_part * anywhere + all - anywhere) : p.weight * anywhere;
    p.limit = std::max(s.partners.least_limit, s.load.rate * own / all * s.partners.headroom);
  }
}

void draw_messages(const Scenario& s, Plan& plan, Chance& chance) {
  // Surges and hot partners are part of the load: they are known before the play.
  const auto rate_at = [&](double t) {
    double rate = s.load.rate;
    for (const Fault& f : plan.faults) {
      if (f.kind == "surge" && t >= f.at && t < f.at + f.lasts) rate *= f.factor;
    }
    return rate;
  };
  std::exponential_distribution<double> gap(1);
  std::uniform_real_distribution<double> unit(0, 1);
  for (double t = 0; t < s.length_s;) {
    t += gap(chance) / std::max(0.1, rate_at(t));
    if (t >= s.length_s) break;
    PlannedMessage m;
    m.at = t;
    m.message_class = weighted(
        s.classes, [](const ClassSpec& c) { return c.share; }, chance);
    m.tenant = weighted(
        s.tenants, [](const TenantSpec& c) { return c.share; }, chance);
    const bool large = s.classes[static_cast<size_t>(m.message_class)].large_only;
    m.destination = weighted(
        plan.partners, [&](const PlannedPartner& p) { return large && !p.large ? 0 : p.weight; }, chance);
    for (const Fault& f : plan.faults) {
      if (f.kind != "hot" || t < f.at || t >= f.at + f.lasts || unit(chance) >= f.factor) continue;
      const int hot = f.targets.front();
      if (!large || plan.partners[static_cast<size_t>(hot)].large) m.destination = hot;
    }
    plan.messages.push_back(m);
    if (s.load.clump_share <= 0) continue;
    const double limit = plan.partners[static_cast<size_t>(m.destination)].limit;
    const int more = std::max(1, static_cast<int>(limit * s.load.clump_s));
    if (unit(chance) * (more + 1) >= s.load.clump_share) continue;
    for (int i = 0; i < more; ++i) plan.messages.push_back(m);
  }
}

}  // namespace

Plan draw(const Scenario& s, uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  Chance world(seed, 1);
  draw_partners(s, plan, world);
  for (int i = 0; i < s.relays; ++i) plan.wall_offset.push_back(s.relay.wall_offset_s.draw(world));
  draw_faults(s.faults, s.partners.count, s.relays, seed, plan.faults);
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  Chance arrivals(seed, 2);
  draw_messages(s, plan, arrivals);
  return plan;
}

uint64_t Plan::digest() const {
  std::ostringstream out;
  out.precision(17);
  for (const PlannedPartner& p : partners) out << p.endpoints << ' ' << p.pace << ' ' << p.limit << '\n';
  for (const Fault& f : faults) out << f.at << ' ' << f.lasts << ' ' << f.text() << '\n';
  for (const PlannedMessage& m : messages)
    out << m.at << ' ' << m.message_class << ' ' << m.destination << '\n';
  const std::string text = out.str();
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace umberhoist::lab
