// The state machine that is replicated by the fleet's Raft log: which policy version is in force, which
// change is under way, and how earlier changes ended. Each voter applies the same commands in the same order
// and so reaches the same state. No other state decides about the policy.
//
// Rules: at most one change is under way; a proposal is refused unless its base is the version in force; the
// id of a change that ended is never accepted again; where a change is both aborted and decided, the command
// that is earlier in the log wins.
// Bounds: the last kMaxOutcomes outcomes and the texts of the last kMaxTexts versions are kept.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "decoding.h"

namespace umberhoist::fleet {

constexpr size_t kMaxPolicyBytes = 64 * 1024 - 1;  // of a policy's text
constexpr size_t kMaxIdBytes = 64;
constexpr size_t kMaxReasonBytes = 240;

uint64_t digest_of(std::string_view text);

// How a change ended.
struct Outcome {
  enum class Result : uint8_t { kInForce, kAborted, kRefused };
  std::string id;
  Result result = Result::kInForce;
  uint64_t version = 0;  // the version that the change became; 0: none
  std::string relay;     // that rejected or aborted the change, or else proposed it
  std::string reason;
  uint64_t wall_ms = 0;  // wall-clock time of the proposal, for display only
  bool operator==(const Outcome&) const = default;
};
constexpr const char* kOutcomeNames[] = {"in_force", "aborted", "refused"};

struct Change {
  std::string id;
  std::string proposed_by;    // a relay
  uint64_t base_version = 0;  // the version that the change was made for
  std::string text;
  uint64_t wall_ms = 0;  // wall-clock time of the proposal, for display only
};

nlohmann::json encode(const Outcome& outcome);
Outcome decode_outcome(const nlohmann::json& from);  // throws DecodeError

class PolicyLog {
 public:
  static constexpr size_t kMaxOutcomes = 64;
  static constexpr size_t kMaxTexts = 4;

  // Commands for the log. Their names in the log: reign, first, propose, decide, abort, replace.
  static std::string start_leader_term(uint64_t term, const std::string& leader);
  static std::string initial_policy(const std::string& text, const std::vector<std::string>& voters);
  static std::string propose(const Change& change);
  static std::string decide(const std::string& id);
  static std::string abort(const std::string& id, const std::string& relay, const std::string& reason);
  static std::string replace_voter(const std::string& old_voter, const std::string& new_voter);

  void apply(std::string_view bytes);  // a malformed command changes nothing
  std::string state() const;
  void restore(std::string_view bytes);  // from state(); throws DecodeError

  uint64_t version() const { return version_; }  // 0: none yet
  const std::string& text() const { return texts_.empty() ? empty_text_ : texts_.back(); }
  const std::deque<std::string>& texts() const { return texts_; }  // the last is in force
  const std::string& id() const { return id_; }                    // of the change that is in force
  const std::optional<Change>& change() const { return change_; }
  const std::deque<Outcome>& outcomes() const { return outcomes_; }  // the newest last
  uint64_t ended_count() const { return ended_count_; }  // changes that ever ended, also those not kept
  uint64_t leader_term() const { return leader_term_; }
  const std::set<std::string>& voters() const { return voters_; }  // the wanted set; servers follow it
  bool knows(const std::string& id) const;

 private:
  void record_outcome(Outcome outcome);

  uint64_t version_ = 0;
  std::string id_;
  std::deque<std::string> texts_;
  std::optional<Change> change_;
  std::deque<Outcome> outcomes_;
  uint64_t ended_count_ = 0;
  uint64_t leader_term_ = 0;
  std::set<std::string> voters_;
  std::string empty_text_;
};

}  // namespace umberhoist::fleet
