// The program as a whole, over loopback sockets: what it accepts, what outlasts it, and how it ends.
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include "peers.h"

namespace firspool::testing {
namespace {

const char* const kFacts = "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7";

std::string facts(const std::string& effect, int destination = 7, int life_ms = 60'000) {
  return "c=" + effect + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

struct Stage {
  Host host;
  Discovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  Program program{config};

  std::string put(const std::string& id, const std::string& what, const std::string& body = "body") {
    Socket client = program.client();
    client.send(put_bytes(id, what, body));
    return client.line();
  }
  void restart_killed() {
    program.kill();
    host.drop();
    program.start();
  }
};

std::string id_of(const Request& call) { return call.headers.at("x-call-id"); }

// What the operator reads, by name.
std::map<std::string, std::string> figures(const std::string& address) {
  Socket caller = Socket::connect(address);
  caller.send("METRICS\n");
  EXPECT_EQ(caller.line(), "OK");
  std::map<std::string, std::string> out;
  std::string line = caller.line();
  for (; !line.empty() && line != "END"; line = caller.line()) {
    out[line.substr(0, line.find(' '))] = line.substr(line.find(' ') + 1);
  }
  EXPECT_EQ(line, "END");
  return out;
}

std::string asked(const std::string& address, const std::string& call) {
  Socket caller = Socket::connect(address);
  caller.send(call + "\n");
  return caller.line();
}

bool becomes(const std::string& address, const std::string& name, const std::string& value) {
  for (int left = kDeadlineMs / 10; left > 0; --left) {
    if (figures(address)[name] == value) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

TEST(Program, DeliversUnchangedAndOwesNothingAfterwards) {
  Stage s;
  s.program.start();
  std::string body = "any bytes: ";
  body += std::string("\0\r\n\xff", 4);
  EXPECT_EQ(s.put("9b1f03aa5c7e2d41", kFacts, body), "+OK");
  const Request call = s.host.next();
  EXPECT_EQ(call.first, "POST /events HTTP/1.1");
  EXPECT_EQ(id_of(call), "9b1f03aa5c7e2d41");
  EXPECT_EQ(call.headers.at("idempotency-key"), "5c0f6e1a2b3d4c59");
  EXPECT_EQ(call.headers.at("x-budget").back(), 'm');
  EXPECT_EQ(call.body, body);
  s.host.answer("200");
  // The second answer comes after the first message's end was recorded: its call uses the same connection.
  EXPECT_EQ(s.put("00000000000000b2", kFacts), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000b2");
  EXPECT_EQ(s.host.connections(), 1);
  s.restart_killed();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000b2");
}

TEST(Program, AnswersPipelinedRequestsInOrderAndPiecesToo) {
  Stage s;
  s.program.start();
  Socket client = s.program.client();
  const std::string bytes = "*1\r\n$4\r\nPING\r\n" + put_bytes("a1", facts("keyed", 99)) +
                            "*1\r\n$3\r\nFOO\r\n" + put_bytes("a2", "c=nosuch,d=1,dest=7") +
                            "*1\r\n$4\r\nping\r\n";
  for (const char byte : bytes) ASSERT_TRUE(client.send(std::string(1, byte)));
  EXPECT_EQ(client.line(), "+PONG");
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_TRUE(client.line().starts_with("-ERR"));
  EXPECT_TRUE(client.line().starts_with("-ERR"));
  EXPECT_EQ(client.line(), "+PONG");
}

TEST(Program, AnswersMalformedBytesAndCloses) {
  Stage s;
  s.program.start();
  for (const std::string bytes :
       {"GET / HTTP/1.1\r\n", "*1\r\n$99999999\r\n", "*-1\r\n", "*1\r\n$1\r\nab\r\n"}) {
    Socket client = s.program.client();
    client.send(bytes);
    EXPECT_TRUE(client.line().starts_with("-ERR")) << bytes;
    EXPECT_EQ(client.exactly(1), "") << bytes;
  }
  Socket client = s.program.client();
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
}

// Peers that keep a place without using it once kept clients that had something to say in the backlog.
TEST(Program, QuietPeersMakeRoomForClients) {
  Stage s;
  s.config["limits"]["sockets"] = 64;
  Program small(s.config);
  small.start();
  Socket used = small.client();
  used.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(used.line(), "+PONG");
  std::vector<Socket> quiet;
  for (int i = 0; i < 50; ++i) quiet.push_back(small.client());
  Socket client = small.client();
  client.send(put_bytes("00000000000000a1", kFacts));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_TRUE(used.ended());
  EXPECT_TRUE(quiet.front().ended());
}

TEST(Program, TellsAPeerThatItsRequestIsNotComplete) {
  Stage s;
  s.program.start();
  Socket fresh = s.program.client();
  Socket used = s.program.client();
  used.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(used.line(), "+PONG");
  const std::string bytes = put_bytes("00000000000000a1", kFacts);
  for (Socket* peer : {&fresh, &used}) peer->send(bytes.substr(0, bytes.size() / 2));
  for (Socket* peer : {&fresh, &used}) {
    EXPECT_TRUE(peer->line().starts_with("-ERR"));
    EXPECT_TRUE(peer->ended());
  }
}

// The one beyond its quota must not spend another's: what is within a quota goes first.
TEST(Program, CountsEachTenantAgainstItsOwnQuota) {
  Stage s;
  nlohmann::json& settings = s.config["settings"];
  settings["family_info"]["calls_out"] = 1;
  settings["over_share_worth"] = 0.1;
  settings["realms"] = {{{"name", "over"}, {"quota_per_s", 1e-6}},
                        {{"name", "within"}, {"quota_per_s", 1e6}}};
  Program program(s.config);
  program.start();
  Socket client = program.client();
  const auto put = [&](const std::string& id, const std::string& tenant) {
    client.send(put_bytes(id, "c=safe,t=" + tenant + ",d=60000,dest=7"));
    return client.line();
  };
  EXPECT_EQ(put("a1", "over"), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "a1");
  EXPECT_EQ(put("a2", "over"), "+OK");
  EXPECT_EQ(put("b1", "within"), "+OK");
  EXPECT_TRUE(put("c1", "nobody").starts_with("-ERR"));
  s.host.answer("200");
  EXPECT_EQ(id_of(s.host.next()), "b1");
}

TEST(Program, TurnsAwayWhatIsOverItsRoom) {
  Stage s;
  s.config["settings"]["bounds"]["open_cap"] = 4;
  Program small(s.config);
  small.start();
  Socket client = small.client();
  for (int i = 0; i < 4; ++i) {  // all out at once: none can be given back
    client.send(put_bytes("m" + std::to_string(i), kFacts));
    EXPECT_EQ(client.line(), "+OK");
  }
  client.send(put_bytes("m4", kFacts));
  EXPECT_TRUE(client.line().starts_with("-BUSY"));
}

// A call that was out when the process died may have run.
TEST(Program, ResendsSafeAndKeyedMessagesThatWereOutAtAKill) {
  for (const std::string effect : {"safe", "keyed"}) {
    Stage s;
    s.program.start();
    EXPECT_EQ(s.put("00000000000000a1", facts(effect)), "+OK");
    s.host.next();
    s.restart_killed();
    const Request again = s.host.next();
    EXPECT_EQ(id_of(again), "00000000000000a1") << effect;
    EXPECT_EQ(again.headers.at("idempotency-key"), "5c0f6e1a2b3d4c59");
    EXPECT_EQ(again.body, "body");
    s.host.answer("200");
  }
}

TEST(Program, FailsUnsafeMessagesThatWereOutAtAKill) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.restart_killed();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
  EXPECT_EQ(s.put("00000000000000a2", facts("unsafe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

// Refused at once it never ran, and the record of that outlasts the process.
TEST(Program, ResendsAnUnsafeMessageThatWasTurnedAwayBeforeAKill) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.host.answer("429", "Retry-After: 30.0\r\n");
  // That the answer was read shows in what follows it: a message elsewhere goes out on a later turn.
  Host other;
  s.discovery.tell(list_json(2, false, {member_json("s-2", other.address(), 8)}));
  EXPECT_EQ(s.put("00000000000000a2", facts("safe", 8)), "+OK");
  other.next();
  other.answer("200");
  s.restart_killed();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a1");
}

TEST(Program, CutsATornTailAndKeepsWhatStandsBeforeIt) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 99)), "+OK");
  s.program.kill();
  std::ofstream(s.program.state() / "journal", std::ios::app | std::ios::binary)
      << std::string("\x40\0\0\0torn", 8);
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a2", facts("keyed", 99)), "+OK");
  s.program.kill();
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  s.program.start();
  std::set<std::string> ids;
  for (int i = 0; i < 2; ++i) {
    ids.insert(id_of(s.host.next()));
    s.host.answer("200");
    s.host.drop();
  }
  EXPECT_EQ(ids, (std::set<std::string>{"00000000000000a1", "00000000000000a2"}));
}

TEST(Program, TurnsAwayWhatItsFolderHasNoRoomFor) {
  Stage s;
  s.config["limits"]["disk_mb"] = 0.02;
  s.config["settings"]["bounds"]["max_retry_after_s"] = 3;
  s.config["operator"] = free_address();
  const std::string address = s.config["operator"];
  Program small(s.config);
  small.start();
  Socket client = small.client();
  client.send(put_bytes("00000000000000a1", kFacts, std::string(9500, 'x')));
  const std::string busy = client.line();
  ASSERT_TRUE(busy.starts_with("-BUSY ")) << busy;  // and when to come again
  EXPECT_GT(std::stoi(busy.substr(6)), 0);
  EXPECT_LE(std::stoi(busy.substr(6)), 3000);
  client.send(put_bytes("00000000000000a2", kFacts, std::string(1000, 'x')));
  EXPECT_EQ(client.line(), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
  EXPECT_EQ(figures(address)["svc_refused_by_total{place=\"door\",reason=\"disk\"}"], "1");
}

TEST(Program, SendsANoticeAgainUntilItIsTaken) {
  Stage s;
  s.discovery.refuse(2);
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
  EXPECT_EQ(s.discovery.refused(), 2);
}

TEST(Program, OwesANoticeAfterARestart) {
  Stage s;
  s.discovery.refuse(1'000'000);
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  s.host.reset();
  while (s.discovery.refused() == 0) std::this_thread::yield();
  s.program.kill();
  s.discovery.refuse(0);
  s.program.start();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "failed"}}));
}

TEST(Program, TakesOnNoMessageWhoseTimeIsNoneOrOver) {
  Stage s;
  s.program.start();
  for (const std::string d : {"0", "-1", "1e3", "86400001", "99999999999999999999", ""}) {
    EXPECT_TRUE(s.put("00000000000000a1", "c=safe,d=" + d + ",dest=7").starts_with("-ERR")) << d;
  }
  EXPECT_TRUE(s.put("00000000000000a2", facts("safe", 7, 1)).starts_with("-BUSY"));
  EXPECT_EQ(s.put("00000000000000a3", facts("safe")), "+OK");
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a3");
  s.host.answer("200");
}

TEST(Program, EndsAMessageWhoseTimePassedWhileItWasDown) {
  Stage s;
  s.program.start();
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 99, 300)), "+OK");
  s.program.kill();
  s.program.start();
  EXPECT_EQ(s.discovery.notice(), nlohmann::json({{"id", "00000000000000a1"}, {"state", "returned"}}));
}

TEST(Program, FollowsTheWatch) {
  Stage s;
  Host replacement;
  s.program.start();
  s.discovery.tell(list_json(
      2, false,
      {member_json("s-1", s.host.address(), 7, "leaving"), member_json("s-2", replacement.address(), 8)}));
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 8)), "+OK");
  EXPECT_EQ(id_of(replacement.next()), "00000000000000a1");
  replacement.answer("200");
  s.discovery.tell(list_json(3, false, {member_json("s-3", replacement.address(), 7)}));
  EXPECT_EQ(s.put("00000000000000a2", facts("keyed", 7)), "+OK");
  EXPECT_EQ(id_of(replacement.next()), "00000000000000a2");  // and not to the one that leaves
}

// The configuration's list may be older than what the process before was told, and discovery down.
TEST(Program, RemembersTheListAcrossARestart) {
  Stage s;
  Host other;
  s.program.start();
  s.discovery.tell(
      list_json(2, false,
                {member_json("s-1", s.host.address(), 7, "leaving"), member_json("s-2", other.address(), 7),
                 member_json("s-3", other.address(), 8)}));
  EXPECT_EQ(s.put("00000000000000a1", facts("keyed", 8)), "+OK");  // that it was heard
  EXPECT_EQ(id_of(other.next()), "00000000000000a1");
  s.program.kill();
  s.discovery.mute();
  s.program.start();
  EXPECT_EQ(id_of(other.next()), "00000000000000a1");
  other.answer("200");
  for (const std::string id : {"00000000000000a2", "00000000000000a3", "00000000000000a4"}) {
    EXPECT_EQ(s.put(id, facts("keyed", 7)), "+OK");
    EXPECT_EQ(id_of(other.next()), id);
    other.answer("200");
  }
}

TEST(Program, SigtermLetsACallFinishAndKeepsTheRest) {
  Stage s;
  s.program.start();
  Socket client = s.program.client();
  client.send(put_bytes("00000000000000a1", facts("unsafe")));
  EXPECT_EQ(client.line(), "+OK");
  client.send(put_bytes("00000000000000a2", facts("keyed", 99)));
  EXPECT_EQ(client.line(), "+OK");
  s.host.next();
  s.program.signal(SIGTERM);
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
  EXPECT_EQ(client.exactly(1), "");  // closed between requests
  s.host.answer("200");
  EXPECT_EQ(s.program.wait(), 0);
  s.discovery.tell(list_json(2, false, {member_json("s-2", s.host.address(), 99)}));
  s.host.drop();
  s.program.start();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
}

// A request in the backlog of a relay that ends would be lost with its connection.
TEST(Program, ServesTheBacklogBeforeItEnds) {
  Stage s;
  s.config["limits"]["sockets"] = 64;
  Program small(s.config);
  small.start();
  std::vector<Socket> quiet;
  for (int i = 0; i < 50; ++i) quiet.push_back(small.client());
  Socket client = small.client();
  client.send(put_bytes("00000000000000a1", facts("unsafe")));
  small.signal(SIGTERM);
  EXPECT_EQ(client.line(), "+OK");
}

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

// Two processes on one folder and one listening socket, as in an upgrade.
struct Upgrade : Stage {
  Socket listener = Socket::listen();
  Host other;
  Program successor{config};

  // With a fleet: of this relay alone.
  explicit Upgrade(bool fleet = false) {
    config["operator"] = free_address();
    if (fleet) {
      const std::string at = free_address();
      config["settings"]["bounds"]["peers"] = true;
      config["fleet"] = {{"cluster", "test"},
                         {"bind", at},
                         {"period_ms", 50},
                         {"term_ms", 600},
                         {"peers", {{{"name", config["name"]}, {"address", at}, {"voter", true}}}}};
      changed = config;
    }
    discovery.tell(list_json(2, false, {member_json("s-2", other.address(), 8)}));
    program.inherit(listener);
    program.configure(config);
    program.start();
  }
  std::string old_address() const { return config["operator"]; }
  std::string new_address() const { return changed["operator"]; }
  void upgrade() {
    changed["operator"] = free_address();
    successor.share(program);
    successor.configure(changed);
    successor.start();
  }
  std::string hand_in(const std::string& id, const std::string& what) {
    Socket client = Socket::connect(listener.port());
    client.send(put_bytes(id, what));
    return client.line();
  }
  nlohmann::json changed = config;
};

// Nobody comes to a local socket where the platform does not hold the clients' one, and some refuse it.
TEST(Upgrade, IsReadyForASuccessorOnlyWhereTheSocketIsInherited) {
  const auto sockets = [](const Program& program) {
    return std::ranges::count_if(std::filesystem::directory_iterator(program.state()),
                                 [](const auto& entry) { return entry.is_socket(); });
  };
  Stage plain;
  plain.program.start();
  EXPECT_EQ(sockets(plain.program), 0);
  Upgrade upgraded;
  EXPECT_EQ(sockets(upgraded.program), 1);
}

TEST(Upgrade, TheSuccessorTakesOverWhatIsNotOut) {
  Upgrade s;
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();  // out, and unanswered until the end
  EXPECT_EQ(s.hand_in("00000000000000a2", facts("unsafe", 99)), "+OK");
  s.upgrade();
  EXPECT_TRUE(asked(s.new_address(), "STATUS").starts_with("OK"));
  EXPECT_TRUE(asked(s.old_address(), "STATUS").starts_with("ERR"));
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "1"));
  EXPECT_TRUE(becomes(s.old_address(), "svc_in_flight", "1"));
  EXPECT_EQ(s.hand_in("00000000000000a3", facts("safe", 8)), "+OK");
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a3");
  s.other.answer("200");
  s.host.answer("200");
  EXPECT_EQ(s.program.wait(), 0);  // of itself, with nothing left to do
  s.host.drop();
  s.discovery.tell(list_json(3, false, {member_json("s-3", s.host.address(), 99)}));
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a2");
  s.host.answer("200");
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "0"));
  EXPECT_EQ(figures(s.new_address())["svc_attempts_total"], "2");
}

// Calls that were out at its end may have run.
TEST(Upgrade, TheSuccessorTakesOverFromAKilledProcess) {
  Upgrade s;
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("safe")), "+OK");
  s.host.next();
  s.upgrade();
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("safe")),
            "+OK");  // the other process holds it: no second one
  s.program.kill();
  s.host.drop();
  EXPECT_EQ(id_of(s.host.next()), "00000000000000a1");
  s.host.answer("200");
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "0"));
  EXPECT_EQ(figures(s.new_address())["svc_attempts_total"], "1");
}

TEST(Upgrade, TheOldProcessServesAgainIfTheNewOneDies) {
  Upgrade s;
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("unsafe")), "+OK");
  s.host.next();
  EXPECT_EQ(s.hand_in("00000000000000a2", facts("unsafe", 99)), "+OK");
  s.upgrade();
  EXPECT_TRUE(becomes(s.new_address(), "svc_in_flight", "1"));
  s.successor.kill();
  EXPECT_EQ(s.hand_in("00000000000000a3", facts("safe", 8)), "+OK");
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a3");
  EXPECT_TRUE(asked(s.old_address(), "STATUS").starts_with("OK"));
  s.discovery.tell(list_json(3, false, {member_json("s-3", s.other.address(), 99)}));
  s.other.answer("200");
  s.other.drop();
  EXPECT_EQ(id_of(s.other.next()), "00000000000000a2");
}

// Predecessor and successor are one relay of the fleet, and hold one version of its policy.
TEST(Upgrade, TheSuccessorHoldsTheFleetsPolicy) {
  Upgrade s(true);
  EXPECT_TRUE(becomes(s.old_address(), "policy_open", "1"));
  EXPECT_EQ(s.hand_in("00000000000000a1", facts("safe", 8)), "+OK");
  nlohmann::json policy = s.config;
  policy["settings"]["bounds"]["max_attempts"] = 3;
  const std::string path = s.program.state().string() + "/proposed.json";
  std::ofstream(path) << policy.dump();
  EXPECT_EQ(asked(s.old_address(), "POLICY PROPOSE c " + path), "OK handed in");
  EXPECT_TRUE(becomes(s.old_address(), "policy_version", "2"));
  s.upgrade();
  EXPECT_TRUE(becomes(s.new_address(), "policy_version", "2"));
  EXPECT_TRUE(becomes(s.new_address(), "policy_open", "1"));
  EXPECT_EQ(s.hand_in("00000000000000a2", facts("safe", 8)), "+OK");
  s.successor.kill();
  EXPECT_TRUE(becomes(s.old_address(), "policy_open", "1"));
  EXPECT_TRUE(becomes(s.old_address(), "policy_version", "2"));
  EXPECT_EQ(s.hand_in("00000000000000a3", facts("safe", 8)), "+OK");
  // Its own file has the policy of before: SIGHUP does not bring that back.
  s.program.signal(SIGHUP);
  EXPECT_TRUE(becomes(s.old_address(), "svc_reloads_failed_total", "1"));
  // From the folder alone, with its file as it was.
  s.program.kill();
  s.program.start();
  EXPECT_TRUE(becomes(s.old_address(), "policy_version", "2"));
}

// What waits at the socket is the next process's: the one that ends must not take it in, nor shut the socket.
TEST(Upgrade, LeavesTheInheritedSocketOpenAtItsEnd) {
  Upgrade s;
  s.program.signal(SIGTERM);
  EXPECT_EQ(s.program.wait(), 0);
  Socket early = Socket::connect(s.listener.port());
  early.send(put_bytes("00000000000000a1", facts("safe", 8)));
  s.upgrade();
  EXPECT_EQ(early.line(), "+OK");
}

// Out of descriptors an accept fails again at once: the relay waits a little and serves on.
TEST(Program, SurvivesRunningOutOfDescriptors) {
  Stage s;
  s.program.start(40);
  std::vector<Socket> crowd;
  for (int i = 0; i < 60; ++i) crowd.push_back(s.program.client());
  crowd.front().send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(crowd.front().line(), "+PONG");
  crowd.clear();
  Socket client = s.program.client();
  client.send("*1\r\n$4\r\nPING\r\n");
  EXPECT_EQ(client.line(), "+PONG");
}

}  // namespace
}  // namespace firspool::testing
