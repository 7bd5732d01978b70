#include "budget_wire.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace umberhoist::fleet {
namespace {

using nlohmann::json;

double rate_of(const json& value) {
  require(value.is_number());
  const double rate = value.get<double>();
  require(std::isfinite(rate) && rate >= 0 && rate <= kMaxCallsPerSecond);
  return rate;
}

json parse(std::string_view bytes) {
  require(bytes.size() <= kMaxBudgetMessageBytes);
  return from_cbor(bytes);
}

// A flat list of three fields for each entry, which is smaller than nested lists.
template <typename Entry>
std::vector<Entry> entries_of(const json& list) {
  require(list.is_array() && list.size() % 3 == 0 && list.size() / 3 <= kMaxBudgetsPerMessage);
  std::vector<Entry> out;
  out.reserve(list.size() / 3);
  for (size_t i = 0; i < list.size(); i += 3) {
    out.push_back({decode_uint(list[i]), rate_of(list[i + 1]), rate_of(list[i + 2])});
  }
  return out;
}

}  // namespace

uint64_t budget_hash(std::string_view name) { return XXH64(name.data(), name.size(), 0); }

double round_rate_down(double per_s) {
  if (!(per_s > 0)) return 0;
  const double limited = std::min(per_s, kMaxCallsPerSecond);
  const float nearest = static_cast<float>(limited);
  return static_cast<double>(nearest) > limited ? static_cast<double>(std::nextafter(nearest, 0.0F))
                                                : static_cast<double>(nearest);
}

std::string DemandReport::encode() const {
  json list = json::array();
  for (const Demand& d : updates) {
    list.push_back(d.budget);
    list.push_back(d.capacity);
    list.push_back(d.per_s);
  }
  return to_cbor(
      {incarnation, floor_share, relays, table_leader_term, table_version, base_version, version, list});
}

DemandReport DemandReport::decode(std::string_view bytes) {
  const json d = parse(bytes);
  DemandReport out{decode_uint(at(d, 0)), rate_of(at(d, 1)),           decode_uint(at(d, 2)),
                   decode_uint(at(d, 3)), decode_uint(at(d, 4)),       decode_uint(at(d, 5)),
                   decode_uint(at(d, 6)), entries_of<Demand>(at(d, 7))};
  require(out.floor_share <= 1 && out.relays > 0 && out.base_version <= out.version);
  return out;
}

std::string ShareTable::encode() const {
  json list = json::array();
  for (const Share& s : shares) {
    list.push_back(s.budget);
    list.push_back(s.per_s);
    list.push_back(s.capacity);
  }
  return to_cbor({base_version, version, full ? 1U : 0U, acked_demand_version, list});
}

ShareTable ShareTable::decode(std::string_view bytes) {
  const json p = parse(bytes);
  return {decode_uint(at(p, 0)), decode_uint(at(p, 1)), decode_uint(at(p, 2)) != 0, decode_uint(at(p, 3)),
          entries_of<Share>(at(p, 4))};
}

}  // namespace umberhoist::fleet
