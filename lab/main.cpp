// umberhoist-lab: several relays under faults, in one command.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "play.h"
#include "report.h"
#include "shrink.h"
#include "sim.h"

namespace {

namespace fs = std::filesystem;
using namespace umberhoist::lab;
using nlohmann::json;

struct Given {
  std::string scenario;
  uint64_t seed = 1;
  int seeds = 1;
  int relays = 0;
  std::vector<std::string> set;
  std::string relay;
  std::string out;
  bool shrink = false;
  bool quiet = false;
};

// The relay that was built beside the lab.
std::string beside() {
  std::error_code error;
  const fs::path self = fs::read_symlink("/proc/self/exe", error);
  return (self.parent_path() / "umberhoist").string();
}

toml::table table_of(const Given& given) {
  toml::table table = load_table(given.scenario, given.set);
  if (given.relays > 0) table.insert_or_assign("relays", static_cast<int64_t>(given.relays));
  return table;
}

void write(const fs::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::binary);
  out << text;
  if (!out.flush()) throw Unusable("cannot write " + path.string() + " (is the disk full?)");
}

void save(const json& result, const fs::path& folder) {
  fs::create_directories(folder);
  write(folder / "result.json", result.dump(1) + "\n");
  write(folder / "report.html", report_page(result));
}

json play_table(const toml::table& table, const Given& given, uint64_t seed, const std::string& folder,
                bool quiet) {
  PlayOptions options;
  options.seed = seed;
  options.program = fs::absolute(given.relay.empty() ? beside() : given.relay).string();
  options.folder = fs::absolute(folder).string();
  options.quiet = quiet;
  return play(read_scenario(table), options);
}

int played(const Given& given) {
  const toml::table table = table_of(given);
  const Scenario scenario = read_scenario(table);
  const std::string out = given.out.empty() ? "lab-out/" + scenario.name : given.out;
  json all = json::array();
  bool held = true;
  for (int i = 0; i < given.seeds; ++i) {
    const uint64_t seed = given.seed + static_cast<uint64_t>(i);
    const fs::path folder =
        given.seeds == 1 ? fs::path(out) : fs::path(out) / ("seed-" + std::to_string(seed));
    const json result = play_table(table, given, seed, folder, given.quiet);
    save(result, folder);
    std::cout << summary(result) << "  " << (folder / "report.html").string() << "\n" << std::flush;
    all.push_back(result);
    if (all_held(result)) continue;
    held = false;
    if (!given.shrink) continue;
    const std::string oracle = broken(result).front();
    const Shrunk small = shrink(table, oracle, 25, [&](const toml::table& candidate) {
      std::fprintf(stderr, "making it smaller: %zu bytes of scenario left\n", [&] {
        std::ostringstream text;
        text << candidate;
        return text.str().size();
      }());
      return play_table(candidate, given, seed, (folder / "smaller").string(), true);
    });
    std::ostringstream text;
    text << "# breaks " << oracle << " with --seed " << seed << "\n" << small.table << "\n";
    write(folder / "shrunk.toml", text.str());
    std::cout << "  made smaller in " << small.plays << " plays, " << small.faults_before << " faults to "
              << small.faults_after << ": " << (folder / "shrunk.toml").string() << "\n";
  }
  if (given.seeds > 1) write(fs::path(out) / "result.json", all.dump(1) + "\n");
  return held ? 0 : 1;
}

int simulated(const Given& given) {
  const Scenario scenario = read_scenario(table_of(given));
  const json result = simulate(scenario, given.seed);
  if (!given.out.empty()) save(result, given.out);
  std::cout << summary(result);
  return all_held(result) ? 0 : 1;
}

json result_of(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw Unusable("cannot read " + path);
  const json out = json::parse(in, nullptr, false);
  const json& one = out.is_array() && !out.empty() ? out.front() : out;
  if (!one.is_object() || !one.contains("figures")) throw Unusable(path + " is no result");
  return out;
}

int checked(const Given& given) {
  const Scenario scenario = read_scenario(table_of(given));
  const Plan plan = draw(scenario, given.seed);
  std::cout << scenario.name << ": " << scenario.what << "\n  " << scenario.relays << " relays, "
            << scenario.partners.count << " partners, " << plan.messages.size() << " messages in "
            << scenario.length_s << " s; plan " << plan.digest() << " with seed " << given.seed << "\n";
  for (const Fault& f : plan.faults) std::printf("  %7.2f s  %s\n", f.at, f.text().c_str());
  return 0;
}

int listed(const std::string& folder) {
  std::vector<fs::path> files;
  for (const auto& file : fs::directory_iterator(folder)) {
    if (file.path().extension() == ".toml") files.push_back(file.path());
  }
  std::ranges::sort(files);
  for (const fs::path& file : files) {
    const Scenario s = read_scenario(load_table(file.string(), {}));
    std::printf("%-36s %s\n", file.string().c_str(), s.what.c_str());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Several relays under faults, in one command.");
  app.require_subcommand(1);
  Given given;
  const auto common = [&](CLI::App* command) {
    command->add_option("SCENARIO", given.scenario, "a scenario's file")->required();
    command->add_option("--seed", given.seed, "draws the plan");
    command->add_option("--relays", given.relays, "instead of the scenario's")->check(CLI::Range(1, 3000));
    command->add_option("--set", given.set, "KEY=VALUE, laid over the file (a dotted path)")
        ->allow_extra_args(false);
    command->add_option("--out", given.out, "where result.json and report.html go");
  };
  CLI::App* play_command = app.add_subcommand("play", "real processes in real time");
  common(play_command);
  play_command->add_option("--relay", given.relay,
                           "the relay's program; the one beside the lab if none is named");
  play_command->add_option("--seeds", given.seeds, "play so many seeds, one after the other")
      ->check(CLI::Range(1, 1000));
  play_command->add_flag("--shrink", given.shrink, "make a broken play smaller");
  play_command->add_flag("--quiet", given.quiet, "no lines of progress");
  CLI::App* sim_command = app.add_subcommand("sim", "the fleet's state machines on a simulated clock");
  common(sim_command);
  CLI::App* check_command = app.add_subcommand("check", "read a scenario and show its plan");
  common(check_command);
  std::string left, right;
  CLI::App* compare_command = app.add_subcommand("compare", "two results side by side");
  compare_command->add_option("A", left)->required();
  compare_command->add_option("B", right)->required();
  std::string folder = "lab/scenarios";
  CLI::App* list_command = app.add_subcommand("list", "the scenarios that there are");
  list_command->add_option("FOLDER", folder, "lab/scenarios if none is named");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);
    std::fprintf(stderr, "umberhoist-lab: %s\n", error.what());
    return 2;
  }
  try {
    if (*play_command) return played(given);
    if (*sim_command) return simulated(given);
    if (*check_command) return checked(given);
    if (*compare_command) {
      std::cout << compare(result_of(left), result_of(right));
      return 0;
    }
    if (*list_command) return listed(folder);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "umberhoist-lab: %s\n", fault.what());
  }
  return 2;
}
