// The command line, and the log: arguments, what a configuration means, and a reader that does not read.
#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

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
