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
                    " reign=" + std::to_string(holder().leader_term()) +
                    " divides=" + std::to_string(allocator().counts().budgets) + "\n";
  for (const auto& [name, s] : holder().status(now)) {
    out += one_word(name) + " whole=" + rate(s.capacity) + " part=" + rate(s.share) +
           " floor=" + rate(s.floor) + " demand=" + rate(s.demand) + "\n";
  }
  return out + "END\n";
}

std::string BudgetLink::figures() const {
  const auto now = lease_now();
  const auto all = holder().status(now);
  std::vector<std::pair<std::string, umberhoist::fleet::BudgetHolder::Status>> shown(all.begin(), all.end());
  std::ranges::stable_sort(shown, std::greater<>(), [](const auto& entry) { return entry.second.demand; });
  umberhoist::fleet::BudgetHolder::Status rest;
  for (size_t i = kMostSeries; i < shown.size(); ++i) {
    rest.capacity += shown[i].second.capacity;
    rest.share += shown[i].second.share;
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
    out += "budget_whole" + of + rate(s.capacity) + "\nbudget_part" + of + rate(s.share) + "\nbudget_floor" +
           of + rate(s.floor) + "\nbudget_demand" + of + rate(s.demand) + "\n";
  }
  const auto line = [&](const char* name, uint64_t value) {
    out += std::string("budget_") + name + " " + std::to_string(value) + "\n";
  };
  const auto counts = allocator().counts();
  line("leased", holder().leased(now) ? 1 : 0);
  line("tables_taken_total", holder().tables_applied());
  line("grants_out", counts.outstanding_shares);
  line("grants_lowered_total", counts.shares_lowered);
  line("grants_lapsed_total", counts.shares_expired);
  line("grants_held_off_total", counts.answers_withheld);
  line("unreadable_total", BudgetPiggyback::malformed());
  return out;
}

}  // namespace firspool::relay
