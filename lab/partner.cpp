#include "partner.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "partner_endpoint.h"

namespace umberhoist::lab {
namespace {

constexpr double kBurst = 0.5;  // seconds of the limit that may be saved up
constexpr double kFewCalls = 30;

// What a cold partner bears of the calls that the settings allow it then (the operators' standing page).
double most_while_cold(double allowed) {
  const double spread = allowed < kFewCalls ? 3 : 2;
  return allowed + spread * std::sqrt(allowed) + spread;
}

}  // namespace

Partner::Partner(World& world, int number)
    : world_(world),
      number_(number),
      spec_(world.plan.partners.at(static_cast<size_t>(number))),
      tokens_(std::max(1.0, spec_.limit * kBurst)) {
  for (int i = 0; i < spec_.endpoints; ++i) {
    endpoints_.push_back(
        std::make_shared<Endpoint>(*this, "s-" + std::to_string(number) + "-" + std::to_string(made_++)));
    endpoints_.back()->zone = zone_name((number + i) % world.scenario.zones());
  }
}

Partner::~Partner() = default;

std::vector<Partner::Listed> Partner::listed() const {
  std::vector<Listed> out;
  for (const auto& e : endpoints_) out.push_back({e->id, text_of(e->address), e->phase, e->zone});
  return out;
}

void Partner::lower_limit(double factor) {
  limit_factor_ = factor;
  world_.parts.limit(world_.now(), number_, limit_now());
}

void Partner::refill() {
  const double now = world_.now();
  const double most = std::max(1.0, limit_now() * kBurst);
  tokens_ = std::min(most, tokens_ + (now - refilled_) * limit_now());
  refilled_ = now;
  if (reported_at_ >= 0 && now - reported_at_ < world_.scenario.partners.report_s) return;
  reported_at_ = now;
  reported_left_ = std::clamp(tokens_ / most, 0.0, 1.0);
  reported_limit_ = limit_now();
}

std::string Partner::report() {
  refill();
  char text[64];
  std::snprintf(text, sizeof text, "X-Load-Report: x0=%.3f,x1=%.2f\r\n", reported_left_, reported_limit_);
  return text;
}

std::string Partner::refusal(double& told) {
  refill();
  const PartnerSpec& all = world_.scenario.partners;
  if (state_ == State::kShut) {
    if (world_.unit() < all.told_share) told = std::max(0.05, open_at_ - world_.now());
  } else if (tokens_ >= 1) {
    tokens_ -= 1;
    return "";
  } else {
    tokens_ = std::max(tokens_ - 0.3, -limit_now() * kBurst);  // a refused call uses the limit up too
    if (world_.unit() < all.told_share)
      told = std::max(all.wait_s.draw(world_.chance), (1 - tokens_) / limit_now());
  }
  return told > 0 ? "429 Too Many Requests" : "503 Service Unavailable";
}

double Partner::capacity() const {
  if (warm_from_ < 0) return 1;
  const PartnerSpec& all = world_.scenario.partners;
  const double warm = all.cold_s > 0 ? (world_.now() - warm_from_) / all.cold_s : 1;
  return std::clamp(all.start_capacity + (1 - all.start_capacity) * warm, 0.0, 1.0);
}

// Every call that reaches a cold partner weighs, refused ones too.
void Partner::arrived(int relay) {
  if (warm_from_ < 0 || fallen_) return;
  const PartnerSpec& all = world_.scenario.partners;
  const double now = world_.now();
  if (now - warm_from_ > all.cold_s) {
    warm_from_ = -1;
    arrivals_.clear();
    return;
  }
  arrivals_.emplace_back(now, relay);
  while (arrivals_.front().first < now - all.fall_s) arrivals_.pop_front();
  if (now - warm_from_ < all.fall_s) return;
  double cores = 0;
  for (const auto& e : endpoints_) cores += e->cores();  // as many as it has now: cold ones are fewer
  if (static_cast<double>(arrivals_.size()) >
      most_while_cold(all.fall_multiple * all.fall_s * cores / spec_.pace))
    fall();
}

void Partner::fall() {
  fallen_ = true;
  std::map<int, int> by_relay;
  for (const auto& [at, relay] : arrivals_) ++by_relay[relay];
  world_.oracles.pushed_over(world_.now(), number_, by_relay);
  world_.figures.fell(world_.now(), number_);
  for (const auto& e : endpoints_) {
    e->shut(false);
    e->close_all();
  }
}

void Partner::trouble(const std::string& state, double factor, double lasts) {
  static const std::map<std::string, State> states = {
      {"down", State::kDown},   {"silent", State::kSilent}, {"hung", State::kHung}, {"slow", State::kSlow},
      {"lossy", State::kLossy}, {"errors", State::kErrors}, {"shut", State::kShut}};
  if (state_ != State::kUp || fallen_) return;  // one trouble at a time
  state_ = states.at(state);
  factor_ = factor;
  open_at_ = world_.now() + lasts;
  warm_from_ = -1;
  if (outage(state_)) {
    world_.oracles.outage_began(world_.now(), number_);
    world_.figures.outage(world_.now(), number_, lasts);
  }
  for (const auto& e : endpoints_) {
    if (state_ == State::kDown) {
      e->shut(false);
      e->close_all();
    } else if (state_ == State::kSilent) {
      e->shut(true);
    }
  }
  world_.after(lasts, [this] { recover(); });
}

void Partner::recover() {
  const State was = std::exchange(state_, State::kUp);
  factor_ = 1;
  if (!outage(was)) return;
  world_.oracles.outage_ended(world_.now(), number_);
  if (was != State::kShut) warm_from_ = world_.now();
  arrivals_.clear();
  world_.oracles.came_back(number_);
  for (const auto& e : endpoints_) {
    if (was == State::kSilent || was == State::kHung)
      e->close_all();  // what was open is reset once it is back
    if (was == State::kDown || was == State::kSilent) e->open();
  }
}

std::string Partner::replace_one() {
  for (const auto& e : endpoints_) {
    if (e->phase != "active") continue;
    e->phase = "leaving";
    ++changes_;
    const std::string old = e->id, zone = e->zone;
    endpoints_.push_back(
        std::make_shared<Endpoint>(*this, "s-" + std::to_string(number_) + "-" + std::to_string(made_++)));
    endpoints_.back()->zone = zone;
    if (state_ == State::kDown || fallen_) endpoints_.back()->shut(false);
    return old;
  }
  return "";
}

// Machines that were leaving are gone: their connections end, and their address refuses.
void Partner::remove_left() {
  for (auto it = endpoints_.begin(); it != endpoints_.end();) {
    if ((*it)->phase != "leaving") {
      ++it;
      continue;
    }
    (*it)->shut(false);
    (*it)->close_all(false);
    ++changes_;
    it = endpoints_.erase(it);
  }
}

}  // namespace umberhoist::lab
