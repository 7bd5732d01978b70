#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstring>
#include <fstream>

#include "../ctl/ask.h"
#include "policies.h"

namespace umberhoist::lab {
namespace {

namespace fs = std::filesystem;
using Error = boost::system::error_code;
using nlohmann::json;

constexpr double kReap = 0.01;
constexpr double kMeasure = 0.25;
constexpr double kAgain = 0.6;      // the next start comes so long after an end, at the soonest
constexpr double kPatience = 15;    // for the first start
constexpr double kKillAfter = 0.5;  // SIGKILL comes so long after the latest end that is promised

// A whole file; empty where it is gone.
std::string slurp(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

Fleet::Fleet(World& world, fs::path folder, std::string program,
             const std::vector<std::unique_ptr<Discovery>>& agents, PairNetwork* network)
    : world_(world),
      root_(std::move(folder)),
      agents_(agents),
      network_(network),
      relays_(static_cast<size_t>(world.scenario.relays)),
      reap_timer_(world.io),
      measure_timer_(world.io) {
  for (size_t i = 0; i < relays_.size(); ++i) {
    relays_[i].program =
        static_cast<int>(i) < world.scenario.relay.others ? world.scenario.relay.other : program;
    relays_[i].listen = world.ports.take();
    relays_[i].second = world.ports.take();
  }
}

Fleet::~Fleet() {
  for (Relay& r : relays_) {
    if (r.pid <= 0) continue;
    ::kill(-r.group, SIGKILL);
    ::waitpid(r.pid, nullptr, 0);
  }
}

fs::path Fleet::folder_of(int relay) const { return root_ / ("relay-" + std::to_string(relay)); }

json Fleet::config_of(int relay, int generation) const {
  const Scenario& s = world_.scenario;
  json classes = json::array(), tenants = json::array();
  for (const ClassSpec& c : s.classes) {
    classes.push_back({{"name", c.name},
                       {"semantics", c.effect},
                       {"key_scope", "all"},
                       {"key_ttl_s", c.key_ttl_s},
                       {"target_s", c.target_s},
                       {"give_up_s", c.give_up_s},
                       {"worth", c.worth},
                       {"late_worth", c.late_worth}});
  }
  if (s.changes_policy()) classes.push_back(marker_class(generation));
  for (const TenantSpec& t : s.tenants) tenants.push_back({{"name", t.name}, {"quota_per_s", 0.0}});
  const double part = s.load.rate / s.relays;
  const double pace = (s.partners.pace_s.low + s.partners.pace_s.high) / 2;
  const json settings = {
      {"azs", {"lj-dc1"}},
      {"kinds", {"principal", "agent"}},
      {"categories", classes},
      {"realms", tenants},
      {"me", relay},
      {"siblings", s.relays},
      {"zone", 0},
      {"family_info",
       {{"calls_out", std::max(4, static_cast<int>(std::ceil(s.relay.slots_factor * part * pace)))},
        {"kind_apart", {false, false}},
        {"kind_batch", {1, 1}},
        {"late", "halves"}}},
      {"bounds",
       {{"open_cap", std::max(8, static_cast<int>(s.relay.hold_s * part))},
        {"max_attempts", 8},
        {"streams_per_conn", 1},
        {"may_probe", false},
        {"peers", s.fleet},
        {"cancel", true},
        {"retry_after", true},
        {"max_retry_after_s", 3.0},
        {"conn_idle_s", 5.0},
        {"connect_timeout_s", 1.0}}},
      {"obligations",
       {{"stop_sending_within_s", s.partners.drain_grace_s},
        {"answer_slack_s", 0.25},
        {"cold_s", s.partners.cold_s},
        {"fall_s", s.partners.fall_s},
        {"fall_multiple", s.partners.fall_multiple},
        {"start_capacity", s.partners.start_capacity}}},
      {"telemetry", {{"fields", {"x0", "x1"}}}},
      {"prices", {{"waste", 0.16}, {"late_fail", 0.03}, {"handshake", 0.02}}},
      {"discovery", "push"},
      {"weights", "rough"},
      {"over_share_worth", 0.1},
      {"resolution_s", 0.005}};
  char seed[17];
  std::snprintf(
      seed, sizeof seed, "%016llx",
      static_cast<unsigned long long>(pcg64(world_.plan.seed, 77 + static_cast<uint64_t>(relay))()));
  json out = {{"name", "n" + std::to_string(relay)},
              {"listen", text_of(address(relay))},
              {"discovery", agents_.at(static_cast<size_t>(relay))->address()},
              {"seed", seed},
              {"limits",
               {{"cores", 1.0},
                {"memory_mb", s.relay.memory_mb},
                {"sockets", s.relay.sockets},
                {"disk_mb", s.relay.disk_mb}}},
              {"known", agents_.at(static_cast<size_t>(relay))->known()},
              {"settings", settings}};
  if (network_ != nullptr) {
    out["fleet"] = network_->section(relay);
    out["operator"] = text_of(relays_.at(static_cast<size_t>(relay)).second);
  }
  return out;
}

void Fleet::start(std::function<void()> ready) {
  all_ready_ = std::move(ready);
  for (int i = 0; i < static_cast<int>(relays_.size()); ++i) {
    fs::create_directories(folder_of(i) / "state");
    std::ofstream(folder_of(i) / "config.json") << config_of(i).dump(1);
    launch(i);
  }
  reap();
  measure();
}

void Fleet::launch(int relay) {
  Relay& r = of(relay);
  const std::string config = folder_of(relay) / "config.json";
  const std::string state = folder_of(relay) / "state";
  const std::string log = folder_of(relay) / "log";
  char offset[32];
  std::snprintf(offset, sizeof offset, "%lld",
                static_cast<long long>(world_.plan.wall_offset[static_cast<size_t>(relay)] * 1000));
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw Unusable(std::string("no process can be started: ") + std::strerror(errno));
  if (pid == 0) {
    ::setpgid(0, 0);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    std::signal(SIGXFSZ, SIG_IGN);  // a full disk is an error, as by ENOSPC
    const rlimit descriptors{static_cast<rlim_t>(world_.scenario.relay.sockets),
                             static_cast<rlim_t>(world_.scenario.relay.sockets)};
    ::close_range(3, ~0U, 0);
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    ::setenv("PROXY_CONFIG", config.c_str(), 1);
    ::setenv("PROXY_STATE", state.c_str(), 1);
    if (std::string_view(offset) != "0") ::setenv("UMBERHOIST_WALL_OFFSET_MS", offset, 1);
    ::execl(r.program.c_str(), r.program.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  ::setpgid(pid, pid);
  r.pid = r.group = pid;
  r.state = State::kStarting;
  r.started = world_.now();
  r.term_at = -1;
  r.cpu = 0;
  probe(relay);
}

// It serves once it has answered +PONG.
void Fleet::probe(int relay) {
  struct Probe {
    explicit Probe(boost::asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::string in;
  };
  auto probe = std::make_shared<Probe>(world_.io);
  const pid_t pid = of(relay).pid;
  const auto again = [this, relay, pid] {
    world_.after(0.01, [this, relay, pid] {
      if (of(relay).pid == pid && of(relay).state == State::kStarting) this->probe(relay);
    });
  };
  probe->socket.async_connect(of(relay).listen, [this, relay, pid, probe, again](const Error& error) {
    if (error) return again();
    boost::asio::write(probe->socket, boost::asio::buffer(std::string("*1\r\n$4\r\nPING\r\n")));
    boost::asio::async_read_until(probe->socket, boost::asio::dynamic_buffer(probe->in, 64), '\n',
                                  [this, relay, pid, probe, again](const Error& failed, size_t) {
                                    Relay& r = of(relay);
                                    if (r.pid != pid || r.state != State::kStarting) return;
                                    if (failed || !probe->in.starts_with("+PONG")) return again();
                                    if (network_ != nullptr && !playing_ && !open(relay)) return again();
                                    r.state = State::kUp;
                                    const double now = world_.now();
                                    world_.oracles.started(now, relay, now - r.started);
                                    world_.oracles.ready(now, relay);
                                    if (up) up(relay);
                                    if (!playing_ && std::ranges::all_of(relays_, [](const Relay& x) {
                                          return x.state == State::kUp;
                                        })) {
                                      playing_ = true;
                                      all_ready_();
                                    }
                                  });
  });
}

// The fleet's first policy is in force: before that nothing is taken on.
bool Fleet::open(int relay) const {
  try {
    return ctl::ask(text_of(second_address(relay)), "STATUS").ok;
  } catch (const std::exception&) {
    return false;
  }
}

void Fleet::reap() {
  for (int i = 0; i < static_cast<int>(relays_.size()); ++i) {
    Relay& r = of(i);
    if (r.pid <= 0) continue;
    int status = 0;
    if (::waitpid(r.pid, &status, WNOHANG) == r.pid) gone(i, status);
    if (!playing_ && r.state == State::kStarting && world_.now() - r.started > kPatience) {
      throw Unusable("relay " + std::to_string(i) + " does not serve " +
                     std::to_string(static_cast<int>(kPatience)) + " s after its start; its log is " +
                     (folder_of(i) / "log").string());
    }
    const double late = world_.oracles.rules().end_within + kKillAfter;
    if (r.pid > 0 && r.term_at >= 0 && world_.now() - r.term_at > late) ::kill(r.pid, SIGKILL);
  }
  if (ending_ && std::ranges::all_of(relays_, [](const Relay& r) { return r.pid <= 0; })) {
    measure_timer_.cancel();
    return std::exchange(all_ended_, {})();
  }
  reap_timer_.expires_after(
      std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(kReap)));
  reap_timer_.async_wait([this](const Error& error) {
    if (!error) reap();
  });
}

void Fleet::gone(int relay, int status) {
  Relay& r = of(relay);
  const double now = world_.now();
  const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  const State was = std::exchange(r.state, State::kDown);
  const bool killed = was == State::kDown;
  r.pid = -1;
  if (!playing_) {
    std::string last, line;
    for (std::istringstream log(slurp(folder_of(relay) / "log")); std::getline(log, line);) last = line;
    throw Unusable("the relay program " + r.program + " does not start (" + std::to_string(code) + ")" +
                   (last.empty() ? "" : ": " + last));
  }
  if (!killed) {
    world_.oracles.processes.ended(now, relay, r.term_at >= 0, code, r.term_at >= 0 ? now - r.term_at : 0);
    if (r.term_at < 0 && !ending_) {  // by itself: the platform starts it again
      world_.oracles.down(now, relay);
      if (went) went(relay);
      r.again = 0;
      r.folder = "kept";
    }
  }
  // Whatever it started must be gone with it.
  const bool orphan = ::kill(-r.group, 0) == 0;
  world_.oracles.processes.left_behind(now, relay, orphan ? "left a process behind" : "");
  if (orphan) ::kill(-r.group, SIGKILL);
  if (ending_ || r.again < 0) return;
  world_.after(std::max(kAgain, r.again), [this, relay] {
    if (ending_ || of(relay).pid > 0) return;
    prepare_folder(relay, of(relay).folder);
    launch(relay);
  });
}

void Fleet::kill(int relay, double down_s, const std::string& folder) {
  Relay& r = of(relay);
  if (r.pid <= 0 || r.state == State::kDown || r.state == State::kEnding) return;
  world_.oracles.down(world_.now(), relay);
  r.state = State::kDown;
  r.again = down_s;
  r.folder = folder;
  if (went) went(relay);
  ::kill(r.pid, SIGKILL);
}

void Fleet::term(int relay, double down_s, const std::string& folder) {
  Relay& r = of(relay);
  if (r.state != State::kUp) return;
  world_.oracles.down(world_.now(), relay);
  r.state = State::kEnding;
  r.term_at = world_.now();
  r.again = down_s;
  r.folder = folder;
  if (went) went(relay);
  ::kill(r.pid, SIGTERM);
}

void Fleet::pause(int relay, double lasts) {
  Relay& r = of(relay);
  if (r.state != State::kUp) return;
  world_.oracles.down(world_.now(), relay);
  r.state = State::kStopped;
  if (went) went(relay);
  ::kill(r.pid, SIGSTOP);
  world_.after(lasts, [this, relay, pid = r.pid] {
    Relay& woken = of(relay);
    if (woken.pid != pid || woken.state != State::kStopped) return;
    ::kill(pid, SIGCONT);
    woken.state = State::kUp;
    world_.oracles.ready(world_.now(), relay);
    if (up) up(relay);
  });
}

void Fleet::fill_disk(int relay, double lasts) {
  const Relay& r = of(relay);
  if (r.pid <= 0) return;
  uintmax_t largest = 0;
  for (const auto& file : fs::directory_iterator(folder_of(relay) / "state")) {
    if (file.is_regular_file()) largest = std::max(largest, file.file_size());
  }
  rlimit old{};
  const rlimit full{static_cast<rlim_t>(largest), RLIM_INFINITY};
  ::prlimit(r.pid, RLIMIT_FSIZE, &full, &old);
  world_.after(lasts, [pid = r.pid, old, this, relay] {
    if (of(relay).pid == pid) ::prlimit(pid, RLIMIT_FSIZE, &old, nullptr);
  });
}

void Fleet::prepare_folder(int relay, const std::string& how) {
  const fs::path state = folder_of(relay) / "state";
  if (how == "emptied") {
    fs::remove_all(state);
    fs::create_directories(state);
    world_.oracles.emptied(relay);
    if (lost) lost(relay);
  } else if (how == "torn") {
    // A last write that came through in part only: the first bytes of what the file held before, cut short.
    for (const auto& file : fs::directory_iterator(state)) {
      if (!file.is_regular_file() || file.file_size() == 0) continue;
      const size_t most = std::min<size_t>(40, file.file_size());
      const auto length = std::uniform_int_distribution<size_t>(1, most)(world_.chance);
      const bool framed = file.path().filename() == "policy.records";
      std::string tail =
          slurp(file.path()).substr(framed ? 0 : file.file_size() - most, framed ? length % 20 + 1 : length);
      std::ofstream(file.path(), std::ios::binary | std::ios::app) << tail;
    }
  }
}

void Fleet::end(std::function<void()> ended) {
  ending_ = true;
  all_ended_ = std::move(ended);
  for (Relay& r : relays_) {
    if (r.pid <= 0) continue;
    if (r.state == State::kStopped) ::kill(r.pid, SIGCONT);
    if (r.state == State::kEnding || r.state == State::kDown) continue;
    r.state = State::kEnding;
    r.term_at = world_.now();
    ::kill(r.pid, SIGTERM);
  }
}

void Fleet::measure() {
  for (int i = 0; i < static_cast<int>(relays_.size()); ++i) look(i);
  measure_timer_.expires_after(std::chrono::milliseconds(static_cast<int>(kMeasure * 1000)));
  measure_timer_.async_wait([this](const Error& error) {
    if (!error) measure();
  });
}

void Fleet::look(int relay) {
  Relay& r = of(relay);
  if (r.pid <= 0 || r.state == State::kDown) return;
  const fs::path proc = fs::path("/proc") / std::to_string(r.pid);
  std::istringstream statm(slurp(proc / "statm"));
  double size = 0, resident = 0, shared = 0;
  statm >> size >> resident >> shared;
  const std::string stat = slurp(proc / "stat");
  const size_t name = stat.rfind(')');
  if (name == std::string::npos) return;
  std::istringstream rest(stat.substr(name + 2));
  std::string skip;
  double user = 0, system = 0;
  for (int i = 0; i < 11; ++i) rest >> skip;
  rest >> user >> system;
  const double cpu = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::error_code ignored;
  int descriptors = 0;
  for (fs::directory_iterator it(proc / "fd", ignored), end; !ignored && it != end; it.increment(ignored)) {
    ++descriptors;
  }
  double disk = 0;
  for (fs::directory_iterator it(folder_of(relay) / "state", ignored), end; !ignored && it != end;
       it.increment(ignored)) {
    std::error_code vanished;
    const auto bytes = it->is_regular_file(vanished) ? it->file_size(vanished) : 0;
    if (!vanished) disk += static_cast<double>((bytes + 511) / 512 * 512);
  }
  const double memory = resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
  if (memory <= 0) return;  // a zombie
  world_.figures.used(world_.now(), relay, std::max(0.0, cpu - r.cpu), memory, descriptors);
  r.cpu = cpu;
  world_.oracles.processes.measured(world_.now(), relay, memory, descriptors, disk);
}

}  // namespace umberhoist::lab
