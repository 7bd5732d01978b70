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
  require(std::isfinite(rate) && rate >= 0 && rate <= kMostRate);
  return rate;
}

json read(std::string_view bytes) {
  require(bytes.size() <= kMostBytes);
  return from_cbor(bytes);
}

// Three fields for each word, one after the other: no list around each.
template <typename Word>
std::vector<Word> words_of(const json& list) {
  require(list.is_array() && list.size() % 3 == 0 && list.size() / 3 <= kMostWords);
  std::vector<Word> out;
  out.reserve(list.size() / 3);
  for (size_t i = 0; i < list.size(); i += 3) {
    out.push_back({decode_uint(list[i]), rate_of(list[i + 1]), rate_of(list[i + 2])});
  }
  return out;
}

}  // namespace

uint64_t budget_hash(std::string_view name) { return XXH64(name.data(), name.size(), 0); }

double rate_down(double per_s) {
  if (!(per_s > 0)) return 0;
  const double most = std::min(per_s, kMostRate);
  const float near = static_cast<float>(most);
  return static_cast<double>(near) > most ? static_cast<double>(std::nextafter(near, 0.0F))
                                          : static_cast<double>(near);
}

std::string Demands::packed() const {
  json list = json::array();
  for (const Demand& d : words) {
    list.push_back(d.budget);
    list.push_back(d.whole);
    list.push_back(d.per_s);
  }
  return to_cbor({life, floor, names, took_reign, took, base, number, list});
}

Demands Demands::of(std::string_view bytes) {
  const json d = read(bytes);
  Demands out{decode_uint(at(d, 0)), rate_of(at(d, 1)),         decode_uint(at(d, 2)),
              decode_uint(at(d, 3)), decode_uint(at(d, 4)),     decode_uint(at(d, 5)),
              decode_uint(at(d, 6)), words_of<Demand>(at(d, 7))};
  require(out.floor <= 1 && out.names > 0 && out.base <= out.number);
  return out;
}

std::string Parts::packed() const {
  json list = json::array();
  for (const Part& p : all) {
    list.push_back(p.budget);
    list.push_back(p.per_s);
    list.push_back(p.whole);
  }
  return to_cbor({base, number, fresh ? 1U : 0U, heard, list});
}

Parts Parts::of(std::string_view bytes) {
  const json p = read(bytes);
  return {decode_uint(at(p, 0)), decode_uint(at(p, 1)), decode_uint(at(p, 2)) != 0, decode_uint(at(p, 3)),
          words_of<Part>(at(p, 4))};
}

}  // namespace umberhoist::fleet
