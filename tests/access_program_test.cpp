// Customers' rules in the program as a whole.
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

struct Regions {  // two, each with an endpoint of one destination
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
  std::vector<std::string> asked(const std::string& call) const {
    Socket caller = Socket::connect(config["operator"].get<std::string>());
    caller.send(call + "\n");
    std::vector<std::string> out;
    for (std::string line = caller.line(); !line.empty() && line != "END"; line = caller.line())
      out.push_back(line);
    return out;
  }
  // "own fleet" of a rule in force.
  std::string hits(const std::string& id) const {
    for (const std::string& line : asked("ACCESS HITS")) {
      if (line.find(" id=" + id + " ") == std::string::npos || line.find(" in_force=1 ") == std::string::npos)
        continue;
      return line.substr(0, line.find(" id="));
    }
    return "";
  }
};

std::string put(const Program& program, const std::string& id, const std::string& what) {
  Socket client = program.client();
  client.send(put_bytes(id, what));
  return client.line();
}

TEST(AccessProgram, DeniesSendsOnlyWhereItMayAndCountsOverKillAndChange) {
  Regions s;
  s.rules({{{"id", "no-status"}, {"say", "deny"}, {"class", {"unsafe"}}},
           {{"id", "stay-out"}, {"say", "deny"}, {"to", {"a"}}},
           {{"id", "slow"}, {"say", "limit"}, {"per_s", 1000}, {"class", {"safe"}}}});
  Program program(s.config);
  program.start();
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "unsafe")), "-DENIED no-status");
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "unsafe")), "-DENIED no-status");
  EXPECT_EQ(put(program, "00000000000000a2", facts("acme", "safe")), "+OK");
  EXPECT_EQ(s.far.next().headers.at("x-call-id"), "00000000000000a2");  // not the near one
  EXPECT_EQ(s.hits("no-status"), "rule own=2 fleet=2");
  EXPECT_EQ(s.hits("stay-out"), "rule own=1 fleet=1");
  EXPECT_EQ(s.hits("slow"), "rule own=1 fleet=1");
  EXPECT_EQ(s.hits("default"), "rule own=0 fleet=0");

  // Killed with a message out, under a limit that is no more, that the rules of the next version would let go
  // anywhere, or nowhere.
  program.kill();
  s.far.drop();
  s.rules({{{"id", "stay-out"}, {"say", "deny"}, {"to", {"b"}}}});
  program.configure(s.config);
  Program again(s.config);
  again.share(program);
  again.start();
  EXPECT_EQ(s.far.next().headers.at("x-call-id"), "00000000000000a2");  // by the rules that it came under
  s.far.answer("200");
  EXPECT_EQ(put(again, "00000000000000a3", facts("acme", "unsafe")), "+OK");
  EXPECT_EQ(s.near.next().headers.at("x-call-id"), "00000000000000a3");
  s.near.answer("200");
  EXPECT_EQ(s.hits("stay-out"), "rule own=1 fleet=1");  // another rule by its digest
  int older = 0;
  for (const std::string& line : s.asked("ACCESS HITS acme"))
    older += line.find(" in_force=0 ") != std::string::npos;
  EXPECT_EQ(older, 3);
  // A customer without rules goes the near way, as before.
  EXPECT_EQ(put(again, "00000000000000a4", facts("free", "unsafe")), "+OK");
  EXPECT_EQ(s.near.next().headers.at("x-call-id"), "00000000000000a4");
}

TEST(AccessProgram, AListThatCannotBeIsTurnedDownWholeWithTheLineOfCheck) {
  Regions s;
  s.rules({{{"id", "x"}, {"say", "deny"}, {"to", {"a"}}}});
  Program program(s.config);
  program.start();
  json bad = s.config;
  bad["settings"]["realms"][0]["access"]["rules"][0]["to"] = {"nowhere"};
  program.configure(bad);
  program.signal(SIGHUP);
  json moved = s.config;
  moved["settings"]["azs"] = {"b", "a"};
  const auto failed = [&](const std::string& count) {
    for (int left = 500; left > 0; --left) {
      for (const std::string& line : s.asked("METRICS")) {
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
  EXPECT_EQ(s.asked("ACCESS RULES").at(2), "  x: deny to=a");
}

// The first rules come by SIGHUP, and what was known of other relays' hits cannot be read.
TEST(AccessProgram, RulesThatComeWhileAFileCannotBeReadEndNothing) {
  Regions s;
  json plain = s.config;
  plain["settings"]["realms"] = {{{"name", "acme"}}, {{"name", "free"}}};
  Program program(plain);
  program.start();
  fs::create_directory(program.state() / "access.parts");
  s.rules({{{"id", "no-status"}, {"say", "deny"}, {"class", {"unsafe"}}}});
  program.configure(s.config);
  program.signal(SIGHUP);
  EXPECT_TRUE(becomes(s.config["operator"], "svc_reloads_ok_total", "1"));
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "unsafe")), "-DENIED no-status");
  EXPECT_EQ(s.hits("no-status"), "rule own=1 fleet=1");
}

TEST(AccessProgram, WithoutRulesNoFileAndNoCallIsThere) {
  Regions s;
  s.config["settings"]["realms"] = {{{"name", "acme"}}, {{"name", "free"}}};
  Program program(s.config);
  program.start();
  EXPECT_EQ(put(program, "00000000000000a1", facts("acme", "safe")), "+OK");
  EXPECT_EQ(s.asked("ACCESS HITS").at(0), "ERR unknown call");
  for (const std::string& line : s.asked("METRICS")) EXPECT_FALSE(line.starts_with("access_")) << line;
  for (const auto& entry : fs::directory_iterator(program.state())) {
    EXPECT_FALSE(entry.path().filename().string().starts_with("access")) << entry.path();
  }
}

}  // namespace
}  // namespace firspool::testing
