// A replicated log among a few servers: C-Raft's core (Ongaro, Ousterhout, 2014: "In Search of an
// Understandable Consensus Algorithm", with its pre-vote) over a raft_io without disk, network, clock or
// chance of its own.
//
// Contract: what is handed to the host goes out in the order in which it was handed; a record must be durable
// before anything that follows it is said to another or acted upon. The host may crash between any two.
// committed() is called in the log's order, once a life for each command; a host's state after a restart is
// that of restore(), or empty, and the commands after it.
//
// Bounds: the log is replaced by a snapshot of the host's state after `snapshot_after` entries, of which
// `trailing` are kept. Errors: a record that does not read throws Bad; C-Raft's own failures end this
// server's part until it is made anew (failed() says why).
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
    Time election = 750 * kMs;   // a follower waits so long for its leader, up to twice as long by chance
    Time heartbeat = 250 * kMs;  // of a leader
    unsigned snapshot_after = 16;
    unsigned trailing = 4;
  };
  class Host {
   public:
    virtual void record(nlohmann::json record) = 0;  // one more
    virtual void compacted() = 0;                    // records() replaces all of them
    virtual void carry(const std::string& to, nlohmann::json message) = 0;
    virtual void committed(std::string_view command) = 0;
    virtual std::string state() const = 0;
    virtual void restore(std::string_view state) = 0;

   protected:
    ~Host() = default;
  };

  // What stands on disk.
  struct Stored {
    struct Entry {
      uint64_t term = 0;
      unsigned type = RAFT_COMMAND;
      std::string bytes;
    };
    struct Snapshot {
      uint64_t index = 0;
      uint64_t term = 0;
      uint64_t servers_index = 0;
      std::vector<Server> servers;
      std::string bytes;
    };
    uint64_t term = 0;
    uint64_t vote = 0;
    std::optional<Snapshot> snapshot;
    uint64_t first = 1;  // index of the first entry
    std::deque<Entry> entries;

    // The beginning of a log, the same at each of these servers.
    static Stored founded(const std::vector<Server>& servers);
    // Answers whether the record is one of the log's.
    bool take(const nlohmann::json& record);
    std::vector<nlohmann::json> records() const;
  };

  Consensus(Settings settings, Host& host, Stored stored, uint64_t seed);
  ~Consensus();
  Consensus(const Consensus&) = delete;

  void start(Time now);
  void received(Time now, const nlohmann::json& message);
  void woke(Time now);
  Time next() const { return next_; }

  uint64_t id() const { return settings_.id; }
  bool leads() const;
  uint64_t term() const { return raft_.current_term; }
  std::string leader() const;  // as far as it is known
  std::vector<Server> servers() const;
  const std::string& failed() const { return failed_; }
  std::vector<nlohmann::json> records() const { return stored_.records(); }
  // All that decides what it does next, times counted from now.
  uint64_t fingerprint(Time now) const;

  // Of a leader only; false where it is none, or another change of the servers is under way.
  bool propose(const std::string& command);
  bool add(const Server& server);  // hears of the log's beginning first, and votes after promote()
  bool promote(uint64_t id);
  bool remove(uint64_t id);
  void transfer();  // to another voter

 private:
  struct Glue;  // raft_io's and raft_fsm's functions
  friend struct Glue;

  void finish();  // what was asked of the host is done by now: C-Raft hears so
  void later(std::function<void()> call) { later_.push_back(std::move(call)); }
  raft_message message_of(const nlohmann::json& from, std::string& address) const;
  nlohmann::json json_of(const raft_message& message) const;
  bool change(const std::function<int(raft_change*)>& begin);
  static void changed(raft_change* request, int status);

  Settings settings_;
  Host& host_;
  Stored stored_;
  mutable pcg32 chance_;
  Time now_ = 0;
  Time next_ = kNever;
  std::vector<std::function<void()>> later_;
  std::string failed_;
  bool started_ = false;
  bool changing_ = false;
  raft_io io_ = {};
  raft_fsm fsm_ = {};
  raft raft_ = {};
  raft_io_tick_cb tick_ = nullptr;
  raft_io_recv_cb recv_ = nullptr;
};

}  // namespace umberhoist::fleet
