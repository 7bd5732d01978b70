#include "budget_holder.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace umberhoist::fleet {
namespace {

constexpr double kLeastDemand = 0.02;  // a second; less is none
constexpr double kTelling = 0.2;

}  // namespace

void BudgetHolder::configure(double floor, uint64_t names) {
  settings_.floor = floor;
  settings_.names = std::max<uint64_t>(1, names);
  changed_ = true;
}

void BudgetHolder::whole(const std::string& name, double per_s, bool told) {
  const double whole = rate_down(per_s);
  const auto known = entries_.find(name);
  if (known == entries_.end() && whole <= 0) return;
  Entry& e = known == entries_.end() ? entries_[name] : known->second;
  if (e.whole == whole && e.told == told) return;
  e.hash = budget_hash(name);
  e.whole = whole;
  e.told = told;
  changed_ = true;
}

void BudgetHolder::asked(const std::string& name, double calls) {
  if (const auto e = entries_.find(name); e != entries_.end()) e->second.asked += calls;
}

void BudgetHolder::waiting(const std::map<std::string, double>& calls) {
  for (auto& [name, e] : entries_) {
    const auto known = calls.find(name);
    e.waiting = known == calls.end() ? 0 : known->second;
  }
}

void BudgetHolder::begin(uint64_t life) {
  settings_.life = life;
  heard_reign_ = heard_ = table_reign_ = number_ = 0;
  until_ = 0;
  table_.clear();
  changed_ = true;
}

// ---- Demand ----

void BudgetHolder::weigh(Time now) {
  const Time since = weighed_ < 0 ? settings_.period : now - weighed_;
  if (since < settings_.period / 4) return;
  weighed_ = now;
  const auto seconds = static_cast<double>(since) / kSecond;
  const auto forgets = 3 * static_cast<double>(since) / static_cast<double>(settings_.term);
  const auto follows = static_cast<double>(since) / static_cast<double>(settings_.period);
  for (auto& [name, e] : entries_) {
    const double now_asked = std::exchange(e.asked, 0) / seconds;
    e.rate += (now_asked - e.rate) * (1 - std::exp(now_asked > e.rate ? -follows : -forgets));
  }
}

Demands BudgetHolder::tell(Time now) {
  weigh(now);
  const double term = static_cast<double>(settings_.term) / kSecond;
  size_t known = 0;
  std::vector<const Entry*> fresh;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Entry& e = it->second;
    const double wanted = std::min(e.rate + e.waiting / term, e.whole);
    Demand word{e.hash, 0, 0};
    if (wanted >= kLeastDemand && ++known <= kMostBudgets) {
      word.per_s = rate_down(wanted);
      word.whole = e.told ? e.whole : 0;
    }
    const double most = std::max(word.per_s, e.word.per_s);
    const bool differs = (word.per_s > 0) != (e.word.per_s > 0) || word.whole != e.word.whole ||
                         std::abs(word.per_s - e.word.per_s) > kTelling * most;
    if (differs) {
      e.word = word;
      e.version = ++version_;
    }
    if (e.word.per_s <= 0 && e.version <= heard_) {
      e.version = 0;  // the leader knows that none is wanted
      if (e.whole <= 0 && e.said < 0) {
        it = entries_.erase(it);
        continue;
      }
    }
    if (e.version > heard_) fresh.push_back(&e);
    ++it;
  }
  std::ranges::sort(fresh, {}, &Entry::version);
  if (fresh.size() > kMostWords) fresh.resize(kMostWords);
  Demands out{settings_.life, settings_.floor, settings_.names, table_reign_, number_, heard_, heard_, {}};
  for (const Entry* e : fresh) out.words.push_back(e->word);
  if (!fresh.empty()) out.number = fresh.back()->version;
  return out;
}

// ---- What it may spend ----

bool BudgetHolder::took(Time now, uint64_t reign, const Parts& parts, Time until) {
  if (reign < std::max(heard_reign_, table_reign_)) return false;
  heard_ = parts.heard;  // less than before, where it has forgotten or an old answer comes late: told again
  heard_reign_ = reign;
  if (parts.number == 0) return false;
  const uint64_t own = reign == table_reign_ ? number_ : 0;
  if (own == parts.number) {
    // The same table for longer, also where its lease was over here: the leader still counts it.
    if (until > until_ && now >= until_) changed_ = true;
    until_ = std::max(until_, until);
    return false;
  }
  if (parts.base != own || parts.number < own) return false;
  if (reign != table_reign_ || parts.fresh) table_.clear();
  bool lowered = false;
  for (const Part& p : parts.all) {
    const auto known = table_.find(p.budget);
    if (known != table_.end()) {
      lowered = lowered || p.per_s < known->second.per_s;
      known->second = p;
    } else if (table_.size() < kMostBudgets) {
      table_.emplace(p.budget, p);
    }
  }
  std::erase_if(table_, [](const auto& entry) { return entry.second.per_s <= 0 && entry.second.whole <= 0; });
  table_reign_ = reign;
  number_ = parts.number;
  until_ = until;
  changed_ = true;
  ++taken_;
  return lowered;
}

double BudgetHolder::floor_of(const Entry& e) const {
  const auto known = table_.find(e.hash);
  const double force = known == table_.end() || known->second.whole <= 0 ? e.whole : known->second.whole;
  return floor_rate(settings_.floor, settings_.names, std::min(e.whole, force), settings_.term);
}

double BudgetHolder::may_of(Time now, const Entry& e) const {
  const auto known = table_.find(e.hash);
  return floor_of(e) + (now < until_ && known != table_.end() ? known->second.per_s : 0);
}

double BudgetHolder::may(Time now, const std::string& name) const {
  const auto e = entries_.find(name);
  return e == entries_.end() || e->second.whole <= 0 ? 0 : may_of(now, e->second);
}

std::vector<BudgetHolder::Change> BudgetHolder::changes(Time now) {
  std::vector<Change> out;
  const bool lapsed = said_at_ < until_ && now >= until_;
  if (!changed_ && !lapsed) return out;
  said_at_ = now;
  changed_ = false;
  for (auto& [name, e] : entries_) {
    const double per_s = e.whole > 0 ? may_of(now, e) : -1;
    if (per_s != e.said) out.push_back({name, e.said = per_s});
  }
  return out;
}

Time BudgetHolder::next() const { return said_at_ < until_ ? until_ : kNever; }

std::map<std::string, BudgetHolder::Standing> BudgetHolder::standing(Time now) const {
  std::map<std::string, Standing> out;
  for (const auto& [name, e] : entries_) {
    if (e.whole <= 0) continue;
    const double floor = floor_of(e);
    out[name] = {e.whole, floor, may_of(now, e) - floor, e.word.per_s};
  }
  return out;
}

uint64_t BudgetHolder::fingerprint(Time now) const {
  uint64_t out = settings_.life;
  const auto mix = [&](auto v) { out = XXH64(&v, sizeof v, out); };
  for (const uint64_t v : {version_, heard_reign_, heard_, table_reign_, number_}) mix(v);
  mix(until_ <= now ? 0 : (until_ - now) / kMs);
  for (const auto& [name, e] : entries_) {
    mix(e.whole);
    mix(e.word.per_s);
    mix(e.version);
    mix(may_of(now, e));
  }
  return out;
}

}  // namespace umberhoist::fleet
