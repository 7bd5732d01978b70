// Customers' rules in the whole program: a real relay process between clients and endpoints.
#include <csignal>
#include <filesystem>
#include <fstream>

#include "program_stage.h"

namespace firspool::testing {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

std::string facts(const std::string& customer, const std::string& message_class) {
  return "c=" + message_class + ",t=" + customer + ",d=60000,k=5c0f6e1a2b3d4c59,dest=7";
}

// Two regions, each with an endpoint of the same destination.
struct Regions {
  Host near, far;
  Discovery discovery;
  json config;
  Regions() {
    json there = member_json("s-2", far.address(), 7);
    there["locality"] = "b";
    config = config_json(discovery.address(), {member_json("s-1", near.address(), 7), there});
    config["settings"]["azs"] = {"a", "b"};
    config["operator"] = free_address();
    rules({});
  }
  void rules(json list, const std::string& otherwise = "allow") {
    config["settings"]["realms"] = {
        {{"name", "acme"}, {"access", {{"default", otherwise}, {"rules", std::move(list)}}}},
        {{"name", "free"}}};
  }
  std::vector<std::string> operator_call(const std::string& call) const {
    Socket caller = Socket::connect(config["operator"].get<std::string>());
    caller.send(call + "\n");
    std::vector<std::string> out;
    for (std::string line = caller.line(); !line.empty() && line != "END"; line = caller.line())
      out.push_back(line);
    return out;
  }
  // The start of the ACCESS HITS line of a rule in force: "rule own=N fleet=N".
  std::string hits(const std::string& id) const {
    for (const std::string& line : operator_call("ACCESS HITS")) {
      if (line.find(" id=" + id + " ") == std::string::npos || line.find(" in_force=1 ") == std::string::npos)
        continue;
      return line.substr(0, line.find(" id="));
    }
    return "";
  }
};

std::string put(const Program& program, const std::string& id, const std::string& message_facts) {
  Socket client = program.client();
  client.send(put_bytes(id, message_facts));
  return client.line();
}

TEST(AccessProgram, DecisionsAndHitsSurviveAKillAndAPolicyChange) {
  Regions regions;
  regions.rules({{{"id", "no-status"}, {"say", "deny"}, {"class", {"unsafe"}}},
                 {{"id", "stay-out"}, {"say", "deny"}, {"to", {"a"}}},
                 {{"id", "slow"}, {"say", "limit"}, {"per_s", 1000}, {"class", {"safe"}}}});
  Program program(regions.config);
  program.start();
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "unsafe")), "-DENIED no-status");
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "unsafe")), "-DENIED no-status");
  EXPECT_EQ(put(program, "00000000000000a2", facts("acme", "safe")), "+OK");
  EXPECT_EQ(regions.far.next().headers.at("x-call-id"),
            "00000000000000a2");  // not the endpoint in the same region
  EXPECT_EQ(regions.hits("no-status"), "rule own=2 fleet=2");
  EXPECT_EQ(regions.hits("stay-out"), "rule own=1 fleet=1");
  EXPECT_EQ(regions.hits("slow"), "rule own=1 fleet=1");
  EXPECT_EQ(regions.hits("default"), "rule own=0 fleet=0");

  // Killed with a call in flight. The next policy version has no limit any more, and forbids the region that
  // the message was sent to.
  program.kill();
  regions.far.drop();
  regions.rules({{{"id", "stay-out"}, {"say", "deny"}, {"to", {"b"}}}});
  program.configure(regions.config);
  Program restarted(regions.config);
  restarted.share(program);
  restarted.start();
  EXPECT_EQ(regions.far.next().headers.at("x-call-id"),
            "00000000000000a2");  // by the rules of its acceptance
  regions.far.answer("200");
  EXPECT_EQ(put(restarted, "00000000000000a3", facts("acme", "unsafe")), "+OK");
  EXPECT_EQ(regions.near.next().headers.at("x-call-id"), "00000000000000a3");
  regions.near.answer("200");
  EXPECT_EQ(regions.hits("stay-out"), "rule own=1 fleet=1");  // another digest, so another rule
  int older = 0;
  for (const std::string& line : regions.operator_call("ACCESS HITS acme"))
    older += line.find(" in_force=0 ") != std::string::npos;
  EXPECT_EQ(older, 3);
  // Messages of a customer without rules still prefer their own region.
  EXPECT_EQ(put(restarted, "00000000000000a4", facts("free", "unsafe")), "+OK");
  EXPECT_EQ(regions.near.next().headers.at("x-call-id"), "00000000000000a4");
}

TEST(AccessProgram, InvalidRulesOrReorderedNamesFailTheReloadAndKeepTheOldRules) {
  Regions regions;
  regions.rules({{{"id", "x"}, {"say", "deny"}, {"to", {"a"}}}});
  Program program(regions.config);
  program.start();
  json bad = regions.config;
  bad["settings"]["realms"][0]["access"]["rules"][0]["to"] = {"nowhere"};
  program.configure(bad);
  program.signal(SIGHUP);
  json moved = regions.config;
  moved["settings"]["azs"] = {"b", "a"};
  const auto failed = [&](const std::string& count) {
    for (int left = 500; left > 0; --left) {
      for (const std::string& line : regions.operator_call("METRICS")) {
        if (line == "svc_reloads_failed_total " + count) return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  };
  EXPECT_TRUE(failed("1"));
  program.configure(moved);
  program.signal(SIGHUP);
  EXPECT_TRUE(failed("2"));
  EXPECT_EQ(regions.operator_call("ACCESS RULES").at(2), "  x: deny to=a");
}

// The first rules arrive by SIGHUP while the stored hit counts of other relays cannot be read. The relay must
// still apply the rules and count.
TEST(AccessProgram, RulesApplyWhileTheStoredHitCountsAreUnreadable) {
  Regions regions;
  json plain = regions.config;
  plain["settings"]["realms"] = {{{"name", "acme"}}, {{"name", "free"}}};
  Program program(plain);
  program.start();
  fs::create_directory(program.state() / "access.parts");
  regions.rules({{{"id", "no-status"}, {"say", "deny"}, {"class", {"unsafe"}}}});
  program.configure(regions.config);
  program.signal(SIGHUP);
  EXPECT_TRUE(becomes(regions.config["operator"], "svc_reloads_ok_total", "1"));
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "unsafe")), "-DENIED no-status");
  EXPECT_EQ(regions.hits("no-status"), "rule own=1 fleet=1");
}

TEST(AccessProgram, WithoutRulesThereAreNoFilesCallsOrMetrics) {
  Regions regions;
  regions.config["settings"]["realms"] = {{{"name", "acme"}}, {{"name", "free"}}};
  Program program(regions.config);
  program.start();
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "safe")), "+OK");
  EXPECT_EQ(regions.operator_call("ACCESS HITS").at(0), "ERR unknown call");
  for (const std::string& line : regions.operator_call("METRICS"))
    EXPECT_FALSE(line.starts_with("access_")) << line;
  for (const auto& entry : fs::directory_iterator(program.state())) {
    EXPECT_FALSE(entry.path().filename().string().starts_with("access")) << entry.path();
  }
}

}  // namespace
}  // namespace firspool::testing
