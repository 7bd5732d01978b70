// The project's relay as a process of its own, started by the command of the deploy file, and its clients.
#pragma once

#include <sys/types.h>

#include <map>

#include "net.h"

namespace review {

struct Settings {
  std::string categories;  // JSON, the list's items
  std::string realms = "{\"name\":\"acme\",\"quota_per_s\":100}";
  int siblings = 2;
  int me = 0;
  int calls_out = 38;
  double order_pause_s = 0;  // 0: there is none
  std::vector<std::string> azs = {"lj-dc1"};
  int zone = 0;        // the relay's own, among them
  bool peers = false;  // relays may talk
  std::string json() const;
};

class Relay {
 public:
  // From the environment: ROOT, the project's folder; RUN, the deploy file's command.
  Relay(Record& record, std::string name, const std::string& discovery, const std::string& known,
        const Settings& settings);
  ~Relay();

  // Listens for it, so that two processes can serve at one address, and hands the socket on from now on.
  void inherit();
  void start();  // and waits until it serves: +PONG to PING
  void signal(int number);
  // A further process on the same folder and socket, beside the one that serves; a second address for
  // staff is its own. start() and signal() are the newest process's from then on.
  void start_successor(int staff_port);
  // SIGKILL to the successor. start() and signal() are the process's before it again.
  void lose_successor();
  // What staff's address says to a call; "" where nobody answers.
  static std::string ask(int staff_port, const std::string& call);
  static std::string ask_all(int staff_port, const std::string& call);  // all lines of it
  int wait();              // its exit status; minus the signal that ended it
  bool ended_by_itself();  // with how recorded
  void kill_at_once();     // SIGKILL, and waits
  // Further sections of its configuration, as members of a JSON object.
  void extend(const std::string& members) { more_ = "," + members; }
  std::string write_file(
      const std::string& name) const;  // its configuration, beside the file in use; its path
  // The file is replaced, and SIGHUP sent.
  void move_discovery(const std::string& address);
  // What the next start is told as `known`, and as its settings.
  void know(const std::string& list) { known_ = list; }
  void configure(const Settings& settings) { settings_ = settings.json(); }
  int port() const { return port_; }
  std::string log_text() const;

 private:
  std::string seed() const;
  std::string config() const;
  void write_config() const;
  void launch(int staff_port);

  Record& record_;
  const std::string name_;
  std::string discovery_;
  std::string known_;
  std::string settings_;
  std::string more_;
  std::string folder_;
  const int port_;
  Socket listener_;
  pid_t child_ = -1;
  pid_t before_ = -1;  // the process that it takes over from
  int starts_ = 0;     // each has a seed of its own
};

struct Put {
  std::string id;
  std::string message_class;
  int dest = 0;
  int life_ms = 28000;
  std::string key;  // idempotency key
  std::string sequence = "0000000000000000";
  std::string body = "a charging session";
};

std::string put_bytes(const Put& put);
// The relay's answer; "" where the connection is refused, ends, or nothing comes within 400 ms.
std::string hand_in(Record& record, int port, const Put& put);
std::string hex_id(unsigned long number);

}  // namespace review
