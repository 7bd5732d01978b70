// Hit counts: how many messages each rule decided.
//
// A rule is identified by its customer, its id and the digest of its text, so relays need not agree on when a
// version of a rule came into force. Beside the rules in force, counts are kept for as many retired rules, or
// for kMinRetiredRules if that is more. Which retired rules are kept depends only on their keys, so relays
// that have received the same counts keep the same ones. Hits that are dropped
// with them are added to dropped(); a dropped rule that comes back counts from 0.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision.h"
#include "rules.h"

namespace umberhoist::access {

struct RuleKey {
  std::string customer;
  std::string id;
  uint64_t digest = 0;
  auto operator<=>(const RuleKey&) const = default;
  struct Hash {
    size_t operator()(const RuleKey& key) const {
      return key.digest ^ std::hash<std::string>{}(key.customer);
    }
  };
};

using RuleKeys = std::set<RuleKey>;
RuleKeys rule_keys(const Rules& rules);  // of all rules, the defaults included

class HitCounts {
 public:
  static constexpr size_t kMinRetiredRules = 100;
  using Map = std::unordered_map<RuleKey, uint64_t, RuleKey::Hash>;

  // Counts one message that these rules decided.
  void add(const std::string& customer, const std::vector<DecidingRule>& rules);
  // Reverts add() for a message that could not be stored. Must follow its add() immediately.
  void undo_add(const std::string& customer, const std::vector<DecidingRule>& rules);

  // Adds counts of other messages.
  void add_all(const HitCounts& other);
  // Merges a count of the same messages: the larger value is kept.
  void raise(const RuleKey& key, uint64_t count);
  void raise_total(uint64_t total) { total_ = std::max(total_, total); }

  // Drops counts of retired rules above the bound.
  void prune(const RuleKeys& in_force);

  uint64_t count_of(const RuleKey& key) const;
  const Map& by_rule() const { return by_rule_; }
  uint64_t total() const { return total_; }  // of all hits, dropped ones included: never decreases
  uint64_t dropped() const { return dropped_; }
  uint64_t digest() const { return digest_; }  // of the counts by rule, independent of their order
  size_t max_encoded_bytes() const { return max_encoded_bytes_; }  // upper bound of the length of encode()
  bool empty() const { return total_ == 0; }
  bool operator==(const HitCounts& other) const {
    return total_ == other.total_ && by_rule_ == other.by_rule_;
  }

  // CBOR. decode() throws fleet::DecodeError if the bytes are malformed.
  std::string encode() const;
  static HitCounts decode(std::string_view bytes);

 private:
  void set(const RuleKey& key, uint64_t count);

  Map by_rule_;
  uint64_t total_ = 0;
  uint64_t dropped_ = 0;
  uint64_t digest_ = 0;
  size_t max_encoded_bytes_ = 32;
};

}  // namespace umberhoist::access
