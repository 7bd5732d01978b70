// Connection of the relay to the fleet's budgets: its configuration section, and the shares that the decision
// module receives.
#include "budget_link.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

#include "budget.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;
using nlohmann::json;

json section() {
  return {{"cluster", "c"},
          {"bind", "127.0.0.1:7946"},
          {"peers",
           {{{"name", "n0"}, {"address", "127.0.0.1:7946"}, {"voter", true}},
            {{"name", "n1"}, {"address", "127.0.0.1:7947"}}}},
          {"period_ms", 500},
          {"term_ms", 3000},
          {"budgets", {{"floor", 0.2}, {"burst_ms", 1500}}}};
}

TEST(BudgetSection, IsRejectedAsAWholeAndNamesTheKey) {
  EXPECT_EQ(parse_fleet(section(), "n0", true).budgets->burst, 1'500'000);
  json none = section();
  none.erase("budgets");
  EXPECT_FALSE(parse_fleet(none, "n0", true).budgets);
  const std::vector<std::pair<json, std::string>> bad = {
      {{{"floor", 0}, {"burst_ms", 1000}}, "fleet.budgets.floor"},
      {{{"floor", 1.1}, {"burst_ms", 1000}}, "fleet.budgets.floor"},
      {{{"floor", 0.2}}, "fleet.budgets.burst_ms"},
      {{{"floor", 0.2}, {"burst_ms", 10001}}, "fleet.budgets.burst_ms"},
      {{{"floor", 0.2}, {"burst_ms", 1000}, {"part", 1}}, "fleet.budgets.part"},
      {json("all"), "fleet.budgets"}};
  for (const auto& [budgets, key] : bad) {
    json fleet_section = section();
    fleet_section["budgets"] = budgets;
    try {
      parse_fleet(fleet_section, "n0", true);
      ADD_FAILURE() << budgets;
    } catch (const umberhoist::OperatorError& fault) {
      EXPECT_EQ(fault.where(), key);
      EXPECT_STREQ(fault.code(), "budget_settings");
    }
  }
}

TEST(BudgetFaults, EachHasARowOnTheOnCallPage) {
  std::ifstream file(ON_CALL);
  const std::string page{std::istreambuf_iterator<char>(file), {}};
  for (const auto& kind : kBudgetFaults)
    EXPECT_NE(page.find("| `" + std::string(kind.code) + "` |"), std::string::npos);
}

class BudgetLinkTest : public ::testing::Test {
 protected:
  BudgetLinkTest() {
    config.fleet = parse_fleet(section(), "n0", true);
    config.settings.tenants = {{"a", 0}, {"b", 20}};
    config.settings.weights = Weights::kNominal;
    config.settings.kinds = {{"plain", false, 1}, {"apart", true, 1}};
    config.settings.report_limit_index = 0;
    config.names = {{"z"}, {"plain", "apart"}};
    BudgetLink::Host host;
    host.grant = [this](const ShareGranted& granted) { shares[{granted.scope, granted.id}] = granted.per_s; };
    host.waiting = [](const std::function<void(const std::string&)>& each) { each("dest/7"); };
    host.limits = [this] { return limits; };
    link.emplace(io, config, directory, host);
  }
  void list(int64_t revision, const std::vector<std::pair<int, double>>& destinations) {
    HostList all{revision, true, {}};
    for (const auto& [number, weight] : destinations) {
      ListedHost host;
      host.id = "h" + std::to_string(number);
      host.member.destination = number;
      host.member.kind = number == 9 ? 1 : 0;
      host.member.weight = weight;
      all.hosts.push_back(host);
    }
    link->hear({*directory.apply(all)});
  }
  double share(ShareGranted::Scope of, int number) {
    const auto it = shares.find({of, number});
    return it == shares.end() ? -2 : it->second;
  }

  boost::asio::io_context io;
  Config config;
  Directory directory;
  std::map<std::pair<ShareGranted::Scope, int>, double> shares;
  std::vector<umberhoist::access::Limit> limits;
  std::optional<BudgetLink> link;
};

TEST_F(BudgetLinkTest, WithoutALeaseItHasItsFloorOfTheListedOrReportedCapacity) {
  EXPECT_DOUBLE_EQ(share(ShareGranted::Scope::kTenant, 1), 2);
  EXPECT_EQ(share(ShareGranted::Scope::kTenant, 0), -2);  // without a quota there is no capacity
  list(1, {{7, 100}, {8, 2}, {9, 50}});
  EXPECT_DOUBLE_EQ(share(ShareGranted::Scope::kDestination, 7), 10);
  EXPECT_EQ(share(ShareGranted::Scope::kDestination, 8), 0);  // no floor below one call per lease duration
  EXPECT_EQ(share(ShareGranted::Scope::kDestination, 9),
            -2);  // independent endpoints have limits of their own
  AttemptEnded end;
  end.endpoint = directory.hosts().begin()->first;
  end.report = {40};
  link->hear({end});
  EXPECT_DOUBLE_EQ(share(ShareGranted::Scope::kDestination, 7), 4);
  list(2, {{8, 2}});
  EXPECT_LT(share(ShareGranted::Scope::kDestination, 7), 0);  // not listed: its budget is withdrawn
  limits = {{3, "rule/a/slow", 30}};
  link->renewal_payload(lease_now());
  EXPECT_DOUBLE_EQ(share(ShareGranted::Scope::kLimit, 3), 3);
  EXPECT_DOUBLE_EQ(link->may("rule/a/slow"), 3);
  shares.erase({ShareGranted::Scope::kTenant, 1});
  link->hear({SettingsChanged{config.settings}});  // the module has lost its tenant shares
  EXPECT_DOUBLE_EQ(share(ShareGranted::Scope::kTenant, 1), 2);
  limits.clear();
  link->renewal_payload(lease_now());
  EXPECT_LT(share(ShareGranted::Scope::kLimit, 3), 0);
}

TEST_F(BudgetLinkTest, ReportsDemandAndGrantsTheShareUntilTheLeaseEnds) {
  list(1, {{7, 100}, {8, 2}});
  MessageReceived arrival;
  arrival.destination = 8;
  link->hear({arrival, arrival});
  const fleet::Time now = lease_now();
  const fleet::DemandReport report = fleet::DemandReport::decode(link->renewal_payload(now));
  ASSERT_EQ(report.updates.size(), 2u);  // one message waits for 7, two arrived for 8
  for (const auto& update : report.updates) EXPECT_GT(update.per_s, 0);
  const fleet::Share granted{fleet::budget_hash("dest/7"), 35, 100};
  link->on_grant(now, 5, fleet::ShareTable{0, 1, false, report.version, {granted}}.encode(),
                 now + 200 * fleet::kMs);
  EXPECT_DOUBLE_EQ(share(ShareGranted::Scope::kDestination, 7), 45);
  link->on_grant(now, 5, "no parts", now + fleet::kSecond);
  EXPECT_NE(link->lines().find("dest/7 whole=100.0 part=35.0 floor=10.0 demand="), std::string::npos)
      << link->lines();
  EXPECT_NE(link->figures().find("budget_unreadable_total 1\n"), std::string::npos);
  io.run_for(std::chrono::milliseconds(400));  // no more grants: its own timer ends the share
  EXPECT_DOUBLE_EQ(share(ShareGranted::Scope::kDestination, 7), 10);
}

}  // namespace
}  // namespace firspool::relay
