#include "hit_samples.h"

#include <sstream>

#include "../ctl/ask.h"

namespace umberhoist::lab {
namespace {

constexpr double kEvery = 0.7;  // seconds between two relays

}  // namespace

HitsExact::Counts read_hits(const std::vector<std::string>& lines) {
  HitsExact::Counts out;
  for (const std::string& line : lines) {
    const size_t customer = line.find(" customer=");  // the rest of the line
    if (!line.starts_with("rule ") || customer == std::string::npos) continue;
    std::string id;
    uint64_t fleet = 0;
    std::istringstream words(line.substr(0, customer));
    for (std::string word; words >> word;) {
      if (word.starts_with("id=")) id = word.substr(3);
      if (word.starts_with("fleet=")) fleet = std::strtoull(word.c_str() + 6, nullptr, 10);
    }
    out[{line.substr(customer + 10), id}] += fleet;
  }
  return out;
}

std::optional<HitsExact::Counts> HitSamples::ask(int relay) {
  try {
    const auto reply = ctl::ask(text_of(fleet_.second_address(relay)), "ACCESS HITS");
    if (reply.ok) return read_hits(reply.lines);
  } catch (const std::exception&) {
  }
  return std::nullopt;
}

void HitSamples::start() { sample(); }

void HitSamples::sample() {
  world_.after(kEvery, [this] {
    if (over_) return;
    const int relay = next_;
    next_ = (next_ + 1) % static_cast<int>(fleet_.size());
    if (fleet_.serving(relay)) {
      if (const auto counts = ask(relay)) world_.parts.hits->told(world_.now(), relay, *counts);
    }
    sample();
  });
}

bool HitSamples::exact() {
  const HitsExact::Bounds bounds = world_.parts.hits->expected(world_.parts.door);
  last_.clear();
  bool all = true;
  for (int r = 0; r < static_cast<int>(fleet_.size()); ++r) {
    if (!fleet_.serving(r)) continue;
    last_[r] = ask(r).value_or(HitsExact::Counts());
    all = all && HitsExact::wrong(bounds, last_[r]).empty();
  }
  return all;
}

void HitSamples::finish() {
  stop();
  const HitsExact::Bounds bounds = world_.parts.hits->expected(world_.parts.door);
  for (const auto& [relay, counts] : last_) {
    world_.parts.hits->final_counts(world_.now(), relay, bounds, counts);
  }
}

}  // namespace umberhoist::lab
