// What relays say to each other of the fleet's policy: who founded it, a relay's renewal, the leader's grant.
// Each is packed and read in one place, its fields in one order; a new one goes to the end of both.
//
// Errors: of() throws Bad where a field is missing or past its bound, and gives nothing.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decoding.h"
#include "policy_log.h"
#include "state_machine.h"

namespace umberhoist::fleet {

constexpr size_t kMostWaiting = 32;  // names in a grant, but for one more that counts the others

struct Founding {  // a message, and a record of each folder
  uint64_t id = 0;
  std::vector<std::pair<std::string, uint64_t>> voters;  // with their folders' numbers
  nlohmann::json record() const;
  static Founding of(const nlohmann::json& record);
};

struct Renew {
  std::string origin;                      // whose it is
  std::string via;                         // who passes it on; empty: nobody
  uint64_t life = 0, nonce = 0;            // of its process, and of its folder
  uint64_t number = 0;                     // the answer has it again
  std::string program;                     // its version, for people
  uint64_t raft_term = 0;                  // of its log; 0: it has none
  uint64_t echo_term = 0, echo_stamp = 0;  // what it heard of the leader last
  uint64_t version = 0, digest = 0;        // of the policy that it holds
  std::string cannot;                      // why the version in force cannot be held there
  std::string answer, no;                  // to which change, and why not; empty: yes
  bool leaving = false;
  uint64_t ended = 0;  // so many changes' ends it has heard of
  nlohmann::json ask;  // of its staff; null: nothing
  std::string ride;    // of its rider; empty: nothing, and not in the message

  nlohmann::json packed() const;
  static Renew of(const nlohmann::json& from);
};

struct Grant {
  std::string leader, via, to;
  uint64_t founding = 0;             // travels in the message's head, not among its fields
  uint64_t life = 0, number = 0;     // of the renewal
  uint64_t term = 0, stamp = 0;      // of the leader: its reign, and its clock
  Time lease = 0;                    // from when the renewal was sent; 0: none
  uint64_t version = 0, digest = 0;  // in force
  std::string id;
  std::optional<std::string> text;  // where the relay has another
  std::optional<Change> change;     // its text is empty where the relay has answered
  bool change_text = false;
  std::string busy;  // proposed to the log, not in it yet
  uint64_t ended = 0;
  std::deque<Outcome> outcomes;  // the last of them
  std::set<std::string> voters;
  std::vector<std::pair<std::string, std::string>> waiting;  // for whom, and why
  std::string ride;  // to its rider; empty: nothing, and not in the message

  nlohmann::json packed() const;
  static Grant of(const nlohmann::json& from);
};

}  // namespace umberhoist::fleet
