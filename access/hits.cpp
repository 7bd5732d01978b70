#include "hits.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "../fleet/decoding.h"

namespace umberhoist::access {
namespace {

using nlohmann::json;
using namespace fleet;

constexpr size_t kMaxTextBytes = 64 * 1024;

// Also orders retired rules (with a count of 0), so that relays drop the same ones.
uint64_t hash_of(const RuleKey& key, uint64_t count) {
  const uint64_t names =
      XXH64(key.customer.data(), key.customer.size(), XXH64(key.id.data(), key.id.size(), key.digest));
  return XXH64(&count, sizeof count, names);
}

}  // namespace

RuleKeys rule_keys(const Rules& rules) {
  RuleKeys out;
  for (const Customer& c : rules.customers) {
    for (const Rule& r : c.rules) out.insert({c.name, r.id, r.digest});
  }
  return out;
}

void HitCounts::set(const RuleKey& key, uint64_t count) {
  const auto it = by_rule_.find(key);
  if (it != by_rule_.end()) digest_ -= hash_of(key, it->second);
  const size_t encoded_bytes = key.customer.size() + key.id.size() + 40;
  if (count == 0) {
    if (it != by_rule_.end()) {
      max_encoded_bytes_ -= encoded_bytes;
      by_rule_.erase(it);
    }
    return;
  }
  if (it == by_rule_.end()) max_encoded_bytes_ += encoded_bytes;
  digest_ += hash_of(key, count);
  by_rule_[key] = count;
}

void HitCounts::add(const std::string& customer, const std::vector<DecidingRule>& rules) {
  for (const DecidingRule& rule : rules) {
    const RuleKey key{customer, rule.id, rule.digest};
    set(key, count_of(key) + 1);
    ++total_;
  }
}

void HitCounts::undo_add(const std::string& customer, const std::vector<DecidingRule>& rules) {
  for (const DecidingRule& rule : rules) {
    const RuleKey key{customer, rule.id, rule.digest};
    set(key, count_of(key) - 1);
    --total_;
  }
}

void HitCounts::add_all(const HitCounts& other) {
  for (const auto& [key, count] : other.by_rule_) set(key, count_of(key) + count);
  total_ += other.total_;
  dropped_ += other.dropped_;
}

void HitCounts::raise(const RuleKey& key, uint64_t count) {
  if (count > count_of(key)) set(key, count);
}

void HitCounts::prune(const RuleKeys& in_force) {
  const size_t limit = std::max(kMinRetiredRules, in_force.size());
  if (by_rule_.size() <= limit) return;
  std::map<std::pair<uint64_t, RuleKey>, uint64_t> retired;
  for (const auto& [key, count] : by_rule_) {
    if (!in_force.contains(key)) retired.insert({{hash_of(key, 0), key}, count});
  }
  while (retired.size() > limit) {
    const auto last = std::prev(retired.end());
    dropped_ += last->second;
    set(last->first.second, 0);
    retired.erase(last);
  }
}

uint64_t HitCounts::count_of(const RuleKey& key) const {
  const auto it = by_rule_.find(key);
  return it == by_rule_.end() ? 0 : it->second;
}

// [total, dropped, {customer: [[id, digest, count]...]}]
std::string HitCounts::encode() const {
  json rules = json::object();
  for (const auto& [key, count] : by_rule_) rules[key.customer].push_back({key.id, key.digest, count});
  return to_cbor({total_, dropped_, rules});
}

HitCounts HitCounts::decode(std::string_view bytes) {
  const json root = from_cbor(bytes);
  HitCounts out;
  require(root.is_array() && root.size() == 3 && root[2].is_object());
  for (const auto& [customer, rules] : root[2].items()) {
    require(rules.is_array());
    for (const json& rule : rules) {
      const RuleKey key{customer, decode_text(at(rule, 0), kMaxTextBytes), decode_uint(at(rule, 1))};
      require(decode_uint(at(rule, 2)) > 0);
      out.set(key, rule[2].get<uint64_t>());
    }
  }
  out.total_ = decode_uint(root[0]);
  out.dropped_ = decode_uint(root[1]);
  return out;
}

}  // namespace umberhoist::access
