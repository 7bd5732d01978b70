#include "fleet.h"

#include <sys/wait.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fstream>

#include "../ctl/ask.h"
#include "process.h"

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

void Fleet::start(std::function<void()> ready) {
  all_ready_ = std::move(ready);
  for (int i = 0; i < static_cast<int>(relays_.size()); ++i) {
    fs::create_directories(folder_of(i) / "state");
    std::ofstream(folder_of(i) / "config.json") << config_of(i).dump(1);
    if (joins_later(i)) {
      world_.parts.serving(0, i, false);
    } else {
      launch(i);
    }
  }
  reap();
  measure();
}

bool Fleet::joins_later(int relay) const {
  return std::ranges::any_of(world_.plan.faults, [&](const Fault& f) {
    return f.kind == "join" && std::ranges::find(f.targets, relay) != f.targets.end();
  });
}

void Fleet::join(int relay) {
  if (!of(relay).there && !ending_) launch(relay);
}

void Fleet::launch(int relay) {
  Relay& r = of(relay);
  const fs::path folder = folder_of(relay);
  Program program{r.program, folder / "log", world_.scenario.relay.sockets, {}};
  program.environment["PROXY_CONFIG"] = folder / "config.json";
  program.environment["PROXY_STATE"] = folder / "state";
  const auto offset = static_cast<long long>(world_.plan.wall_offset[static_cast<size_t>(relay)] * 1000);
  if (offset != 0) program.environment["UMBERHOIST_WALL_OFFSET_MS"] = std::to_string(offset);
  r.pid = r.group = start_process(program);
  r.state = State::kStarting;
  r.started = world_.now();
  r.there = true;
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
                                    world_.oracles.processes.started(now, relay, now - r.started);
                                    world_.oracles.ready(now, relay);
                                    world_.parts.serving(now, relay, true);
                                    if (up) up(relay);
                                    if (!playing_ && std::ranges::all_of(relays_, [](const Relay& x) {
                                          return x.state == State::kUp || !x.there;
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
  world_.oracles.gone(relay);
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
      world_.parts.serving(now, relay, false);
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

void Fleet::end(std::function<void()> ended) {
  ending_ = true;
  all_ended_ = std::move(ended);
  for (int i = 0; i < static_cast<int>(relays_.size()); ++i) ask_to_end(i);
}

// One that is being started is asked as soon as it can hear.
void Fleet::ask_to_end(int relay) {
  Relay& r = of(relay);
  if (r.pid <= 0 || r.state == State::kEnding || r.state == State::kDown) return;
  if (r.state == State::kStarting && !takes_signal(r.pid, SIGTERM)) {
    return world_.after(kReap, [this, relay] { ask_to_end(relay); });
  }
  if (r.state == State::kStopped) ::kill(r.pid, SIGCONT);
  r.state = State::kEnding;
  r.term_at = world_.now();
  ::kill(r.pid, SIGTERM);
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
  const std::optional<Usage> usage = usage_of(r.pid);
  if (!usage) return;
  const double disk = disk_bytes(folder_of(relay) / "state");
  const double now = world_.now();
  world_.figures.used(now, relay, std::max(0.0, usage->cpu - r.cpu), usage->memory, usage->descriptors);
  r.cpu = usage->cpu;
  world_.oracles.processes.measured(now, relay, usage->memory, usage->descriptors, disk);
}

}  // namespace umberhoist::lab
