// The relays as processes: started, signalled, watched and ended by id. Each has a folder, a configuration
// file and a log below the play's folder. Whatever happens to the lab, they end with it (PR_SET_PDEATHSIG).
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <nlohmann/json.hpp>

#include "discovery.h"
#include "network.h"

namespace umberhoist::lab {

class Fleet {
 public:
  Fleet(World& world, std::filesystem::path folder, std::string program,
        const std::vector<std::unique_ptr<Discovery>>& agents, PairNetwork* network);
  ~Fleet();  // ends what runs
  Fleet(const Fleet&) = delete;

  // Starts all but those that join later; calls back once these serve. Throws Unusable where the program
  // cannot be started.
  void start(std::function<void()> ready);

  // A relay's configuration, with the marker class of a generation of the policy where these are played.
  nlohmann::json config_of(int relay, int generation = 0) const;

  size_t size() const { return relays_.size(); }
  tcp::endpoint address(int relay) const { return relays_.at(static_cast<size_t>(relay)).listen; }
  const tcp::endpoint& second_address(int relay) const {
    return relays_.at(static_cast<size_t>(relay)).second;
  }
  bool serving(int relay) const { return relays_.at(static_cast<size_t>(relay)).state == State::kUp; }
  bool away(int relay) const { return !serving(relay); }

  void join(int relay);  // starts one that was not there from the start
  void kill(int relay, double down_s, const std::string& folder);
  // SIGTERM, so many times; SIGKILL follows if it does not end.
  void term(int relay, double down_s, const std::string& folder, int signals = 1);
  void reload(int relay);                   // SIGHUP
  void pause(int relay, double lasts);      // SIGSTOP, SIGCONT
  void fill_disk(int relay, double lasts);  // no file of it may grow

  // SIGTERM to all that run; calls back once none is left.
  void end(std::function<void()> ended);

  // The front: a relay serves again, is away, or lost what it held.
  std::function<void(int relay)> up;
  std::function<void(int relay)> went;
  std::function<void(int relay)> lost;

 private:
  enum class State { kDown, kStarting, kUp, kStopped, kEnding };
  struct Relay {
    State state = State::kDown;
    pid_t pid = -1;
    pid_t group = -1;
    tcp::endpoint listen;
    tcp::endpoint second;  // the operators'
    std::string program;
    bool there = false;  // it was started once
    double started = 0;
    double term_at = -1;          // SIGTERM was sent
    double again = -1;            // starts again so long after its end; -1: not
    std::string folder = "kept";  // and with which
    double cpu = 0;               // seconds, at the last look
  };

  std::filesystem::path folder_of(int relay) const;
  bool joins_later(int relay) const;
  void launch(int relay);
  void ask_to_end(int relay);
  void probe(int relay);
  bool open(int relay) const;
  void reap();
  void gone(int relay, int status);
  void prepare_folder(int relay, const std::string& how);
  void measure();
  void look(int relay);
  Relay& of(int relay) { return relays_.at(static_cast<size_t>(relay)); }

  World& world_;
  std::filesystem::path root_;
  const std::vector<std::unique_ptr<Discovery>>& agents_;
  PairNetwork* network_;
  std::vector<Relay> relays_;
  bool playing_ = false;
  bool ending_ = false;
  std::function<void()> all_ready_;
  std::function<void()> all_ended_;
  boost::asio::steady_timer reap_timer_;
  boost::asio::steady_timer measure_timer_;
};

}  // namespace umberhoist::lab
