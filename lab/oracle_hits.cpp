#include "oracle_hits.h"

#include <algorithm>
#include <set>

namespace umberhoist::lab {
namespace {

constexpr double kSpread = 10;  // seconds: what a folder held for so long is known to others

}  // namespace

void HitsExact::told(double now, int relay, const Counts& counts) {
  Counts& last = last_[relay];
  for (const auto& [rule, count] : last) {
    ++verdict_.checked;
    const auto it = counts.find(rule);
    const uint64_t is = it == counts.end() ? 0 : it->second;
    if (is >= count) continue;
    verdict_.broke(now, relay,
                   "the fleet's count of rule " + rule.first + "/" + rule.second + " went back from " +
                       std::to_string(count) + " to " + std::to_string(is));
  }
  last = counts;
}

void HitsExact::emptied(double now, int relay) {
  last_.erase(relay);
  lost_[relay].push_back(now);
}

HitsExact::Bounds HitsExact::expected(const Door& door) const {
  using How = DoorRecord::How;
  Bounds out;
  for (const auto& [id, r] : door.records()) {
    double until = r.how == How::kDenied ? r.answered : r.taken_by();
    const bool surely = until >= 0;
    if (!surely && r.how == How::kRefused && !r.again) continue;
    // Unheard, it may have come at any time since: a stopped relay finds it as it wakes.
    if (!surely) until = 1e9;
    bool doubtful = !surely || r.again;
    if (const auto lost = lost_.find(r.relay); lost != lost_.end()) {
      doubtful = doubtful || std::ranges::any_of(lost->second, [&](double at) {
                   return r.sent <= at && until > at - kSpread;
                 });
    }
    std::set<std::string> any, all;
    bool first = true;
    for (const int g : versions_.possible(r.relay, r.sent, until)) {
      const std::vector<std::string> hits = book_.ruling(g, r.asked).hits;
      const std::set<std::string> here(hits.begin(), hits.end());
      any.insert(here.begin(), here.end());
      if (first) all = here;
      std::erase_if(all, [&](const std::string& rule) { return !here.contains(rule); });
      first = false;
    }
    bool counted = false;
    for (const std::string& rule : any) {
      const Rule name{r.asked.customer, rule};
      const bool certain = !doubtful && all.contains(rule);
      if (certain) ++out.certain[name];
      // One that was sent twice may have been denied twice, and was surely counted once.
      if (surely && r.again && all.contains(rule)) {
        const auto lost = lost_.find(r.relay);
        if (lost == lost_.end()) ++out.certain[name];
      }
      if (!certain) {
        ++out.doubt[name];
        counted = true;
      }
    }
    if (counted) ++out.messages_in_doubt;
  }
  return out;
}

std::string HitsExact::wrong(const Bounds& bounds, const Counts& counts) {
  std::set<Rule> rules;
  for (const auto& [rule, count] : bounds.certain) rules.insert(rule);
  for (const auto& [rule, count] : bounds.doubt) rules.insert(rule);
  for (const auto& [rule, count] : counts) rules.insert(rule);
  const auto of = [](const std::map<Rule, uint64_t>& in, const Rule& rule) {
    const auto it = in.find(rule);
    return it == in.end() ? 0 : it->second;
  };
  for (const Rule& rule : rules) {
    const uint64_t least = of(bounds.certain, rule), most = least + of(bounds.doubt, rule);
    const uint64_t is = of(counts, rule);
    if (is >= least && is <= most) continue;
    return "rule " + rule.first + "/" + rule.second + " has " + std::to_string(is) +
           " hits in the fleet, and decided " + std::to_string(least) +
           (most > least ? " to " + std::to_string(most) : "") + " messages";
  }
  return "";
}

void HitsExact::final_counts(double now, int relay, const Bounds& bounds, const Counts& counts) {
  verdict_.checked += bounds.certain.size();
  if (const std::string what = wrong(bounds, counts); !what.empty()) verdict_.broke(now, relay, what);
}

}  // namespace umberhoist::lab
