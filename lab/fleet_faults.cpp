// What faults do to relays: signals, a full disk, and what becomes of a folder before the next start.
#include <sys/resource.h>

#include <csignal>
#include <fstream>

#include "fleet.h"
#include "process.h"

namespace umberhoist::lab {

namespace fs = std::filesystem;

namespace {

constexpr double kNextSignal = 0.04;  // seconds

}  // namespace

void Fleet::kill(int relay, double down_s, const std::string& folder) {
  Relay& r = of(relay);
  if (r.pid <= 0 || r.state == State::kDown || r.state == State::kEnding) return;
  world_.oracles.down(world_.now(), relay);
  world_.parts.serving(world_.now(), relay, false);
  r.state = State::kDown;
  r.again = down_s;
  r.folder = folder;
  if (went) went(relay);
  ::kill(r.pid, SIGKILL);
}

void Fleet::term(int relay, double down_s, const std::string& folder, int signals) {
  Relay& r = of(relay);
  if (r.state != State::kUp) return;
  world_.oracles.down(world_.now(), relay);
  world_.parts.serving(world_.now(), relay, false);
  r.state = State::kEnding;
  r.term_at = world_.now();
  r.again = down_s;
  r.folder = folder;
  if (went) went(relay);
  ::kill(r.pid, SIGTERM);
  for (int i = 1; i < signals; ++i) {
    world_.after(kNextSignal * i, [this, relay, pid = r.pid] {
      if (of(relay).pid == pid) ::kill(pid, SIGTERM);
    });
  }
}

void Fleet::reload(int relay) {
  const Relay& r = of(relay);
  if (r.pid > 0 && r.state != State::kStarting) ::kill(r.pid, SIGHUP);
}

void Fleet::pause(int relay, double lasts) {
  Relay& r = of(relay);
  if (r.state != State::kUp) return;
  world_.oracles.down(world_.now(), relay);
  world_.parts.serving(world_.now(), relay, false);
  r.state = State::kStopped;
  if (went) went(relay);
  ::kill(r.pid, SIGSTOP);
  world_.after(lasts, [this, relay, pid = r.pid] {
    Relay& woken = of(relay);
    if (woken.pid != pid || woken.state != State::kStopped) return;
    ::kill(pid, SIGCONT);
    woken.state = State::kUp;
    world_.oracles.ready(world_.now(), relay);
    world_.parts.serving(world_.now(), relay, true);
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
    world_.parts.emptied(world_.now(), relay);
    if (lost) lost(relay);
  } else if (how == "torn") {
    // A last write that came through in part only: the first bytes of what the file held before, cut short.
    for (const auto& file : fs::directory_iterator(state)) {
      if (!file.is_regular_file() || file.file_size() == 0) continue;
      const size_t most = std::min<size_t>(40, file.file_size());
      const auto length = std::uniform_int_distribution<size_t>(1, most)(world_.chance);
      const std::string name = file.path().filename().string();
      const bool framed = name == "policy.records" || name == "access.parts" || name.starts_with("feeds.");
      std::string tail =
          slurp(file.path()).substr(framed ? 0 : file.file_size() - most, framed ? length % 20 + 1 : length);
      std::ofstream(file.path(), std::ios::binary | std::ios::app) << tail;
    }
  }
}

}  // namespace umberhoist::lab
