// The platform's stand-ins by PROTOCOL: endpoints, and discovery as the agent on the relay's machine.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "net.h"

namespace review {

struct Call {
  Clock::time_point first_byte;
  Clock::time_point last_byte;
  std::string id;
  std::string key;
  std::string body;
};

// What comes back, whole; nothing: the connection is reset. It is asked for in the call's own thread, and
// may take its time there.
using Answer = std::function<std::optional<std::string>(const Call&)>;

std::string answer_text(const std::string& status, const std::string& headers = "");

class Endpoint {
 public:
  Endpoint(Record& record, std::string name, Answer answer);
  std::string address() const { return server_.address(); }
  std::vector<Call> calls() const;
  void stop() { server_.stop(); }

 private:
  void serve(Socket& socket);

  Record& record_;
  const std::string name_;
  const Answer answer_;
  mutable std::mutex mutex_;
  std::vector<Call> calls_;
  Server server_;
};

struct Entry {
  std::string id;
  std::string address;
  int cell = 0;
  std::string phase = "active";
  double size = 50;  // calls a second that its destination takes from all relays together
  std::string zone = "lj-dc1";
  std::string json() const;
};

struct Notice {
  Clock::time_point at;
  std::string line;
};

class Discovery {
 public:
  Discovery(Record& record, int revision, std::vector<Entry> entries);
  ~Discovery();
  std::string address() const { return server_.address(); }
  std::string known() const;                    // the whole list as JSON
  Clock::time_point tell(const Entry& change);  // to all watches; when it was written
  void stop() { server_.stop(); }               // refuses connections, and ends those that there are
  void down(bool on);                           // silent, but for notices
  std::vector<Notice> notices() const;

 private:
  struct Watch {
    std::deque<std::string> lines;
  };

  void serve(Socket& socket);
  void watch(Socket& socket, long index);
  void finals(Socket& socket, const std::string& body);
  std::string list(long after) const;

  Record& record_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  long revision_;
  std::vector<std::pair<long, Entry>> entries_;  // with the revision that told it last
  bool down_ = false;
  bool over_ = false;
  std::set<Watch*> watches_;
  std::vector<Notice> notices_;
  Server server_;
};

}  // namespace review
