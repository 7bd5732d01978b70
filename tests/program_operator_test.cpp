// What the operator does while the program runs: changes its configuration, and reads its figures.
#include <csignal>

#include "program_stage.h"

namespace firspool::testing {
namespace {

TEST(Program, FollowsDiscoveryToItsNewAddress) {
  Stage s;
  s.program.start();
  Discovery moved;
  Host host;
  moved.tell(list_json(2, false, {member_json("s-2", host.address(), 8)}));
  nlohmann::json broken = s.config;
  broken.erase("discovery");
  s.program.configure(broken);  // survived, and without effect
  s.program.signal(SIGHUP);
  Socket client = s.program.client();
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
  s.config["discovery"] = moved.address();
  s.program.configure(s.config);
  s.program.signal(SIGHUP);
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe", 8)), "+OK");
  host.next();  // the new address told of it
  host.reset();
  EXPECT_EQ(moved.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
}

TEST(Program, TellsTheOperatorWhatHappened) {
  Stage s;
  s.config["operator"] = free_address();
  const std::string address = s.config["operator"];
  Program program(s.config);
  program.start();
  EXPECT_TRUE(asked(address, "STATUS").starts_with("OK"));
  EXPECT_TRUE(asked(address, "SHUTDOWN").starts_with("ERR"));
  EXPECT_TRUE(asked(address, std::string(1000, 'x')).starts_with("ERR"));
  auto told = figures(address);
  for (const std::string name : {"safe", "keyed", "unsafe"}) {
    for (const std::string figure : {"served", "refused", "failed"}) {
      EXPECT_EQ(told["svc_" + figure + "_total{class=\"" + name + "\"}"], "0") << figure << name;
    }
  }
  EXPECT_EQ(told["svc_endpoints_known"], "1");
  EXPECT_EQ(told["svc_endpoints_excluded"], "0");
  Socket client = program.client();
  const auto put = [&](const std::string& id, const std::string& what) {
    client.send(put_bytes(id, what));
    return client.line();
  };
  EXPECT_EQ(put("a1", facts("safe")), "+OK");
  s.host.next();
  EXPECT_TRUE(becomes(address, "svc_in_flight", "1"));
  s.host.answer("200");
  EXPECT_EQ(put("a2", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  s.discovery.notice();
  EXPECT_EQ(put("a3", facts("keyed", 99, 300)), "+OK");  // nobody takes it, and its time passes
  s.discovery.notice();
  EXPECT_TRUE(becomes(address, "svc_in_flight", "0"));
  EXPECT_TRUE(becomes(address, "svc_endpoints_excluded", "1"));  // after the reset it is passed over
  told = figures(address);
  EXPECT_EQ(told["svc_served_total{class=\"safe\"}"], "1");
  EXPECT_EQ(told["svc_failed_total{class=\"unsafe\"}"], "1");
  EXPECT_EQ(told["svc_attempts_total"], "2");
  EXPECT_EQ(told["svc_refused_total{class=\"keyed\"}"], "1");
  EXPECT_EQ(told["svc_refused_by_total{place=\"held\",reason=\"time\"}"], "1");
  EXPECT_EQ(told["svc_depth{place=\"queue\"}"], "0");
  EXPECT_EQ(told["svc_depth{place=\"calls\"}"], "0");
  EXPECT_EQ(told["svc_oldest_ms{place=\"queue\"}"], "0");
  EXPECT_EQ(told["svc_ended_total{stage=\"answer\"}"], "2");
  EXPECT_EQ(told["svc_ended_total{stage=\"queue\"}"], "1");
  EXPECT_GE(std::stoi(told["svc_budget_spent_ms_total{stage=\"queue\"}"]), 250);  // most of the third's 300
  EXPECT_TRUE(told.contains("svc_budget_spent_ms_total{stage=\"connect\"}"));
}

// Clients' places are all taken, and so are the callers': one that asks is answered all the same.
TEST(Program, AnswersTheOperatorWhenAllPlacesAreTaken) {
  Stage s;
  s.config["limits"]["sockets"] = 64;
  s.config["operator"] = free_address();
  const std::string address = s.config["operator"];
  Program small(s.config);
  small.start(64);
  std::vector<Socket> crowd;
  for (int i = 0; i < 60; ++i) crowd.push_back(small.client());
  std::vector<Socket> silent;
  for (int i = 0; i < 30; ++i) silent.push_back(Socket::connect(address));
  EXPECT_TRUE(asked(address, "STATUS").starts_with("OK"));
  EXPECT_TRUE(silent.front().ended());
  EXPECT_TRUE(silent.back().ended());
}

TEST(Program, TakesAFileWholeOrNotAtAll) {
  Stage s;
  s.config["operator"] = free_address();
  const std::string address = s.config["operator"];
  Program program(s.config);
  program.start();
  std::vector<std::string> broken = {"", "{}", s.config.dump().substr(0, s.config.dump().size() / 2)};
  const auto with = [&](const std::string& pointer, const nlohmann::json& value) {
    nlohmann::json out = s.config;
    out[nlohmann::json::json_pointer("/settings/" + pointer)] = value;
    return out;
  };
  for (const auto& value : {nlohmann::json(0), nlohmann::json("20"), nlohmann::json(-1), nlohmann::json()}) {
    broken.push_back(with("categories/1/give_up_s", value).dump());
    broken.push_back(with("bounds/max_attempts", value).dump());
  }
  for (const std::string key : {"settings", "known", "limits"}) {
    nlohmann::json out = s.config;
    out.erase(key);
    broken.push_back(out.dump());
  }
  for (const std::string key : {"weights", "kinds"}) {
    nlohmann::json out = s.config;
    out["settings"].erase(key);
    broken.push_back(out.dump());
  }
  nlohmann::json unnamed = s.config;
  unnamed["settings"]["categories"][0].erase("name");
  broken.push_back(unnamed.dump());
  int failed = 0;
  for (const std::string& text : broken) {
    program.replace(text);
    program.signal(SIGHUP);
    EXPECT_TRUE(becomes(address, "svc_reloads_failed_total", std::to_string(++failed))) << text;
  }
  program.configure(s.config);
  program.signal(SIGHUP);
  EXPECT_TRUE(becomes(address, "svc_reloads_ok_total", "1"));
  EXPECT_EQ(figures(address)["svc_reloads_failed_total"], std::to_string(failed));
}

// The open message of a class that is removed keeps that class's rules, and through a restart too.
TEST(Program, RetunesItsClassesAtSighup) {
  Stage s;
  s.config["operator"] = free_address();
  const std::string address = s.config["operator"];
  Program program(s.config);
  program.start();
  const auto put = [&](const std::string& id, const std::string& what) {
    Socket client = program.client();
    client.send(put_bytes(id, what));
    return client.line();
  };
  EXPECT_EQ(put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  EXPECT_EQ(put("00000000000000a2", facts("unsafe", 99)), "+OK");
  nlohmann::json& classes = s.config["settings"]["categories"];
  classes.erase(2);
  classes.push_back(classes[0]);
  classes.back()["name"] = "fresh";
  program.configure(s.config);
  program.signal(SIGHUP);
  EXPECT_TRUE(becomes(address, "svc_reloads_ok_total", "1"));
  EXPECT_EQ(figures(address)["svc_served_total{class=\"fresh\"}"], "0");
  EXPECT_TRUE(put("00000000000000a3", facts("unsafe")).starts_with("-ERR"));
  s.host.reset();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
  EXPECT_EQ(put("00000000000000a4", facts("fresh")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a4");
  s.host.answer("200");
  EXPECT_TRUE(becomes(address, "svc_served_total{class=\"fresh\"}", "1"));
  program.kill();
  program.start();
  s.discovery.tell(list_json(2, false, {member_json("s-3", s.host.address(), 99)}));
  s.host.drop();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
  s.host.reset();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a2"}, {"state", "failed"}}));
  EXPECT_TRUE(becomes(address, "svc_in_flight", "0"));
  EXPECT_FALSE(figures(address).contains("svc_failed_total{class=\"unsafe\"}"));  // the last one is over
}

}  // namespace
}  // namespace firspool::testing
