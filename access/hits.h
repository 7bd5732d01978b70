// How many messages each rule decided: counts that only grow.
//
// A rule is known by customer, id and digest of its text, so relays need not agree on when it began. Bounds:
// the rules in force, and of older ones as many again, kMostOlder at least: which of these stay is decided
// by their digests alone, so that relays that have heard the same keep the same. What is dropped is counted
// in dropped(). A rule that was dropped and comes back counts from 0.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rules.h"
#include "verdict.h"

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

using Keys = std::set<RuleKey>;
Keys keys_of(const Rules& rules);  // those in force, defaults too

class Counts {
 public:
  static constexpr size_t kMostOlder = 100;
  using Map = std::unordered_map<RuleKey, uint64_t, RuleKey::Hash>;

  // A message that these decided.
  void add(const std::string& customer, const std::vector<Decider>& rules);
  // It was not taken on after all; only right after its add().
  void take_back(const std::string& customer, const std::vector<Decider>& rules);

  // Another's, which counted other messages, besides these.
  void plus(const Counts& other);
  // Another's, which counted the same messages as far as it knew: of each rule the larger.
  void larger(const RuleKey& key, uint64_t count);
  void larger_total(uint64_t total) { total_ = std::max(total_, total); }

  // Drops what is above the bound.
  void keep(const Keys& in_force);

  uint64_t of(const RuleKey& key) const;
  const Map& by_rule() const { return by_rule_; }
  uint64_t total() const { return total_; }  // hits ever counted, dropped ones too: never falls
  uint64_t dropped() const { return dropped_; }
  uint64_t digest() const { return digest_; }  // of the counts by rule: equal ones have equal digests
  size_t bytes() const { return bytes_; }      // at most, as packed
  bool empty() const { return total_ == 0; }
  bool operator==(const Counts& other) const { return total_ == other.total_ && by_rule_ == other.by_rule_; }

  // CBOR, and back. Throws fleet::Bad on what is not it.
  std::string packed() const;
  static Counts unpacked(std::string_view bytes);

 private:
  void set(const RuleKey& key, uint64_t count);

  Map by_rule_;
  uint64_t total_ = 0;
  uint64_t dropped_ = 0;
  uint64_t digest_ = 0;
  size_t bytes_ = 32;
};

}  // namespace umberhoist::access
