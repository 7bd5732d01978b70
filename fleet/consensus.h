// A replicated log among a few servers: the core of C-Raft (Ongaro, Ousterhout, 2014: "In Search of an
// Understandable Consensus Algorithm", with pre-vote) on a raft_io that itself has no disk, network, clock or
// source of randomness.
//
// Contract: the host carries out its calls in order; a record must be durable before any later message is
// sent and before any later command is acted upon. The host may crash between any two of them.
// apply_command() is called in the log's order, once per incarnation for each command; after a restart the
// host's state is that of restore(), or empty, followed by the later commands.
//
// Bounds: after `snapshot_threshold` entries a snapshot of the host's state replaces the log, of which the
// last `snapshot_trailing` entries are kept. Errors: a malformed record throws DecodeError; a failure of
// C-Raft stops this server until the object is created anew (failure() says why).
#pragma once

extern "C" {
#include <raft.h>
}

#include <deque>
#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "decoding.h"
#include "state_machine.h"

namespace umberhoist::fleet {

class Consensus {
 public:
  struct Server {
    uint64_t id = 0;  // above 0
    std::string name;
    int role = RAFT_VOTER;
    bool operator==(const Server&) const = default;
  };
  struct Settings {
    uint64_t id = 0;
    std::string name;
    Time election_timeout = 750 * kMs;  // the minimum; C-Raft draws a value of up to twice as much
    Time heartbeat_interval = 250 * kMs;
    unsigned snapshot_threshold = 16;  // entries
    unsigned snapshot_trailing = 4;    // entries
  };
  class Host {
   public:
    virtual void append_record(nlohmann::json record) = 0;
    virtual void rewrite_records() = 0;  // records() replaces all records written before
    virtual void send_message(const std::string& to, nlohmann::json message) = 0;
    virtual void apply_command(std::string_view command) = 0;
    virtual std::string state() const = 0;
    virtual void restore(std::string_view state) = 0;

   protected:
    ~Host() = default;
  };

  // Raft's state on disk.
  struct PersistentState {
    struct Entry {
      uint64_t term = 0;
      unsigned type = RAFT_COMMAND;
      std::string bytes;
    };
    struct Snapshot {
      uint64_t index = 0;
      uint64_t term = 0;
      uint64_t configuration_index = 0;
      std::vector<Server> servers;
      std::string bytes;
    };
    uint64_t term = 0;
    uint64_t vote = 0;
    std::optional<Snapshot> snapshot;
    uint64_t first_index = 1;  // of the first entry
    std::deque<Entry> entries;

    // The initial state, the same at each of these servers.
    static PersistentState bootstrap(const std::vector<Server>& servers);
    // Returns false if the record is not one of Raft's.
    bool apply_record(const nlohmann::json& record);
    std::vector<nlohmann::json> records() const;
  };

  Consensus(Settings settings, Host& host, PersistentState state, uint64_t seed);
  ~Consensus();
  Consensus(const Consensus&) = delete;

  void start(Time now);
  void on_message(Time now, const nlohmann::json& message);
  void on_timer(Time now);
  Time next_wakeup() const { return next_wakeup_; }

  uint64_t id() const { return settings_.id; }
  bool is_leader() const;
  uint64_t term() const { return raft_.current_term; }
  std::string leader() const;  // empty: not known
  std::vector<Server> servers() const;
  const std::string& failure() const { return failure_; }  // empty: none
  std::vector<nlohmann::json> records() const { return persistent_state_.records(); }
  // Hash of the state that determines its behaviour, with times relative to now.
  uint64_t fingerprint(Time now) const;

  // For a leader only; false if it does not lead, or if another membership change is under way.
  bool propose(const std::string& command);
  bool add_server(const Server& server);  // receives the log, and votes only after promote_server()
  bool promote_server(uint64_t id);
  bool remove_server(uint64_t id);
  void transfer_leadership();  // to another voter

 private:
  struct RaftAdapter;  // the functions of raft_io and raft_fsm
  friend struct RaftAdapter;

  void run_deferred();  // the host has carried out its calls: completes C-Raft's requests
  void defer(std::function<void()> call) { deferred_.push_back(std::move(call)); }
  raft_message decode_message(const nlohmann::json& from, std::string& address) const;
  nlohmann::json encode_message(const raft_message& message) const;
  bool change_membership(const std::function<int(raft_change*)>& begin);
  static void on_membership_changed(raft_change* request, int status);

  Settings settings_;
  Host& host_;
  PersistentState persistent_state_;
  mutable pcg32 rng_;
  Time now_ = 0;
  Time next_wakeup_ = kNever;
  std::vector<std::function<void()>> deferred_;
  std::string failure_;
  bool started_ = false;
  bool membership_change_pending_ = false;
  raft_io io_ = {};
  raft_fsm fsm_ = {};
  raft raft_ = {};
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb recv_ = nullptr;
};

}  // namespace umberhoist::fleet
