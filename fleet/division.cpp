#include "division.h"

#include <algorithm>
#include <cmath>

namespace umberhoist::fleet {

Divider::Divider(Settings settings) : settings_(std::move(settings)) {}

void Divider::begin(uint64_t reign, Time clear) {
  reign_ = reign;
  clear_ = clear;
  swept_ = -1;
  relays_.clear();
  budgets_.clear();
}

void Divider::configure(std::vector<std::string> names, double floor) {
  settings_.names = std::move(names);
  settings_.floor = floor;
  for (auto& [hash, b] : budgets_) b.stale = true;
}

void Divider::wholes(std::unordered_map<uint64_t, double> wholes) {
  policy_ = std::move(wholes);
  for (auto& [hash, whole] : policy_) whole = rate_down(whole);
  for (auto& [hash, b] : budgets_) b.stale = true;
}

// ---- Lives ----

void Divider::stale(const Life& life) {
  for (const auto& [budget, s] : life.shares) budgets_.at(budget).stale = true;
}

Divider::Share* Divider::share(Life& life, uint64_t budget) {
  if (const auto known = life.shares.find(budget); known != life.shares.end()) return &known->second;
  if (!budgets_.contains(budget) && budgets_.size() >= kMostBudgets) return nullptr;
  Budget& b = budgets_[budget];
  ++b.asked;
  b.stale = true;
  return &life.shares[budget];
}

// Of budgets that it asks for no more, and of which it holds nothing.
void Divider::drop_idle(Life& life) {
  std::erase_if(life.shares, [&](const auto& entry) {
    const auto& [budget, s] = entry;
    if (s.per_s > 0 || s.told_whole > 0 || s.most > 0 || s.held > 0) return false;
    const auto b = budgets_.find(budget);
    b->second.stale = true;
    if (--b->second.asked == 0) budgets_.erase(b);
    return true;
  });
}

// Its last lease is surely over: it holds nothing.
void Divider::lapse(Life& life) {
  for (auto& [budget, s] : life.shares) {
    if (s.most > 0) ++counts_.lapsed;
    s.held = s.last = s.most = 0;
    s.held_whole = s.last_whole = s.most_whole = 0;
    if (s.turn_until != 0) s.served = std::exchange(s.turn_until, 0);
    budgets_.at(budget).stale = true;
  }
  life.out.clear();
  life.over = -1;
  life.fresh = life.newest > 0;
}

void Divider::sweep(Time now) {
  if (swept_ >= 0 && now - swept_ < settings_.period / 8) return;
  swept_ = now;
  for (auto& [name, lives] : relays_) {
    const bool configured = std::ranges::find(settings_.names, name) != settings_.names.end();
    for (size_t i = 0; i < lives.size();) {
      Life& life = lives[i];
      if (life.live && now - life.heard > 5 * settings_.period / 2) {
        life.live = false;
        stale(life);
      }
      if (life.over >= 0 && now > life.over) lapse(life);
      if (life.live || life.over >= 0 || (configured && i + 1 == lives.size())) {
        ++i;
        continue;
      }
      for (auto& [budget, s] : life.shares) s = {};
      drop_idle(life);
      lives.erase(lives.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  std::erase_if(relays_, [](const auto& entry) { return entry.second.empty(); });
}

Divider::Life* Divider::life_of(Time now, const Asked& asked, const Demands& told) {
  std::vector<Life>& lives = relays_[asked.relay];
  const auto known = std::ranges::find(lives, told.life, &Life::id);
  if (known == lives.end()) {
    if (lives.size() >= kMostLives) return nullptr;
    for (Life& before : lives) {
      before.live = false;
      stale(before);
    }
    lives.emplace_back().id = told.life;
  } else if (known + 1 != lives.end()) {
    // Another has followed it: what it has lapses. But for one of which nothing more is heard: an old word of
    // a life that was over may come late, and seem new.
    Life& followed = lives.back();
    if (now - followed.heard <= 5 * settings_.period / 2) return nullptr;
    followed.live = false;
    stale(followed);
    std::rotate(known, known + 1, lives.end());
  }
  Life& life = lives.back();
  const double floor = told.floor / static_cast<double>(told.names);
  if (life.floor != floor) {
    life.floor = floor;
    for (auto& [hash, b] : budgets_) b.stale = true;
  }
  // What a relay does not hear it cannot hold, and nobody else could have it meanwhile.
  const bool deaf = life.newest > 0 && now - asked.heard > settings_.term;
  if (std::exchange(life.live, !deaf) == deaf) stale(life);
  life.heard = now;
  return &life;
}

void Divider::hear(Life& life, const Demands& told) {
  if (told.base > life.words || told.number <= life.words) return;  // more is missing, or nothing is new
  life.words = told.number;
  for (const Demand& word : told.words) {
    Share* s = share(life, word.budget);
    if (s == nullptr) continue;
    s->per_s = word.per_s;
    s->told_whole = word.whole;
    budgets_.at(word.budget).stale = true;
  }
}

// The table that it holds now; all others that were made out of the one before are void.
void Divider::shown(Life& life, const Demands& told) {
  if (told.took_reign != reign_ || told.took <= life.base) return;
  const auto given = std::ranges::find(life.out, told.took, &Given::number);
  if (given == life.out.end()) {
    // Of a lease that was over here already: whatever it says has lapsed.
    lapse(life);
    life.fresh = true;
  } else {
    for (const Part& p : given->all) {
      if (const auto s = life.shares.find(p.budget); s != life.shares.end()) {
        s->second.held = p.per_s;
        s->second.held_whole = p.whole;
      }
    }
    for (auto& [budget, s] : life.shares) {
      Budget& b = budgets_.at(budget);
      b.parts -= s.most - s.held;
      if (s.most_whole != s.held_whole) b.stale = true;
      s.most = s.last = s.held;
      s.most_whole = s.last_whole = s.held_whole;
    }
    life.fresh = false;
  }
  life.base = told.took;
  life.newest = std::max(life.newest, told.took);
  life.out.clear();
}

// ---- Answers ----

std::optional<Parts> Divider::answer(Time now, const Asked& asked, const Demands& told) {
  sweep(now);
  Life* life = life_of(now, asked, told);
  if (life != nullptr) {
    shown(*life, told);
    hear(*life, told);
    if (now <= clear_ && settings_.plant != Plant::kEarly) {
      return Parts{life->base, life->base, false, life->words, {}};
    }
  }
  std::optional<Parts> out;
  if (life != nullptr && life->live) out = give(now, *life);
  if (!out) {
    ++counts_.held_off;
    return out;
  }
  life->over = std::max(life->over, asked.over);
  drop_idle(*life);
  return out;
}

std::optional<Parts> Divider::give(Time now, Life& life) {
  std::vector<Part> all;
  for (auto& [budget, s] : life.shares) {
    const Budget& b = fresh(now, budget);
    const Part p{budget, part_for(b, s), b.whole};
    if (p.per_s != s.held || p.whole != s.held_whole) all.push_back(p);
  }
  if (all.size() > kMostWords) {  // what is lowered goes first
    const auto raised = [&](const Part& p) { return p.per_s > life.shares.at(p.budget).last; };
    std::ranges::partition(all, [&](const Part& p) { return !raised(p); });
    all.resize(kMostWords);
  }
  std::ranges::sort(all, {}, &Part::budget);
  const bool same = life.out.empty() ? all.empty() && !life.fresh : life.out.back().all == all;
  const uint64_t number = !same ? life.newest + 1 : life.out.empty() ? life.base : life.out.back().number;
  if (!same) {
    if (life.out.size() >= kMostOut) return {};
    life.newest = number;
    life.out.push_back({number, all});
    for (auto& [budget, s] : life.shares) {
      s.last = s.held;
      s.last_whole = s.held_whole;
    }
    for (const Part& p : all) {
      Share& s = life.shares.at(p.budget);
      Budget& b = budgets_.at(p.budget);
      if (p.per_s < s.most) ++counts_.lowered;
      s.last = p.per_s;
      s.last_whole = p.whole;
      b.parts += std::max(s.most, s.last) - s.most;
      s.most = std::max(s.most, s.last);
      s.most_whole = std::max(s.most_whole, s.last_whole);
    }
  }
  for (auto& [budget, s] : life.shares) begin_turn(now, budget, s);
  return Parts{life.base, number, life.fresh, life.words, std::move(all)};
}

// As many whole calls as it begins in kTurnTerms. What it costs to hand a turn on, about a period, is little
// of that.
void Divider::begin_turn(Time now, uint64_t budget, Share& s) {
  if (s.turn_until != kNever || s.last <= 0) return;
  const double calls = std::ceil(kTurnTerms * s.last / least() - 1e-6);
  s.turn_until = now + static_cast<Time>(calls / s.last * kSecond);
  Budget& b = budgets_.at(budget);
  b.until = std::min(b.until, s.turn_until);
}

}  // namespace umberhoist::fleet
