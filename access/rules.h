// Customers' access rules: parses them from the policy (settings.realms[].access; docs/access.md describes
// the format) and validates them.
//
// Invalid rules are rejected as a whole, before anything is sent, by an OperatorError whose `where` is the
// key and the rule's id. A rule that no message can reach is invalid too. It is always detected if a single
// earlier rule covers it, and if several do together within a fixed amount of work (docs/access.md). A
// reachable rule is never rejected. Equal rules have equal digests in each process and build; the order of
// keys and of entries in lists does not matter.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "../include/umberhoist/operator_error.h"
#include "bitset.h"

namespace umberhoist::access {

constexpr size_t kMaxRules = 10'000;  // over all customers
constexpr size_t kMaxIdBytes = 64;
inline constexpr const char* kDefaultId = "default";  // id of a customer's default in hit counts

inline constexpr ErrorKind kMalformed{"rules_malformed", "write it as docs/access.md shows"};
inline constexpr ErrorKind kUnknownKey{"rules_unknown_key", "remove or correct the key"};
// An action is the key `say` of a rule.
inline constexpr ErrorKind kUnknownAction{"rules_unknown_say", "say allow, deny, prefer or limit"};
inline constexpr ErrorKind kUnknownName{
    "rules_unknown_name",
    "use a name of settings.categories, settings.kinds or settings.azs, or add it there first"};
inline constexpr ErrorKind kBadPartner{"rules_bad_partner", "partners are destinations' numbers, 0 or above"};
inline constexpr ErrorKind kBadId{"rules_bad_id",
                                  "give each rule an id of 1 to 64 printable bytes without spaces, quotes or "
                                  "backslashes, and not 'default'"};
inline constexpr ErrorKind kDuplicateId{"rules_id_twice", "give each rule of a customer an id of its own"};
inline constexpr ErrorKind kBadRate{"rules_bad_rate",
                                    "give a limit, and only a limit, per_s above 0 and at most 1000000000"};
inline constexpr ErrorKind kShadowed{
    "rules_shadowed", "move it before the rules that cover it, make those narrower, or remove it"};
inline constexpr ErrorKind kTooManyRules{
    "rules_too_many", "join rules: lists of classes, partners, kinds and regions are one rule"};
inline constexpr ErrorKind kNoUniqueCustomer{"rules_no_customer", "give the realm a name that no other has"};
inline constexpr ErrorKind kNoRegion{"rules_no_region", "set settings.zone to one of settings.azs"};
inline constexpr ErrorKind kNamesReordered{
    "rules_names_moved",
    "only append to settings.azs and settings.kinds while rules hold messages, or start the relay again"};
inline constexpr ErrorKind kHitsFormatTooNew{"access_hits_newer",
                                             "run the program that wrote the folder, or a newer one"};
inline constexpr ErrorKind kAccessErrors[] = {
    kMalformed,      kUnknownKey,      kUnknownAction, kUnknownName,  kBadPartner,       kBadId,
    kDuplicateId,    kBadRate,         kShadowed,      kTooManyRules, kNoUniqueCustomer, kNoRegion,
    kNamesReordered, kHitsFormatTooNew};

// Names of settings.categories, settings.kinds and settings.azs, in the order of their indexes.
struct Names {
  std::vector<std::string> classes, kinds, zones;
  bool operator==(const Names&) const = default;
};

// The key `say` of a rule.
enum class Action { kAllow, kDeny, kPrefer, kLimit };
constexpr const char* kActionNames[] = {"allow", "deny", "prefer", "limit"};

struct Rule {
  std::string id;
  uint64_t digest = 0;  // XXH64 of its canonical text
  Action action = Action::kAllow;
  // What the rule matches, as indexes into Names; everything where its text has no list.
  Bitset classes, kinds, from, to;
  std::vector<int> partners;  // sorted; empty: all
  Bitset preferred;           // prefer: the preferred regions; `to` holds all regions then
  double per_s = 0;           // limit: calls a second over the whole fleet
};

struct Customer {
  std::string name;
  std::vector<Rule> rules;  // in order of precedence; the last is the default, which matches everything
};

struct Rules {
  Names names;
  int zone = 0;  // of this relay
  std::vector<Customer> customers;
  size_t count = 0;  // number of rules without the defaults

  bool empty() const { return customers.empty(); }
};

// `settings` must have well-formed names (categories, kinds, azs); realms are optional. Throws OperatorError.
Rules parse_rules(const nlohmann::json& settings);

// Lines for operators: each customer, its default and its rules.
std::string describe(const Rules& rules);

// Whether the indexes of all zones and kinds of `old` mean the same in `next`: names were only appended.
bool names_compatible(const Names& old, const Names& next);

}  // namespace umberhoist::access
