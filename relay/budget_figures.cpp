// What people see of the fleet's budgets: the reply to BUDGETS, and lines of METRICS.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "budget.h"
#include "budget_link.h"

namespace firspool::relay {
namespace {

std::string rate(double per_s) { return nlohmann::json(std::round(per_s * 1000) / 1000).dump(); }

std::string one_word(std::string name) {
  std::ranges::replace_if(
      name, [](unsigned char c) { return c <= ' ' || c == '"' || c == '\\'; }, '_');
  return name;
}

}  // namespace

std::string BudgetLink::lines() const {
  const auto now = lease_now();
  std::string out = std::string("OK\nlease ") + (holder().leased(now) ? "granted" : "none") +
                    " reign=" + std::to_string(holder().reign()) +
                    " divides=" + std::to_string(divider().counts().budgets) + "\n";
  for (const auto& [name, s] : holder().standing(now)) {
    out += one_word(name) + " whole=" + rate(s.whole) + " part=" + rate(s.part) + " floor=" + rate(s.floor) +
           " demand=" + rate(s.demand) + "\n";
  }
  return out + "END\n";
}

std::string BudgetLink::figures() const {
  const auto now = lease_now();
  const auto all = holder().standing(now);
  std::vector<std::pair<std::string, umberhoist::fleet::BudgetHolder::Standing>> shown(all.begin(),
                                                                                       all.end());
  std::ranges::stable_sort(shown, std::greater<>(), [](const auto& entry) { return entry.second.demand; });
  umberhoist::fleet::BudgetHolder::Standing rest;
  for (size_t i = kMostSeries; i < shown.size(); ++i) {
    rest.whole += shown[i].second.whole;
    rest.part += shown[i].second.part;
    rest.floor += shown[i].second.floor;
    rest.demand += shown[i].second.demand;
  }
  if (shown.size() > kMostSeries) {
    shown.resize(kMostSeries);
    shown.emplace_back("rest", rest);
  }
  std::string out;
  for (const auto& [name, s] : shown) {
    const std::string of = "{budget=\"" + one_word(name) + "\"} ";
    out += "budget_whole" + of + rate(s.whole) + "\nbudget_part" + of + rate(s.part) + "\nbudget_floor" + of +
           rate(s.floor) + "\nbudget_demand" + of + rate(s.demand) + "\n";
  }
  const auto line = [&](const char* name, uint64_t value) {
    out += std::string("budget_") + name + " " + std::to_string(value) + "\n";
  };
  const auto counts = divider().counts();
  line("leased", holder().leased(now) ? 1 : 0);
  line("tables_taken_total", holder().taken());
  line("grants_out", counts.out);
  line("grants_lowered_total", counts.lowered);
  line("grants_lapsed_total", counts.lapsed);
  line("grants_held_off_total", counts.held_off);
  line("unreadable_total", BudgetRider::unreadable());
  return out;
}

}  // namespace firspool::relay
