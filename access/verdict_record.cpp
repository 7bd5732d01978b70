#include "verdict_record.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "../fleet/decoding.h"

namespace umberhoist::access {
namespace {

using nlohmann::json;
using namespace fleet;

constexpr uint64_t kVersion = 1;
constexpr size_t kMostText = 64 * 1024;  // of a name

// [version, customer, [[id, digest]...], zones, kinds, [[budget, per_s]...], [[zone, kind, rank, limit]...]]:
// the ways that are allowed, by places in the lists before; a limit's is counted from 1, and 0 is none.
json whole_of(std::string_view bytes) {
  json out = from_cbor(bytes);
  require(decode_uint(at(out, 0)) == kVersion && out.size() == 7);
  return out;
}

std::string deciders_of(const json& whole, std::vector<Decider>& rules) {
  require(whole[2].is_array());
  for (const json& rule : whole[2])
    rules.push_back({decode_text(at(rule, 0), kMostId), decode_uint(at(rule, 1))});
  return decode_text(whole[1], kMostText);
}

int place(const json& list, uint64_t i, const std::vector<std::string>& names) {
  const auto it = std::ranges::find(names, decode_text(at(list, i), kMostText));
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

std::string packed(const Verdict& v, const Names& names) {
  json rules = json::array(), limits = json::array(), ways = json::array();
  std::map<int, uint64_t> limit_at;
  for (const Decider& rule : v.rules) rules.push_back({rule.id, rule.digest});
  for (const auto& limit : v.limits) {
    limits.push_back({limit->budget, limit->per_s});
    limit_at[limit->number] = limits.size();
  }
  const auto kinds = static_cast<size_t>(std::max(1, v.ways.kinds));
  for (size_t i = 0; i < v.ways.rules.size(); ++i) {
    const firspool::RouteRule& way = v.ways.rules[i];
    if (way.allowed)
      ways.push_back({i / kinds, i % kinds, static_cast<uint64_t>(way.rank),
                      way.limit_id < 0 ? 0 : limit_at.at(way.limit_id)});
  }
  return to_cbor({kVersion, v.customer, rules, names.zones, names.kinds, limits, ways});
}

std::shared_ptr<const Verdict> unpacked(std::string_view bytes, const Names& names, Limits& limits) {
  auto out = std::make_shared<Verdict>();
  out->record = bytes;
  out->ways.kinds = static_cast<int>(names.kinds.size());
  try {
    const json whole = whole_of(bytes);
    out->customer = deciders_of(whole, out->rules);
    require(whole[5].is_array() && whole[6].is_array());
    for (const json& limit : whole[5]) {
      require(at(limit, 1).is_number());
      out->limits.push_back(limits.recorded(decode_text(at(limit, 0), kMostText), limit[1].get<double>()));
    }
    std::vector<firspool::RouteRule> by(names.zones.size() * names.kinds.size(),
                                        firspool::RouteRule{false, 0, -1});
    for (const json& way : whole[6]) {
      const int zone = place(whole[3], decode_uint(at(way, 0)), names.zones);
      const int kind = place(whole[4], decode_uint(at(way, 1)), names.kinds);
      const uint64_t rank = decode_uint(at(way, 2)), limit = decode_uint(at(way, 3));
      require(rank <= 1 && limit <= out->limits.size());
      if (zone < 0 || kind < 0) continue;
      by[static_cast<size_t>(zone) * names.kinds.size() + static_cast<size_t>(kind)] = {
          true, static_cast<int>(rank), limit == 0 ? -1 : out->limits[limit - 1]->number};
    }
    out->ways.rules = std::move(by);
  } catch (const DecodeError&) {
    out->ways.rules.clear();  // nothing is allowed
  }
  return out;
}

bool read_deciders(std::string_view bytes, std::string& customer, std::vector<Decider>& rules) {
  try {
    customer = deciders_of(whole_of(bytes), rules);
    return true;
  } catch (const DecodeError&) {
    return false;
  }
}

}  // namespace umberhoist::access
