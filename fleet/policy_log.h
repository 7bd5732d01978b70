// What the replicated log says of the fleet's policy: which version is in force, which change is under way,
// how earlier ones ended. Each voter applies the same commands in the same order and comes to the same state;
// nothing else decides.
//
// Rules: at most one change is under way; one is taken up only on the version that it was made for; an id
// that ended, in whatever way, never begins again; of an abort and a decision the earlier in the log holds.
// Bounds: the last kMostOutcomes ends and the texts of the last kMostTexts versions are kept.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>

#include "decoding.h"

namespace umberhoist::fleet {

constexpr size_t kMostPolicy = 64 * 1024 - 1;  // bytes of its text
constexpr size_t kMostId = 64;
constexpr size_t kMostReason = 240;

uint64_t digest_of(std::string_view text);

struct Outcome {
  enum class What : uint8_t { kInForce, kAborted, kRefused };
  std::string id;
  What what = What::kInForce;
  uint64_t version = 0;  // that it became
  std::string by;        // who said no, aborted it, or handed it in
  std::string reason;
  uint64_t wall_ms = 0;  // when it was handed in; for people only
  bool operator==(const Outcome&) const = default;
};
constexpr const char* kOutcomeNames[] = {"in_force", "aborted", "refused"};

struct Change {
  std::string id;
  std::string by;     // the relay at which it was proposed
  uint64_t base = 0;  // the version that it is made for
  std::string text;
  uint64_t wall_ms = 0;
};

nlohmann::json packed(const Outcome& outcome);
Outcome outcome_of(const nlohmann::json& from);  // throws Bad

class PolicyLog {
 public:
  static constexpr size_t kMostOutcomes = 64;
  static constexpr size_t kMostTexts = 4;

  // Commands.
  static std::string reign(uint64_t term, const std::string& leader);
  static std::string first(const std::string& text, const std::vector<std::string>& voters);
  static std::string propose(const Change& change);
  static std::string decide(const std::string& id);
  static std::string abort(const std::string& id, const std::string& by, const std::string& reason);
  static std::string replace(const std::string& old, const std::string& fresh);  // a voter

  void apply(std::string_view command);  // one that does not read changes nothing
  std::string state() const;
  void restore(std::string_view state);  // throws Bad

  uint64_t version() const { return version_; }  // 0: none yet
  const std::string& text() const { return texts_.empty() ? none_ : texts_.back(); }
  const std::deque<std::string>& texts() const { return texts_; }  // the last is in force
  const std::string& id() const { return id_; }
  const std::optional<Change>& change() const { return change_; }
  const std::deque<Outcome>& outcomes() const { return outcomes_; }  // the newest last
  uint64_t ended() const { return ended_; }                          // how many there ever were
  uint64_t reign_term() const { return reign_; }
  const std::set<std::string>& voters() const { return voters_; }  // as they should be
  bool knows(const std::string& id) const;

 private:
  void end(Outcome outcome);

  uint64_t version_ = 0;
  std::string id_;
  std::deque<std::string> texts_;
  std::optional<Change> change_;
  std::deque<Outcome> outcomes_;
  uint64_t ended_ = 0;
  uint64_t reign_ = 0;
  std::set<std::string> voters_;
  std::string none_;
};

}  // namespace umberhoist::fleet
