#include "figures.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>
#include <numeric>

namespace umberhoist::lab {

double jain(const std::vector<double>& shares) {
  double sum = 0, squares = 0;
  for (const double x : shares) sum += x, squares += x * x;
  return squares > 0 ? sum * sum / (static_cast<double>(shares.size()) * squares) : 1;
}

Figures::Figures(const Scenario& scenario, const Plan& plan)
    : scenario_(scenario),
      plan_(plan),
      messages_(plan.messages.size()),
      by_relay_(static_cast<size_t>(scenario.relays)),
      memory_(by_relay_.size()),
      cpu_(by_relay_.size()),
      latency_(boost::histogram::make_histogram(Axis(120, 1e-3, 1e2))) {}

void Figures::asked(size_t m) {
  messages_[m].asked = true;
  const auto& c = scenario_.classes[static_cast<size_t>(plan_.messages[m].message_class)];
  bin(plan_.messages[m].at).asked += c.worth;
}

void Figures::withdrawn(size_t m) {
  if (!std::exchange(messages_[m].asked, false)) return;
  const auto& c = scenario_.classes[static_cast<size_t>(plan_.messages[m].message_class)];
  bin(plan_.messages[m].at).asked -= c.worth;
}

// In full within the wanted time, then half as much with each further such time, down to the late worth.
void Figures::served(size_t m, double now, int relay) {
  Served& s = messages_[m];
  if (s.at >= 0 || !s.asked) return;
  s.at = now;
  const PlannedMessage& planned = plan_.messages[m];
  const auto& c = scenario_.classes[static_cast<size_t>(planned.message_class)];
  const double took = now - planned.at;
  latency_(std::max(1e-3, took));
  by_relay_[static_cast<size_t>(relay)] += 1;
  if (took > c.give_up_s) return;
  const double late = c.target_s > 0 ? std::max(0.0, took - c.target_s) / c.target_s : 0;
  s.worth = c.worth * std::max(c.late_worth, std::pow(0.5, late));
  bin(planned.at).served += s.worth;
}

void Figures::refused(double now) { bin(now).refused += 1; }
void Figures::returned(double now) { bin(now).returned += 1; }
void Figures::failed(double now) { bin(now).failed += 1; }

void Figures::call(double now, int, int, bool in_outage) {
  bin(now).calls += 1;
  if (in_outage) bin(now).scouts += 1;
}

void Figures::refused_call(double now, int) { bin(now).refused_calls += 1; }
void Figures::connected(double now, int) { bin(now).connects += 1; }
void Figures::outage(double, int, double) { ++outages_; }
void Figures::fell(double, int) { ++fallen_; }
void Figures::asked_for_list(double now, int) { bin(now).asks += 1; }

void Figures::used(double now, int relay, double cpu_s, double memory_bytes, int descriptors) {
  const size_t r = static_cast<size_t>(relay);
  cpu_[r] += cpu_s;
  memory_[r] = std::max(memory_[r], memory_bytes);
  descriptors_ = std::max(descriptors_, descriptors);
  if (memory_series_.empty() || now - memory_series_.back().first >= 0.5) {
    memory_series_.emplace_back(now, *std::max_element(memory_.begin(), memory_.end()) / 1e6);
  }
}

double Figures::share(const std::function<bool(size_t)>& which) const {
  double asked = 0, served = 0;
  for (size_t i = 0; i < messages_.size(); ++i) {
    if (!messages_[i].asked || !which(i)) continue;
    asked += scenario_.classes[static_cast<size_t>(plan_.messages[i].message_class)].worth;
    served += messages_[i].worth;
  }
  return asked > 0 ? served / asked : 1;
}

// Seconds from a fault's beginning until three seconds in a row are served as well as before all faults,
// within a tenth; -1: not within the play.
double Figures::recovered(const Fault& fault, double end) const {
  const double first = plan_.faults.front().at;
  const auto between = [&](double from, double to) {
    return share([&](size_t i) { return plan_.messages[i].at >= from && plan_.messages[i].at < to; });
  };
  const double usual = between(0, std::max(1.0, first));
  for (double t = fault.at + std::min(fault.lasts, 0.5); t + 3 <= end; t += 0.5) {
    if (between(t, t + 3) >= 0.9 * usual) return t - fault.at;
  }
  return -1;
}

nlohmann::json Figures::result(double end) const {
  nlohmann::json figures, series;
  const auto any = [](size_t) { return true; };
  const double length = scenario_.length_s;
  figures["worth"] = share(any);
  for (size_t c = 0; c < scenario_.classes.size(); ++c) {
    figures["worth_class_" + scenario_.classes[c].name] =
        share([&](size_t i) { return plan_.messages[i].message_class == static_cast<int>(c); });
  }
  for (int third = 0; third < 3; ++third) {
    figures["worth_third_" + std::to_string(third + 1)] =
        share([&](size_t i) { return static_cast<int>(plan_.messages[i].at / length * 3) == third; });
  }
  double worst = 1;
  for (double t = 0; t + std::min(10.0, length) <= length + 1e-9; t += 1) {
    worst = std::min(
        worst, share([&](size_t i) { return plan_.messages[i].at >= t && plan_.messages[i].at < t + 10; }));
  }
  figures["worth_worst_10s"] = worst;
  Bin sum;
  for (const auto& [second, b] : bins_) {
    const auto point = [&](const char* name, double value) {
      series[name].push_back(nlohmann::json::array({static_cast<double>(second), value}));
    };
    if (b.asked > 0) point("worth", b.served / b.asked);
    point("calls", b.calls);
    point("refused_calls", b.refused_calls);
    point("connects", b.connects);
    point("refused", b.refused);
    point("returned", b.returned);
    point("asks_for_list", b.asks);
    point("calls_into_outages", b.scouts);
    sum.calls += b.calls, sum.refused_calls += b.refused_calls, sum.connects += b.connects;
    sum.refused += b.refused, sum.returned += b.returned, sum.failed += b.failed;
    sum.asks += b.asks, sum.scouts += b.scouts;
  }
  for (const auto& [t, mb] : memory_series_) series["memory_mb"].push_back(nlohmann::json::array({t, mb}));
  figures["messages"] = static_cast<double>(messages_.size());
  figures["calls"] = sum.calls;
  figures["calls_refused_share"] = sum.calls > 0 ? sum.refused_calls / sum.calls : 0;
  figures["connections"] = sum.connects;
  figures["refused_at_door"] = sum.refused;
  figures["returned"] = sum.returned;
  figures["failed"] = sum.failed;
  figures["asks_for_list"] = sum.asks;
  figures["scouts_per_outage"] = outages_ > 0 ? sum.scouts / outages_ : 0;
  figures["partners_fallen"] = fallen_;
  figures["jain_relays"] = jain(by_relay_);
  figures["memory_mb_most"] = *std::max_element(memory_.begin(), memory_.end()) / 1e6;
  figures["descriptors_most"] = descriptors_;
  figures["cpu_relays_cores"] = std::accumulate(cpu_.begin(), cpu_.end(), 0.0) / std::max(1.0, end);
  figures["cpu_lab_cores"] = lab_cpu_;
  if (view_settled_ >= 0) figures["view_settle_s_slowest"] = view_settled_;
  if (policy_in_force_ >= 0) {
    figures["policy_in_force"] = policy_in_force_;
    figures["policy_turned_down"] = policy_turned_down_;
    figures["policy_mix_s_longest"] = policy_mix_;
    figures["policy_taken_s_slowest"] = policy_slowest_;
  }
  for (const auto& [name, value] : more_) figures[name] = value;
  double slowest = 0;
  for (size_t i = 0; i < plan_.faults.size(); ++i) {
    const double took = recovered(plan_.faults[i], length);
    char name[48];
    std::snprintf(name, sizeof name, "recovery_s_fault_%02zu", i);
    if (plan_.faults.size() <= 12) figures[name] = took;
    slowest = took < 0 || slowest < 0 ? -1 : std::max(slowest, took);
  }
  if (!plan_.faults.empty()) figures["recovery_s_slowest"] = slowest;
  double count = 0;
  for (auto&& x : boost::histogram::indexed(latency_)) count += *x;
  double so_far = 0;
  const std::pair<const char*, double> quantiles[] = {
      {"latency_ms_p50", 0.5}, {"latency_ms_p90", 0.9}, {"latency_ms_p99", 0.99}};
  size_t next = 0;
  for (auto&& x : boost::histogram::indexed(latency_)) {
    so_far += *x;
    if (*x > 0) series["latency"].push_back(nlohmann::json::array({x.bin().center() * 1000, double(*x)}));
    while (next < 3 && count > 0 && so_far >= quantiles[next].second * count) {
      figures[quantiles[next++].first] = x.bin().upper() * 1000;
    }
  }
  return {{"figures", figures}, {"series", series}};
}

}  // namespace umberhoist::lab
