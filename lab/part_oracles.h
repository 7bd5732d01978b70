// The oracles of the three parts that relays share, behind what partners, clients, subscribers and the
// platform tell them. Each is there where its part is on. Times are seconds on the play's clock.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>

#include "oracle_budgets.h"
#include "oracle_feeds.h"
#include "oracle_hits.h"
#include "oracle_rules.h"
#include "plan.h"

namespace umberhoist::lab {

class PartOracles {
 public:
  PartOracles(const Scenario& scenario, const Plan& plan);

  // Clients: a message, and the line that it was answered with; empty: none was heard.
  void handed_in(double now, const std::string& id, int relay, const Asked& asked);
  void sent_again(const std::string& id) { door.sent_again(id); }
  void answered(double now, const std::string& id, const std::string& line) { door.answered(now, id, line); }

  // Partners and the platform.
  void limit(double now, int destination, double per_s);
  void call(double first, double now, const std::string& id, int relay, int destination,
            const std::string& zone, const std::string& kind);
  void delivered(double now, const std::string& id);
  void noticed(double now, const std::string& id, const std::string& state);

  // Processes.
  void serving(double now, int relay, bool does);
  void emptied(double now, int relay);

  // The fleet's policy: a generation that is proposed, one that was seen in force, one that never was.
  void proposed(double now, int generation, const PolicyText& text);
  void acted(double now, double asked, int relay, int generation);
  void never(int generation) { versions.never(generation); }
  // What the newest generation says that was seen in force.
  const PolicyText& newest() const { return book.generations.at(newest_); }

  // The play ended at `end`, and until now subscribers have read on; hits were asked for before.
  void finish(double now, double end, const std::set<int>& serving);
  void tell(nlohmann::json& oracles, nlohmann::json& figures) const;

  PolicyBook book;
  Versions versions;
  Door door;
  std::optional<BudgetKept> budgets;
  std::optional<RulesKept> rules;
  std::optional<HitsExact> hits;
  std::optional<FeedExact> feeds;

 private:
  void limits_of(double now, const PolicyText& text);
  void count_limited();

  const Scenario& scenario_;
  std::set<int> away_;
  std::set<int> seen_;  // generations
  int newest_ = 0;
  std::set<std::string> limits_;  // of rules, known to the budgets' oracle
  uint64_t hits_in_doubt_ = 0;
};

}  // namespace umberhoist::lab
