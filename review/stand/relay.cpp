#include "relay.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr int kReadyMs = 20'000;
constexpr int kClientPatienceMs = 400;

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0') throw CannotRun(std::string(name) + " is not set");
  return value;
}

bool answers_ping(int port) {
  Socket socket = Socket::connect(port);
  if (!socket.open()) return false;
  socket.wait_at_most(1000);
  std::string line;
  return socket.send("*1\r\n$4\r\nPING\r\n") && socket.line(line) && line == "+PONG";
}

}  // namespace

// As the example of the wire page has them, where a case does not say otherwise.
std::string Settings::json() const {
  const std::string pause =
      order_pause_s > 0 ? ",\"order_pause_s\":" + std::to_string(order_pause_s) : std::string();
  std::string zones;
  for (const std::string& name : azs) zones += (zones.empty() ? "\"" : ",\"") + name + "\"";
  return "{\"azs\":[" + zones + "],\"kinds\":[\"agent\"],\"zone\":" + std::to_string(zone) +
         ",\"me\":" + std::to_string(me) + ",\"siblings\":" + std::to_string(siblings) + ",\"realms\":[" +
         realms + "],\"categories\":[" + categories +
         R"(],"weights":"nominal","resolution_s":0.005,"discovery":"push","over_share_worth":0.1,)"
         R"("telemetry":{"how":"piggyback","fields":["x0","x1"]},"client_habits":{"marks_retry":true},)"
         "\"family_info\":{\"calls_out\":" +
         std::to_string(calls_out) +
         R"(,"kind_apart":[false],"kind_batch":[1],"late":"halves",)"
         R"("report_x0":"share_of_the_allowance_that_is_left",)"
         R"("report_x1":"calls_a_second_that_the_limit_allows;_0_where_there_is_none"},)"
         R"("bounds":{"open_cap":227,"max_attempts":8,"streams_per_conn":1,"may_probe":false,)"
         "\"peers\":" +
         (peers ? "true" : "false") +
         R"(,"cancel":true,"retry_after":true,"max_retry_after_s":3.0,"conn_idle_s":5.0,)"
         R"("connect_timeout_s":1.0,"may_duplicate":false},)"
         R"("obligations":{"answer_slack_s":0.02,"ask_every_s":10.0,"cold_s":13.0,"fall_multiple":1.5,)"
         R"("fall_s":1.5,"start_capacity":0.23,"stop_sending_within_s":2.0)" +
         pause + "}}";
}

Relay::Relay(Record& record, std::string name, const std::string& discovery, const std::string& known,
             const Settings& settings)
    : record_(record),
      name_(std::move(name)),
      discovery_(discovery),
      known_(known),
      settings_(settings.json()),
      port_(free_port()) {
  std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr) throw CannotRun("no temporary folder");
  folder_ = pattern;
  std::filesystem::create_directory(folder_ + "/state");
}

Relay::~Relay() {
  if (child_ > 0) kill_at_once();
  if (child_ = std::exchange(before_, -1); child_ > 0) kill_at_once();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

// New with each start, and the same in each play.
std::string Relay::seed() const {
  return hex_id(std::hash<std::string>{}(name_ + "/" + std::to_string(starts_)));
}

std::string Relay::config() const {
  return "{\"name\":\"" + name_ + "\",\"listen\":\"127.0.0.1:" + std::to_string(port_) +
         "\",\"discovery\":\"" + discovery_ + "\",\"seed\":\"" + seed() + "\"," +
         R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":)" + known_ + more_ +
         ",\"settings\":" + settings_ + "}";
}

void Relay::write_config() const {
  std::ofstream(folder_ + "/config.new") << config();
  std::filesystem::rename(folder_ + "/config.new", folder_ + "/config.json");
}

std::string Relay::write_file(const std::string& name) const {
  std::ofstream(folder_ + "/" + name) << config();
  return folder_ + "/" + name;
}

void Relay::inherit() { listener_ = listen_on(port_); }

void Relay::launch(int staff_port) {
  const std::string root = variable("ROOT"), run = variable("RUN");
  ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
  ::setenv("PROXY_STATE", (folder_ + "/state").c_str(), 1);
  if (listener_.open()) ::setenv("PROXY_INHERITED_FD", std::to_string(listener_.fd()).c_str(), 1);
  if (staff_port > 0) ::setenv("PROXY_OPERATOR", ("127.0.0.1:" + std::to_string(staff_port)).c_str(), 1);
  const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ++starts_;
  write_config();
  record_.line(name_ + " is started, known: " + known_);
  child_ = ::fork();
  if (child_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it does not outlast its case
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    if (listener_.open()) ::fcntl(listener_.fd(), F_SETFD, 0);
    if (::chdir(root.c_str()) == 0) ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(log);
}

void Relay::start() {
  launch(0);
  for (int left = kReadyMs; left > 0; left -= 20) {
    if (answers_ping(port_)) return record_.line(name_ + " is ready");
    if (::waitpid(child_, nullptr, WNOHANG) == child_) {
      child_ = -1;
      break;
    }
    ::usleep(20'000);
  }
  throw CannotRun(name_ + " does not serve: " + log_text());
}

void Relay::start_successor(int staff_port) {
  before_ = child_;
  launch(staff_port);
  for (int left = kReadyMs; left > 0; left -= 20) {
    if (ask(staff_port, "STATUS").starts_with("OK")) return record_.line(name_ + "'s successor serves");
    ::usleep(20'000);
  }
  throw CannotRun(name_ + "'s successor does not serve: " + log_text());
}

void Relay::lose_successor() {
  kill_at_once();
  child_ = std::exchange(before_, -1);
}

std::string Relay::ask(int staff_port, const std::string& call) {
  Socket socket = Socket::connect(staff_port);
  std::string line;
  if (!socket.open()) return line;
  socket.wait_at_most(1000);
  if (!socket.send(call + "\n") || !socket.line(line)) line.clear();
  return line;
}

std::string Relay::ask_all(int staff_port, const std::string& call) {
  Socket socket = Socket::connect(staff_port);
  std::string out, line;
  if (!socket.open()) return out;
  socket.wait_at_most(1000);
  if (!socket.send(call + "\n")) return out;
  while (socket.line(line)) out += line + "\n";
  return out;
}

std::string Relay::log_text() const {
  std::ifstream file(folder_ + "/log");
  std::stringstream out;
  out << file.rdbuf();
  return out.str();
}

void Relay::signal(int number) {
  record_.line(name_ + " gets signal " + std::to_string(number));
  ::kill(child_, number);
}

int Relay::wait() {
  int status = 0;
  ::waitpid(child_, &status, 0);
  child_ = -1;
  const int out = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  record_.line(name_ + " has ended: " + std::to_string(out));
  return out;
}

bool Relay::ended_by_itself() {
  int status = 0;
  if (child_ <= 0 || ::waitpid(child_, &status, WNOHANG) != child_) return false;
  child_ = -1;
  record_.line(name_ + " has ended by itself: " +
               (WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                                  : "signal " + std::to_string(WTERMSIG(status))));
  return true;
}

void Relay::kill_at_once() {
  signal(SIGKILL);
  wait();
}

void Relay::move_discovery(const std::string& address) {
  discovery_ = address;
  write_config();
  signal(SIGHUP);
}

std::string put_bytes(const Put& put) {
  const std::string key = put.key.empty() ? "" : ",k=" + put.key;
  const std::string words[] = {"MSG.PUT", put.sequence, put.id,
                               "c=" + put.message_class + ",t=acme,d=" + std::to_string(put.life_ms) + key +
                                   ",dest=" + std::to_string(put.dest),
                               put.body};
  std::string out = "*5\r\n";
  for (const std::string& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}

std::string hand_in(Record& record, int port, const Put& put) {
  Socket socket = Socket::connect(port);
  std::string line;
  if (socket.open()) {
    socket.wait_at_most(kClientPatienceMs);
    if (!socket.send(put_bytes(put)) || !socket.line(line)) line.clear();
  }
  record.line("client hands in " + put.id + " of " + put.message_class + " for " + std::to_string(put.dest) +
              ": " + (line.empty() ? "no answer" : line));
  return line;
}

std::string hex_id(unsigned long number) {
  char out[17];
  std::snprintf(out, sizeof out, "%016lx", number);
  return out;
}

}  // namespace review
