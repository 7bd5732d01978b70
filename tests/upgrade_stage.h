// An upgrade as the platform plays it: two processes of the program on one folder and one listening socket.
#pragma once

#include <string>

#include "program_stage.h"

namespace firspool::testing {

struct Upgrade : Stage {
  Socket listener = Socket::listen();
  Host other;
  Program successor{config};

  // With a fleet: of this relay alone.
  explicit Upgrade(bool fleet = false) {
    config["operator"] = free_address();
    if (fleet) {
      const std::string at = free_address();
      config["settings"]["bounds"]["peers"] = true;
      config["fleet"] = {{"cluster", "test"},
                         {"bind", at},
                         {"period_ms", 50},
                         {"term_ms", 600},
                         {"peers", {{{"name", config["name"]}, {"address", at}, {"voter", true}}}}};
      changed = config;
    }
    discovery.tell(list_json(2, false, {member_json("s-2", other.address(), 8)}));
    program.inherit(listener);
    program.configure(config);
    program.start();
  }
  std::string old_address() const { return config["operator"]; }
  std::string new_address() const { return changed["operator"]; }
  void upgrade() {
    changed["operator"] = free_address();
    successor.share(program);
    successor.configure(changed);
    successor.start();
  }
  std::string hand_in(const std::string& id, const std::string& what) {
    Socket client = Socket::connect(listener.port());
    client.send(put_bytes(id, what));
    return client.line();
  }
  // A call that stays out: the old process has this to wait for, and does not end by itself.
  void keep_old_busy() {
    int64_t id = 2'000'000'000'000'000;
    while (hand_in(std::to_string(id), facts("unsafe")) != "+OK") ++id;  // its files may fail
    host.next();
  }
  nlohmann::json changed = config;
};

}  // namespace firspool::testing
