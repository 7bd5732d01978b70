#include "part_oracles.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "figures.h"
#include "rule_plan.h"

namespace umberhoist::lab {
namespace {

constexpr double kMix = 3.0 * (1 + 2 / 500.0) + 0.05;  // seconds that two policies are in force at once
constexpr double kBefore = -1000;                      // the play

std::string destination_name(int destination) { return "dest/" + std::to_string(destination); }

}  // namespace

PartOracles::PartOracles(const Scenario& scenario, const Plan& plan) : versions(kMix), scenario_(scenario) {
  for (int z = 0; z < scenario.zones(); ++z) book.zones.push_back(zone_name(z));
  book.kinds.assign(std::begin(kKinds), std::end(kKinds));
  book.generations[0] = founding_policy(scenario, plan.seed);
  if (scenario.budgets.on) {
    BudgetKept::Terms terms;
    terms.burst = scenario.budgets.burst_ms / 1000;
    budgets.emplace(terms, scenario.relays);
    budgets->serving(0, true);
    for (size_t p = 0; p < plan.partners.size(); ++p) {
      budgets->whole(kBefore, destination_name(static_cast<int>(p)), plan.partners[p].limit);
    }
    limits_of(kBefore, book.generations[0]);
  }
  if (scenario.access.on) {
    rules.emplace(book, versions);
    hits.emplace(book, versions);
  }
  if (scenario.feeds.on) feeds.emplace();
}

// A rule's text never changes, so its limit does not either.
void PartOracles::limits_of(double now, const PolicyText& text) {
  for (const auto& [customer, list] : text.access) {
    for (const AccessRule& r : list.rules) {
      const std::string name = "rule/" + customer + "/" + r.id;
      if (r.say == "limit" && limits_.insert(name).second) budgets->whole(now, name, r.per_s);
    }
  }
}

void PartOracles::handed_in(double now, const std::string& id, int relay, const Asked& asked) {
  door.handed_in(now, id, relay, asked);
  if (feeds) feeds->handed_in(id, asked.customer, asked.from, relay);
}

void PartOracles::limit(double now, int destination, double per_s) {
  if (budgets) budgets->whole(now, destination_name(destination), per_s);
}

void PartOracles::call(double first, double now, const std::string& id, int relay, int destination,
                       const std::string& zone, const std::string& kind) {
  door.call(first, now, id, zone, kind);
  if (budgets) budgets->call(now, destination_name(destination), relay);
}

void PartOracles::delivered(double now, const std::string& id) {
  if (feeds) feeds->delivered(now, id);
}

void PartOracles::noticed(double now, const std::string& id, const std::string& state) {
  door.noticed(now, id);
  if (feeds) feeds->noticed(now, id, state);
}

void PartOracles::serving(double now, int relay, bool does) {
  if (does) {
    away_.erase(relay);
  } else {
    away_.insert(relay);
  }
  if (budgets) budgets->serving(now, away_.empty());
}

void PartOracles::emptied(double now, int relay) {
  if (hits) hits->emptied(now, relay);
  if (feeds) feeds->emptied(now, relay);
}

void PartOracles::proposed(double now, int generation, const PolicyText& text) {
  versions.proposed(now, generation);
  book.generations[generation] = text;
  if (budgets) limits_of(now, text);
}

void PartOracles::acted(double now, double asked, int relay, int generation) {
  versions.acted(now, asked, relay, generation);
  // In the order in which they were first seen.
  if (seen_.insert(generation).second) newest_ = generation;
}

void PartOracles::count_limited() {
  struct Paid {
    double at;
    std::string budget;
  };
  std::vector<Paid> all;
  for (const auto& [id, record] : door.records()) {
    if (record.calls.empty()) continue;
    std::vector<Ruling> rulings;
    for (const int g : versions.possible(record.relay, record.sent, record.taken_by())) {
      rulings.push_back(book.ruling(g, record.asked));
    }
    for (const DoorRecord::Call& call : record.calls) {
      const auto limit = [&](const Ruling& r) { return r.ways.at({call.zone, call.kind}).limit; };
      if (rulings.empty() || limit(rulings.front()).empty()) continue;
      // In doubt it counts for none.
      const std::string rule = limit(rulings.front());
      if (!std::ranges::all_of(rulings, [&](const Ruling& r) { return limit(r) == rule; })) continue;
      all.push_back({call.at, "rule/" + record.asked.customer + "/" + rule});
    }
  }
  std::ranges::sort(all, {}, &Paid::at);
  for (const Paid& paid : all) budgets->call(paid.at, paid.budget, -1);
}

void PartOracles::finish(double now, double end, const std::set<int>& serving) {
  if (rules) {
    for (const auto& [id, record] : door.records()) rules->judge(id, record);
  }
  if (hits) hits_in_doubt_ = hits->expected(door).messages_in_doubt;
  if (budgets && rules) count_limited();
  if (feeds) feeds->finish(now, end, serving, newest().removed.empty());
}

void PartOracles::tell(nlohmann::json& oracles, nlohmann::json& figures) const {
  const auto verdict = [&](const char* name, const Verdict& v) {
    oracles[name] = {{"held", v.held()},
                     {"checked", v.checked},
                     {"first_broken", v.held() ? nlohmann::json(nullptr) : nlohmann::json(v.first)}};
    if (!v.held()) oracles[name]["broken"] = v.broken;
  };
  if (budgets) {
    verdict("budget_kept", budgets->verdict());
    figures["budget_ratio_largest"] = budgets->largest_ratio();
    figures["calls_over_whole"] = budgets->over_whole();
    double seen = 0;
    for (const double share : budgets->shares()) seen += share;
    figures["budget_jain"] = seen < 20 * static_cast<double>(scenario_.relays) ? -1 : jain(budgets->shares());
  }
  if (rules) {
    verdict("rules_kept", rules->verdict());
    figures["rules_denied"] = rules->denied();
    figures["rules_in_doubt"] = rules->in_doubt();
    figures["rules_restricted_calls"] = rules->restricted();
    verdict("hits_exact", hits->verdict());
    figures["hits_in_doubt"] = hits_in_doubt_;
  }
  if (feeds) {
    verdict("feed_exact", feeds->verdict());
    figures["feed_given"] = feeds->given();
    figures["feed_in_gaps"] = feeds->in_gaps();
    figures["feed_out_of_reach"] = feeds->out_of_reach();
  }
}

}  // namespace umberhoist::lab
