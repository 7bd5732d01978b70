// The result of a customer's rules for one message: the routes it may take, and the rules that decided them.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "firspool/route_table.h"
#include "limit_registry.h"

namespace umberhoist::access {

// A rule that decided at least one route.
struct DecidingRule {
  std::string id;
  uint64_t digest = 0;
  auto operator<=>(const DecidingRule&) const = default;
};

// Immutable, and shared by all messages with the same result. Stored data and metrics call it a verdict.
struct Decision {
  std::string customer;
  std::vector<DecidingRule> rules;  // in order of precedence
  firspool::RouteTable routes;
  std::vector<std::shared_ptr<const Limit>> limits;  // that the routes refer to
  std::string denied_by;  // if every route is denied: the first rule that denied one; else empty
  std::string record;     // its stored form (decision_record.h)
};

// The routes alone, as firspool takes them. The result keeps the decision alive.
inline std::shared_ptr<const firspool::RouteTable> routes_of(
    const std::shared_ptr<const Decision>& decision) {
  return decision ? std::shared_ptr<const firspool::RouteTable>(decision, &decision->routes) : nullptr;
}

}  // namespace umberhoist::access
