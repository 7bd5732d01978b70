// Plays of the lab for tests: small scenarios from a few lines, each in a folder of its own.
#pragma once

#include <gtest/gtest.h>

#include <filesystem>

#include "play.h"
#include "programs.h"

namespace umberhoist::lab {

// Two relays and light load unless `text` says otherwise.
inline Scenario scenario(const std::string& text) {
  toml::table table = toml::parse(text);
  const auto otherwise = [](toml::table& at, const char* key, auto value) {
    if (!at.contains(key)) at.insert(key, value);
  };
  otherwise(table, "name", "test");
  otherwise(table, "relays", 2);
  otherwise(table, "settle_s", 1);
  for (const char* key : {"load", "partners", "relay"}) otherwise(table, key, toml::table{});
  otherwise(*table["load"].as_table(), "rate", 30);
  otherwise(*table["partners"].as_table(), "count", 3);
  otherwise(*table["partners"].as_table(), "headroom", 6);
  otherwise(*table["partners"].as_table(), "pace_s", 0.05);
  otherwise(*table["relay"].as_table(), "memory_mb", 2000);  // sanitizers take their part
  return read_scenario(table);
}

inline nlohmann::json play_once(const Scenario& scenario, const std::string& program, uint64_t seed = 1) {
  std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-lab-XXXXXX";
  PlayOptions options;
  options.seed = seed;
  options.program = program;
  options.folder = ::mkdtemp(pattern.data());
  options.quiet = true;
  struct Cleaner {
    std::string folder;
    ~Cleaner() { std::filesystem::remove_all(folder); }
  } cleaner{options.folder};
  return play(scenario, options);
}

inline void expect_held(const nlohmann::json& result) {
  for (const auto& [name, state] : result["oracles"].items()) {
    EXPECT_TRUE(state["held"].get<bool>()) << name << ": " << state << ", seed " << result["seed"];
  }
  EXPECT_GT(result["oracles"]["final_answer"]["checked"].get<int>(), 20);
  EXPECT_GT(result["oracles"]["one_attempt_out"]["checked"].get<int>(), 20);
}

inline const char* const kClasses =
    "[[class]]\nname='keyed'\neffect='keyed'\ngive_up_s=3\nkey_ttl_s=15\n"
    "[[class]]\nname='unsafe'\neffect='unsafe'\ngive_up_s=3\n";

}  // namespace umberhoist::lab
