// The command line, and the log: arguments, what a configuration means, and a reader that does not read.
#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

#include "config_policy.h"
#include "log.h"
#include "peers.h"

namespace firspool::testing {
namespace {

struct Ran {
  int status = 0;
  std::string output;  // and errors
};

Ran run(const std::string& arguments) {
  Ran out;
  FILE* pipe = ::popen(
      (std::string("env -u PROXY_CONFIG -u PROXY_STATE " UMBERHOIST " ") + arguments + " 2>&1").c_str(), "r");
  char bytes[4096];
  for (size_t got; (got = std::fread(bytes, 1, sizeof bytes, pipe)) > 0;) out.output.append(bytes, got);
  out.status = WEXITSTATUS(::pclose(pipe));
  return out;
}

class ConfigFile {
 public:
  explicit ConfigFile(const std::string& text) {
    const int fd = ::mkstemp(path_.data());
    ::close(fd);
    std::ofstream(path_) << text;
  }
  ~ConfigFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_; }

 private:
  std::string path_ = std::filesystem::temp_directory_path() / "umberhoist-config-XXXXXX";
};

bool one_line(const std::string& text) { return std::ranges::count(text, '\n') == 1 && text.back() == '\n'; }

TEST(Command, UnusableArgumentsAreOneLineAndTwo) {
  for (const char* arguments :
       {"", "--frob", "--log-level loud", "--log-format xml", "--config /dev/null", "more"}) {
    const Ran ran = run(arguments);
    EXPECT_EQ(ran.status, 2) << arguments;
    EXPECT_TRUE(one_line(ran.output)) << arguments << ": " << ran.output;
  }
  EXPECT_EQ(run("--version").status, 0);
  EXPECT_EQ(run("--help").status, 0);
}

TEST(Command, CheckSaysWhatAConfigurationMeansOrWhatIsWrong) {
  nlohmann::json config = config_json("127.0.0.1:1", {member_json("s-1", "127.0.0.1:2", 7)});
  const Ran good = run("--check --config " + ConfigFile(config.dump()).path());
  EXPECT_EQ(good.status, 0) << good.output;
  EXPECT_NE(good.output.find("class unsafe: never repeated, wanted within 2.0 s, given up at 60.0 s"),
            std::string::npos)
      << good.output;
  EXPECT_NE(good.output.find("1 endpoints known"), std::string::npos);
  config["settings"]["bounds"]["max_attempts"] = 0;
  const Ran bad = run("--check --config " + ConfigFile(config.dump()).path());
  EXPECT_EQ(bad.status, 1);
  EXPECT_TRUE(one_line(bad.output)) << bad.output;
  EXPECT_NE(bad.output.find("settings.bounds.max_attempts"), std::string::npos) << bad.output;
  EXPECT_EQ(run("--check --config /no/such/file").status, 1);
}

TEST(Command, LogsJsonWithNameAndFields) {
  const ConfigFile config(config_json("127.0.0.1:1", {}).dump());
  const Ran ran = run("--log-format json --state /no/such/folder --config " + config.path());
  EXPECT_EQ(ran.status, 1);
  ASSERT_TRUE(one_line(ran.output)) << ran.output;
  const nlohmann::json line = nlohmann::json::parse(ran.output);
  EXPECT_EQ(line["event"], "ended");
  EXPECT_EQ(line["level"], "error");
  EXPECT_NE(line["reason"].get<std::string>(), "");
}

nlohmann::json fleet_config() {
  nlohmann::json config = config_json("127.0.0.1:1", {});
  config["settings"]["bounds"]["peers"] = true;
  config["fleet"] = {{"cluster", "roaming-1"},
                     {"bind", "127.0.0.1:7946"},
                     {"period_ms", 500},
                     {"term_ms", 3000},
                     {"isolated", "refuse"},
                     {"peers",
                      {{{"name", "n0"}, {"address", "127.0.0.1:7946"}, {"voter", true}},
                       {{"name", "n1"}, {"address", "127.0.0.1:7947"}}}}};
  return config;
}

// One line that names the key.
TEST(Fleet, ASectionThatDoesNotHoldTogetherIsTurnedDownWhole) {
  const auto reason = [](const char* at, const nlohmann::json& value) {
    nlohmann::json config = fleet_config();
    config[nlohmann::json::json_pointer(at)] = value;
    try {
      relay::parse_config(config.dump(), "state");
    } catch (const std::exception& fault) {
      return std::string(fault.what());
    }
    return std::string("taken");
  };
  EXPECT_EQ(reason("/fleet/period_ms", 500), "taken");
  EXPECT_EQ(reason("/settings/bounds/peers", false),
            "fleet is given, but settings.bounds.peers does not allow it");
  EXPECT_EQ(reason("/name", "n7"), "fleet.peers does not name n7");
  EXPECT_EQ(reason("/fleet/peers/1/name", "n0"), "fleet.peers.1.name is there twice");
  EXPECT_EQ(reason("/fleet/peers/1/address", "127.0.0.1:7946"), "fleet.peers.1.address is there twice");
  EXPECT_EQ(reason("/fleet/peers/1/address", "nowhere"), "fleet.peers.1.address is no address");
  EXPECT_EQ(reason("/fleet/peers/1/voter", true), "fleet.peers has no odd number of voters");
  EXPECT_EQ(reason("/fleet/peers/0/voter", false), "fleet.peers has no odd number of voters");
  EXPECT_EQ(reason("/fleet/period_ms", 0), "fleet.period_ms is not a time above 0 in milliseconds");
  EXPECT_EQ(reason("/fleet/term_ms", 1999), "fleet.term_ms is under four periods");
  EXPECT_EQ(reason("/fleet/isolated", "maybe"), "fleet.isolated is neither refuse nor serve");
  EXPECT_EQ(reason("/fleet/cluster", ""), "fleet.cluster is not a text of 1 to 64 bytes");
}

// What a process holds open, by kind; UDP sockets apart.
std::map<std::string, int> held_open(pid_t pid) {
  std::set<std::string> udp;
  std::ifstream table("/proc/" + std::to_string(pid) + "/net/udp");
  for (std::string line; std::getline(table, line);) {
    std::istringstream in(line);
    std::vector<std::string> words{std::istream_iterator<std::string>(in), {}};
    if (words.size() > 9) udp.insert("socket:[" + words[9] + "]");
  }
  std::map<std::string, int> out;
  for (const auto& fd : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
    std::error_code gone;
    const std::string to = std::filesystem::read_symlink(fd.path(), gone).string();
    ++out[udp.contains(to) ? "udp" : to.substr(0, to.find(':'))];
  }
  for (const auto& thread : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
    out["threads"] += thread.is_directory() ? 1 : 0;
  }
  return out;
}

TEST(Fleet, WithoutItsSectionNotASocketThreadFileOrFigureIsThere) {
  const std::string second = free_address();
  nlohmann::json plain = config_json("127.0.0.1:1", {});
  plain["operator"] = second;
  Program without(plain);
  without.start();
  const auto held = held_open(without.pid());
  EXPECT_FALSE(held.contains("udp"));
  EXPECT_EQ(held.at("threads"), 1);
  EXPECT_FALSE(std::filesystem::exists(without.state() / "fleet.json"));
  EXPECT_FALSE(std::filesystem::exists(without.state() / "policy.records"));
  const auto ask = [&](const std::string& call) {
    Socket caller = Socket::connect(second);
    caller.send(call + "\n");
    std::string all;
    for (std::string line = caller.line(); !line.empty(); line = caller.line()) all += line + "\n";
    return all;
  };
  EXPECT_EQ(ask("FLEET"), "ERR unknown call\n");
  EXPECT_EQ(ask("POLICY STATUS"), "ERR unknown call\n");
  EXPECT_EQ(ask("METRICS").find("fleet_"), std::string::npos);
  EXPECT_EQ(ask("METRICS").find("policy_"), std::string::npos);
  without.kill();
  // And with it they are: the check can fail.
  nlohmann::json config = fleet_config();
  config["operator"] = second;
  config["fleet"]["bind"] = config["fleet"]["peers"][0]["address"] = free_address();
  Program with(config);
  with.start();
  EXPECT_EQ(held_open(with.pid()).at("udp"), 1);
  EXPECT_EQ(held_open(with.pid()).at("threads"), 1);
  EXPECT_TRUE(std::filesystem::exists(with.state() / "fleet.json"));
  EXPECT_TRUE(std::filesystem::exists(with.state() / "policy.records"));
  EXPECT_NE(ask("FLEET").find("n0 alive"), std::string::npos);
  EXPECT_NE(ask("METRICS").find("fleet_members{state=\"alive\"} 1"), std::string::npos);
  // A second process under the same name ends with one line, and the first goes on.
  const ConfigFile again(config.dump());
  const std::string folder = std::filesystem::temp_directory_path() / "umberhoist-second";
  std::filesystem::create_directory(folder);
  const Ran ran = run("--state " + folder + " --config " + again.path());
  std::filesystem::remove_all(folder);
  EXPECT_EQ(ran.status, 1);
  EXPECT_TRUE(one_line(ran.output)) << ran.output;
  EXPECT_NE(ran.output.find("has another process this name?"), std::string::npos) << ran.output;
  EXPECT_NE(ask("FLEET").find("n0 alive"), std::string::npos);
}

// One of three that hears no other: what it does is the operators' choice.
TEST(Fleet, ARelayAloneTakesNothingOnUnlessItIsToldToServe) {
  for (const char* isolated : {"refuse", "serve"}) {
    nlohmann::json config = fleet_config();
    const std::string second = free_address();
    config["operator"] = second;
    config["fleet"]["isolated"] = isolated;
    config["fleet"]["peers"][0]["voter"] = false;  // the voter is never there
    config["fleet"]["peers"][1]["voter"] = true;
    config["fleet"]["bind"] = config["fleet"]["peers"][0]["address"] = free_address();
    Program program(config);
    program.start();
    Socket caller = Socket::connect(second);
    caller.send("STATUS\n");
    Socket client = program.client();
    client.send(put_bytes("00000000000000a1", "c=safe,d=60000,dest=7"));
    if (std::string(isolated) == "serve") {
      EXPECT_EQ(caller.line(), "OK serving");
      EXPECT_EQ(client.line(), "+OK");
    } else {
      EXPECT_EQ(caller.line(), "ERR fenced: no leader was heard yet");
      EXPECT_TRUE(client.line().starts_with("-BUSY"));
    }
  }
}

// A file that is no policy to be proposed is turned down whole, with one line.
TEST(Fleet, APolicyThatDoesNotHoldTogetherIsTurnedDown) {
  const relay::Config config = relay::parse_config(fleet_config().dump(), "state");
  const auto said = [&](const std::function<void(nlohmann::json&)>& change) -> std::string {
    nlohmann::json file = fleet_config();
    change(file["settings"]);
    try {
      const std::string policy = relay::policy_in(file.dump());
      if (std::string fault = relay::policy_fault(config, policy); !fault.empty()) return fault;
      (void)relay::with_policy(config, policy);
      return "taken";
    } catch (const std::exception& fault) {
      return fault.what();
    }
  };
  EXPECT_EQ(said([](auto& s) { s["bounds"]["max_attempts"] = 3; }), "taken");
  EXPECT_EQ(said([](auto& s) { s["bounds"]["max_attempts"] = 0; }),
            "settings.bounds.max_attempts is not above 0");
  EXPECT_EQ(said([](auto& s) { s["bounds"]["peers"] = false; }),
            "fleet is given, but settings.bounds.peers does not allow it");
  EXPECT_EQ(said([](auto& s) { s["bounds"].erase("max_attempts"); }), "bounds.max_attempts is missing");
  EXPECT_EQ(said([](auto& s) { s["categories"][0]["name"] = "another"; }),
            "class " + fleet_config()["settings"]["categories"][0]["name"].get<std::string>() +
                " is renamed another: add the new one first, and remove the old one later");
  EXPECT_TRUE(said([](auto& s) {
                s["categories"][0]["note"] = std::string(70'000, 'x');
              }).starts_with("limits.disk_mb leaves"));
  EXPECT_THROW((void)relay::policy_in("{\"bounds\":"), std::exception);
  EXPECT_THROW((void)relay::policy_in("{\"me\":1}"), std::exception);
}

// A pipe that nobody reads once stopped a relay in the middle of a write.
TEST(Log, AReaderThatDoesNotReadNeverBlocksItAndLossIsTold) {
  int ends[2];
  ASSERT_EQ(::pipe2(ends, O_CLOEXEC), 0);
  relay::BoundedWriter writer(ends[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 1000; ++i) writer.write(line + "\n");
  EXPECT_LE(writer.pending(), relay::kMostPending);
  EXPECT_GT(writer.dropped(), 700u);
  std::string read;
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  for (int i = 0; i < 20; ++i) {
    char bytes[8192];
    for (ssize_t got; (got = ::read(ends[0], bytes, sizeof bytes)) > 0;)
      read.append(bytes, static_cast<size_t>(got));
    writer.write("later\n");
  }
  EXPECT_EQ(writer.pending(), 0u);
  EXPECT_NE(read.find("lines were dropped\nlater\n"), std::string::npos);
  ::close(ends[0]);
  ::close(ends[1]);
}

}  // namespace
}  // namespace firspool::testing
