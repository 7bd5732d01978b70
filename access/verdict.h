// What a customer's rules say of one message: by which ways it may travel, and which rules decided that.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "firspool/route_table.h"
#include "limit_numbers.h"

namespace umberhoist::access {

struct Decider {  // a rule that decided one way or more
  std::string id;
  uint64_t digest = 0;
  auto operator<=>(const Decider&) const = default;
};

// Shared by all messages with the same one, and never changed.
struct Verdict {
  std::string customer;
  std::vector<Decider> rules;  // in their order
  firspool::RouteTable ways;
  std::vector<std::shared_ptr<const Limit>> limits;  // that the ways name
  std::string denied_by;  // the first rule that denied a way, where all are denied; empty: some way is open
  std::string record;     // as it is written down (verdict_record.h)
};

// The permitted ways alone, as the module takes them; they keep the verdict.
inline std::shared_ptr<const firspool::RouteTable> ways_of(const std::shared_ptr<const Verdict>& verdict) {
  return verdict ? std::shared_ptr<const firspool::RouteTable>(verdict, &verdict->ways) : nullptr;
}

}  // namespace umberhoist::access
