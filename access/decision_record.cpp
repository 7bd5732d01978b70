#include "decision_record.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "../fleet/decoding.h"

namespace umberhoist::access {
namespace {

using nlohmann::json;
using namespace fleet;

constexpr uint64_t kVersion = 1;
constexpr size_t kMaxTextBytes = 64 * 1024;

// [version, customer, [[id, digest]...], zones, kinds, [[budget, per_s]...], [[zone, kind, rank, limit]...]]:
// the last list holds the allowed routes, by positions in the lists before it. Positions of limits begin at
// 1; 0 is no limit.
json parse_record(std::string_view bytes) {
  json out = from_cbor(bytes);
  require(decode_uint(at(out, 0)) == kVersion && out.size() == 7);
  return out;
}

std::string parse_deciding_rules(const json& record, std::vector<DecidingRule>& rules) {
  require(record[2].is_array());
  for (const json& rule : record[2])
    rules.push_back({decode_text(at(rule, 0), kMaxIdBytes), decode_uint(at(rule, 1))});
  return decode_text(record[1], kMaxTextBytes);
}

// Index in `names` of the name at list[i], or -1.
int index_in(const json& list, uint64_t i, const std::vector<std::string>& names) {
  const auto it = std::ranges::find(names, decode_text(at(list, i), kMaxTextBytes));
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

std::string encode(const Decision& decision, const Names& names) {
  json rules = json::array(), limits = json::array(), routes = json::array();
  std::map<int, uint64_t> position_by_id;
  for (const DecidingRule& rule : decision.rules) rules.push_back({rule.id, rule.digest});
  for (const auto& limit : decision.limits) {
    limits.push_back({limit->budget, limit->per_s});
    position_by_id[limit->id] = limits.size();
  }
  const auto kinds = static_cast<size_t>(std::max(1, decision.routes.kinds));
  for (size_t i = 0; i < decision.routes.rules.size(); ++i) {
    const firspool::RouteRule& route = decision.routes.rules[i];
    if (route.allowed)
      routes.push_back({i / kinds, i % kinds, static_cast<uint64_t>(route.rank),
                        route.limit_id < 0 ? 0 : position_by_id.at(route.limit_id)});
  }
  return to_cbor({kVersion, decision.customer, rules, names.zones, names.kinds, limits, routes});
}

std::shared_ptr<const Decision> decode_decision(std::string_view bytes, const Names& names,
                                                LimitRegistry& limits) {
  auto out = std::make_shared<Decision>();
  out->record = bytes;
  out->routes.kinds = static_cast<int>(names.kinds.size());
  try {
    const json record = parse_record(bytes);
    out->customer = parse_deciding_rules(record, out->rules);
    require(record[5].is_array() && record[6].is_array());
    for (const json& limit : record[5]) {
      require(at(limit, 1).is_number());
      out->limits.push_back(
          limits.acquire_recorded(decode_text(at(limit, 0), kMaxTextBytes), limit[1].get<double>()));
    }
    std::vector<firspool::RouteRule> by(names.zones.size() * names.kinds.size(),
                                        firspool::RouteRule{false, 0, -1});
    for (const json& route : record[6]) {
      const int zone = index_in(record[3], decode_uint(at(route, 0)), names.zones);
      const int kind = index_in(record[4], decode_uint(at(route, 1)), names.kinds);
      const uint64_t rank = decode_uint(at(route, 2)), limit = decode_uint(at(route, 3));
      require(rank <= 1 && limit <= out->limits.size());
      if (zone < 0 || kind < 0) continue;
      by[static_cast<size_t>(zone) * names.kinds.size() + static_cast<size_t>(kind)] = {
          true, static_cast<int>(rank), limit == 0 ? -1 : out->limits[limit - 1]->id};
    }
    out->routes.rules = std::move(by);
  } catch (const DecodeError&) {
    out->routes.rules.clear();  // denies every route
  }
  return out;
}

bool decode_deciding_rules(std::string_view bytes, std::string& customer, std::vector<DecidingRule>& rules) {
  try {
    customer = parse_deciding_rules(parse_record(bytes), rules);
    return true;
  } catch (const DecodeError&) {
    return false;
  }
}

}  // namespace umberhoist::access
