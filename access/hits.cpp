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

constexpr size_t kMostText = 64 * 1024;

uint64_t hash_of(const RuleKey& key, uint64_t count) {
  const uint64_t names =
      XXH64(key.customer.data(), key.customer.size(), XXH64(key.id.data(), key.id.size(), key.digest));
  return XXH64(&count, sizeof count, names);
}

}  // namespace

Keys keys_of(const Rules& rules) {
  Keys out;
  for (const Customer& c : rules.customers) {
    for (const Rule& r : c.rules) out.insert({c.name, r.id, r.digest});
  }
  return out;
}

void Counts::set(const RuleKey& key, uint64_t count) {
  const auto it = by_rule_.find(key);
  if (it != by_rule_.end()) digest_ -= hash_of(key, it->second);
  const size_t room = key.customer.size() + key.id.size() + 40;
  if (count == 0) {
    if (it != by_rule_.end()) {
      bytes_ -= room;
      by_rule_.erase(it);
    }
    return;
  }
  if (it == by_rule_.end()) bytes_ += room;
  digest_ += hash_of(key, count);
  by_rule_[key] = count;
}

void Counts::add(const std::string& customer, const std::vector<Decider>& rules) {
  for (const Decider& rule : rules) {
    const RuleKey key{customer, rule.id, rule.digest};
    set(key, of(key) + 1);
    ++total_;
  }
}

void Counts::take_back(const std::string& customer, const std::vector<Decider>& rules) {
  for (const Decider& rule : rules) {
    const RuleKey key{customer, rule.id, rule.digest};
    set(key, of(key) - 1);
    --total_;
  }
}

void Counts::plus(const Counts& other) {
  for (const auto& [key, count] : other.by_rule_) set(key, of(key) + count);
  total_ += other.total_;
  dropped_ += other.dropped_;
}

void Counts::larger(const RuleKey& key, uint64_t count) {
  if (count > of(key)) set(key, count);
}

void Counts::keep(const Keys& in_force) {
  const size_t most = std::max(kMostOlder, in_force.size());
  if (by_rule_.size() <= most) return;
  std::map<std::pair<uint64_t, RuleKey>, uint64_t> older;
  for (const auto& [key, count] : by_rule_) {
    if (!in_force.contains(key)) older.insert({{hash_of(key, 0), key}, count});
  }
  while (older.size() > most) {
    const auto last = std::prev(older.end());
    dropped_ += last->second;
    set(last->first.second, 0);
    older.erase(last);
  }
}

uint64_t Counts::of(const RuleKey& key) const {
  const auto it = by_rule_.find(key);
  return it == by_rule_.end() ? 0 : it->second;
}

// [total, dropped, {customer: [[id, digest, count]...]}]
std::string Counts::packed() const {
  json rules = json::object();
  for (const auto& [key, count] : by_rule_) rules[key.customer].push_back({key.id, key.digest, count});
  return to_cbor({total_, dropped_, rules});
}

Counts Counts::unpacked(std::string_view bytes) {
  const json whole = from_cbor(bytes);
  Counts out;
  require(whole.is_array() && whole.size() == 3 && whole[2].is_object());
  for (const auto& [customer, rules] : whole[2].items()) {
    require(rules.is_array());
    for (const json& rule : rules) {
      const RuleKey key{customer, decode_text(at(rule, 0), kMostText), decode_uint(at(rule, 1))};
      require(decode_uint(at(rule, 2)) > 0);
      out.set(key, rule[2].get<uint64_t>());
    }
  }
  out.total_ = decode_uint(whole[0]);
  out.dropped_ = decode_uint(whole[1]);
  return out;
}

}  // namespace umberhoist::access
