// umberhoistctl: the operators' command line over the relays' second addresses.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "access.h"
#include "ask.h"
#include "budgets.h"
#include "customer.h"
#include "feeds.h"
#include "fleet_view.h"
#include "policy.h"

namespace {

using namespace umberhoist::ctl;

constexpr int kDiffers = 1;

// Of one relay or several; 0 where all of them answered OK.
int status(const std::vector<std::string>& relays, bool as_json) {
  int worst = 0;
  nlohmann::json all = nlohmann::json::object();
  for (const std::string& relay : relays) {
    std::string line;
    try {
      line = ask(relay, "STATUS").first;
    } catch (const std::exception& fault) {
      line = std::string("ERR ") + fault.what();
    }
    if (!line.starts_with("OK")) worst = kDiffers;
    all[relay] = line;
    if (!as_json) std::cout << relay << "  " << line << "\n";
  }
  if (as_json) std::cout << all.dump(1) << "\n";
  return worst;
}

int metrics(const std::string& relay, bool as_json) {
  const Reply reply = ask(relay, "METRICS");
  if (!reply.ok) throw std::runtime_error(relay + ": " + reply.first);
  nlohmann::json all = nlohmann::json::object();
  for (const std::string& line : reply.lines) {
    const size_t space = line.rfind(' ');
    all[line.substr(0, space)] = nlohmann::json::parse(line.substr(space + 1), nullptr, false);
    if (!as_json) std::cout << line << "\n";
  }
  if (as_json) std::cout << all.dump(1) << "\n";
  return 0;
}

int fleet_view(const std::vector<std::string>& relays, bool watch, double every_s) {
  for (;;) {
    std::vector<std::pair<std::string, View>> views;
    std::string silent;
    for (const std::string& relay : relays) {
      try {
        const Reply reply = ask(relay, "FLEET");
        if (!reply.ok) throw std::runtime_error(relay + ": " + reply.first);
        views.emplace_back(relay, read_view(reply.lines));
      } catch (const std::exception& fault) {
        silent += std::string(fault.what()) + "\n";
      }
    }
    const Table table = side_by_side(views);
    if (watch) std::cout << "\033[2J\033[H";
    std::cout << table.text << silent << (table.agree ? "" : "views differ\n") << std::flush;
    if (!watch) return views.empty() ? kUnusable : table.agree && silent.empty() ? 0 : kDiffers;
    std::this_thread::sleep_for(std::chrono::duration<double>(every_s));
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("The operators' command line over the relays' second addresses.");
  app.require_subcommand(1);
  std::vector<std::string> relays;
  bool as_json = false;
  const auto to_relays = [&](CLI::App* command) {
    command
        ->add_option("--relay", relays, "HOST:PORT of a relay's second address; more than one may be named")
        ->required()
        ->allow_extra_args(false);
    return command;
  };
  CLI::App* status_command = to_relays(app.add_subcommand("status", "whether relays serve"));
  status_command->add_flag("--json", as_json);
  CLI::App* metrics_command = to_relays(app.add_subcommand("metrics", "a relay's figures"));
  metrics_command->add_flag("--json", as_json);
  CLI::App* fleet_command = app.add_subcommand("fleet", "the relays as they see each other");
  fleet_command->require_subcommand(1);
  CLI::App* view_command =
      to_relays(fleet_command->add_subcommand("view", "one table; exit 1 where views differ"));
  bool watch = false;
  double every_s = 1;
  view_command->add_flag("--watch", watch, "again and again");
  view_command->add_option("--every", every_s, "seconds")->check(CLI::PositiveNumber);
  CLI::App* feeds =
      to_relays(app.add_subcommand("feeds", "customers' outcome feeds: logs, and what is remembered"));
  CLI::App* budgets =
      to_relays(app.add_subcommand("budgets", "what each relay may spend of what they share"));
  CLI::App* policy = app.add_subcommand("policy", "the fleet's policy: one version, everywhere or nowhere");
  policy->require_subcommand(1);
  Proposal proposal;
  CLI::App* propose = to_relays(policy->add_subcommand(
      "propose", "hand a change in; exit 0 in force, 1 aborted, 2 unusable, 3 undecided yet"));
  propose->add_option("file", proposal.file, "a configuration, or the policy alone")->required();
  propose->add_option("--id", proposal.id, "the same id again is the same change");
  propose->add_flag("--wait", proposal.wait, "tell how it goes until it has ended");
  propose->add_option("--timeout", proposal.patience_s, "seconds to wait at most")
      ->check(CLI::PositiveNumber);
  CLI::App* policy_now = to_relays(policy->add_subcommand(
      "status", "what each holds and waits for; exit 1 where they differ or are shut"));
  CLI::App* ended = to_relays(policy->add_subcommand("history", "how earlier changes ended"));
  std::string from, to;
  CLI::App* diff = to_relays(policy->add_subcommand("diff", "what a version changed; exit 1 where it did"));
  diff->add_option("from", from)->required();
  diff->add_option("to", to)->required();
  CLI::App* abort = to_relays(policy->add_subcommand("abort", "end a change that is not decided"));
  abort->add_option("id", from)->required();
  CLI::App* replace =
      to_relays(policy->add_subcommand("replace", "put one relay in another's place among the voters"));
  replace->add_option("old", from)->required();
  replace->add_option("new", to)->required();
  CLI::App* access = app.add_subcommand("access", "the customers' rules on where their messages may travel");
  access->require_subcommand(1);
  std::string customer;
  CLI::App* hits = to_relays(access->add_subcommand(
      "hits", "how many messages each rule decided: by a relay, and by the fleet as it knows"));
  hits->add_option("customer", customer, "of this one alone");
  CLI::App* rules = to_relays(access->add_subcommand("rules", "those in force"));
  const auto to_clients = [&](CLI::App* command) {
    command
        ->add_option("--relay", relays, "HOST:PORT of a relay's clients' address; more than one may be named")
        ->required()
        ->allow_extra_args(false);
    return command;
  };
  Feed feed;
  CLI::App* read = to_clients(app.add_subcommand(
      "feed", "take a customer's outcomes; exit 1 where an origin is missing or a gap was said"));
  read->add_option("customer", feed.customer)->required();
  read->add_option("subscription", feed.subscription)->required();
  read->add_option("--cursor", feed.cursor_file, "the file in which the cursor is kept");
  HandIn handed;
  CLI::App* put = to_clients(app.add_subcommand("hand-in", "hand messages in as a client does"));
  put->add_option("customer", handed.customer)->required();
  put->add_option("class", handed.message_class)->required();
  put->add_option("destination", handed.destination)->required();
  put->add_option("--count", handed.count)->check(CLI::PositiveNumber);
  put->add_option("--within", handed.within_ms, "their time in ms")->check(CLI::PositiveNumber);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);
    std::fprintf(stderr, "umberhoistctl: %s\n", error.what());
    return kUnusable;
  }
  try {
    if (*status_command) return status(relays, as_json);
    if (*read) return read_feed(relays, feed);
    if (*put) return hand_in(relays, handed);
    if (*metrics_command) return metrics(relays.front(), as_json);
    if (*feeds) return feeds_of(relays);
    if (*budgets) return budgets_of(relays);
    if (*propose) return propose_policy(relays, proposal);
    if (*policy_now) return policy_status(relays);
    if (*ended) return policy_history(relays);
    if (*diff) return policy_diff(relays, from, to);
    if (*hits) return access_hits(relays, customer);
    if (*rules) return access_rules(relays);
    if (*abort) return policy_call(relays, "ABORT " + from);
    if (*replace) return policy_call(relays, "REPLACE " + from + " " + to);
    return fleet_view(relays, watch, every_s);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "umberhoistctl: %s\n", fault.what());
    return kUnusable;
  }
}
