// A relay with one host and one discovery, and what an operator reads of it.
#pragma once

#include <map>
#include <string>

#include "peers.h"

namespace firspool::testing {

inline const char* const kFacts = "c=keyed,d=60000,k=5c0f6e1a2b3d4c59,dest=7";

inline std::string facts(const std::string& effect, int destination = 7, int life_ms = 60'000) {
  return "c=" + effect + ",d=" + std::to_string(life_ms) +
         ",k=5c0f6e1a2b3d4c59,dest=" + std::to_string(destination);
}

struct Stage {
  Host host;
  Discovery discovery;
  nlohmann::json config = config_json(discovery.address(), {member_json("s-1", host.address(), 7)});
  Program program{config};

  std::string put(const std::string& id, const std::string& what, const std::string& body = "body") {
    Socket client = program.client();
    client.send(put_bytes(id, what, body));
    return client.line();
  }
  void restart_killed() {
    program.kill();
    host.drop();
    program.start();
  }
};

inline std::string id_of(const Request& call) { return call.headers.at("x-call-id"); }

// What the operator reads, by name.
inline std::map<std::string, std::string> figures(const std::string& address) {
  Socket caller = Socket::connect(address);
  caller.send("METRICS\n");
  EXPECT_EQ(caller.line(), "OK");
  std::map<std::string, std::string> out;
  std::string line = caller.line();
  for (; !line.empty() && line != "END"; line = caller.line()) {
    out[line.substr(0, line.find(' '))] = line.substr(line.find(' ') + 1);
  }
  EXPECT_EQ(line, "END");
  return out;
}

inline std::string asked(const std::string& address, const std::string& call) {
  Socket caller = Socket::connect(address);
  caller.send(call + "\n");
  return caller.line();
}

inline bool becomes(const std::string& address, const std::string& name, const std::string& value) {
  for (int left = kDeadlineMs / 10; left > 0; --left) {
    if (figures(address)[name] == value) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

}  // namespace firspool::testing
