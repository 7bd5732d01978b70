// Messages of the policy agreement: the bootstrap, a relay's lease renewal and the leader's grant. Each is
// encoded and decoded in one place with its fields in the same order; new fields are appended to both.
//
// Errors: the decoding functions throw DecodeError where a field is missing or exceeds its bound.
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

constexpr size_t kMaxWaitingFor = 32;  // names in a grant, without the last entry that counts the others

// The first formation of the log. A message (its kind: founded) and a record in each folder (founding).
struct Bootstrap {
  uint64_t id = 0;
  std::vector<std::pair<std::string, uint64_t>> voters;  // names and folder ids
  nlohmann::json to_record() const;
  static Bootstrap from_record(const nlohmann::json& record);
};

// Message kind: renew.
struct LeaseRenewal {
  std::string origin;                          // the relay that asks for a lease
  std::string via;                             // the voter that forwards the message; empty: none
  uint64_t incarnation = 0, folder_id = 0;     // of the process, and of its folder
  uint64_t number = 0;                         // repeated in the grant
  std::string program_version;                 // for display only
  uint64_t raft_term = 0;                      // of its log; 0: it has none
  uint64_t echo_term = 0, echo_timestamp = 0;  // of the last grant that it received
  uint64_t version = 0, digest = 0;            // of the policy that it has applied
  std::string unsupported_reason;              // why it cannot apply the version in force; empty: it can
  std::string answered_change_id, rejection_reason;  // its answer to a change; no reason: accepted
  bool leaving = false;
  uint64_t ended_count = 0;  // ended changes that it knows of
  nlohmann::json request;    // of its operator; null: none
  std::string piggyback;     // empty: none, and not in the message

  nlohmann::json encode() const;
  static LeaseRenewal decode(const nlohmann::json& from);
};

// Message kind: grant.
struct LeaseGrant {
  std::string leader, via, to;
  uint64_t bootstrap_id = 0;                // sent in the message's header, not among its fields
  uint64_t incarnation = 0, number = 0;     // of the renewal
  uint64_t leader_term = 0, timestamp = 0;  // the leader's Raft term, and its clock
  Time lease_duration = 0;                  // counted from when the renewal was sent; 0: no lease
  uint64_t version = 0, digest = 0;         // of the policy in force
  std::string id;                           // of the change that is in force
  std::optional<std::string> text;          // of the policy in force, if the relay has another
  std::optional<Change> change;             // under way; without its text if the relay has answered
  bool has_change_text = false;
  std::string pending_change_id;  // proposed to the log and not committed yet
  uint64_t ended_count = 0;
  std::deque<Outcome> outcomes;  // those that the relay has not seen, as far as they are kept
  std::set<std::string> voters;
  std::vector<std::pair<std::string, std::string>> waiting_for;  // relays, and why
  std::string piggyback;                                         // empty: none, and not in the message

  nlohmann::json encode() const;
  static LeaseGrant decode(const nlohmann::json& from);
};

}  // namespace umberhoist::fleet
