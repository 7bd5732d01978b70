// The program as a child process of a test.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "peers.h"

namespace firspool::testing {
namespace {

constexpr int kInherited = 5;  // the descriptor of the listening socket in the program

}  // namespace

Program::Program(nlohmann::json config) : config_(std::move(config)) {
  std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-test-XXXXXX";
  folder_ = ::mkdtemp(pattern.data());
  state_ = folder_ / "state";
  std::filesystem::create_directory(state());
}

Program::~Program() {
  kill();
  std::filesystem::remove_all(folder_);
}

void Program::share(const Program& other) {
  state_ = other.state_;
  inherited_ = other.inherited_;
}

void Program::configure(const nlohmann::json& config) {
  config_ = config;
  replace(config_.dump());
}

void Program::replace(const std::string& text) { std::ofstream(folder_ / "config.json") << text; }

std::map<std::string, std::string> Program::environment() const {
  std::map<std::string, std::string> out;
  for (char** entry = ::environ; *entry != nullptr; ++entry) {
    const std::string pair = *entry;
    const size_t split = pair.find('=');
    if (split != std::string::npos) out[pair.substr(0, split)] = pair.substr(split + 1);
  }
  out["PROXY_CONFIG"] = folder_ / "config.json";
  out["PROXY_STATE"] = state();
  if (inherited_ >= 0) out["PROXY_INHERITED_FD"] = std::to_string(kInherited);
  if (!failing_calls_.empty()) out["FAILING_CALLS"] = failing_calls_;
  return out;
}

void Program::launch(int descriptors) {
  configure(config_);
  int pipe[2];
  ASSERT_EQ(::pipe2(pipe, O_CLOEXEC), 0);
  std::vector<std::string> pairs;
  for (const auto& [name, value] : environment()) pairs.push_back(name + "=" + value);
  std::vector<char*> entries;
  for (std::string& pair : pairs) entries.push_back(pair.data());
  entries.push_back(nullptr);
  std::string program = failing_calls_.empty() ? UMBERHOIST : FAILING_RELAY;
  char* arguments[] = {program.data(), nullptr};
  const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
  child_ = ::fork();
  if (child_ == 0) {  // another thread may hold any lock: system calls only
    ::dup2(pipe[1], STDERR_FILENO);
    if (descriptors > 0) ::setrlimit(RLIMIT_NOFILE, &limit);
    if (inherited_ >= 0) {
      if (inherited_ != kInherited) ::dup2(inherited_, kInherited);
      ::fcntl(kInherited, F_SETFD, 0);
    }
    ::execve(program.c_str(), arguments, entries.data());
    ::_exit(127);
  }
  ::close(pipe[1]);
  log_ = Socket(pipe[0]);
}

void Program::await_listening() {
  std::string before;
  std::string line = log_.line();
  for (; !line.empty() && !line.starts_with("listening on "); line = log_.line()) before = line;
  ASSERT_TRUE(line.starts_with("listening on ")) << "its last line: " << before;
  port_ = static_cast<uint16_t>(std::stoi(line.substr(line.rfind(':') + 1)));
  drain_ = std::thread([this] {  // so that a full pipe never stops the program
    char bytes[4096];
    for (ssize_t got = 0; (got = ::read(log_.fd(), bytes, sizeof bytes)) > 0;) {
      if (::write(2, bytes, static_cast<size_t>(got)) < 0) return;
    }
  });
}

void Program::signal(int number) { ::kill(child_, number); }

int Program::wait() {
  int status = 0;
  ::waitpid(child_, &status, 0);
  child_ = -1;
  if (drain_.joinable()) drain_.join();
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void Program::kill() {
  if (child_ <= 0) return;
  signal(SIGKILL);
  wait();
}

}  // namespace firspool::testing
