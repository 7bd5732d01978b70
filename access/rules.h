// Customers' rules as the policy writes them (settings.realms[].access), read into lists that can be decided
// by: docs/access.md has the form.
//
// Promised: what cannot be is turned down whole, by a Fault whose `where` is the key and the rule's id,
// before anything is sent. A rule that no message can reach is found where one earlier rule covers it, and
// where several do as far as a stated amount of work tells (docs/access.md); a rule that a message can reach
// is never turned down. Equal texts have equal digests in each process and build; the order within lists and
// of keys changes nothing.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "../include/umberhoist/operator_error.h"
#include "bits.h"

namespace umberhoist::access {

constexpr size_t kMostRules = 10'000;               // of all customers
constexpr size_t kMostId = 64;                      // bytes
inline constexpr const char* kDefault = "default";  // the id under which a customer's default counts

inline constexpr ErrorKind kMalformed{"rules_malformed", "write it as docs/access.md shows"};
inline constexpr ErrorKind kUnknownKey{"rules_unknown_key", "remove or correct the key"};
inline constexpr ErrorKind kUnknownSay{"rules_unknown_say", "say allow, deny, prefer or limit"};
inline constexpr ErrorKind kUnknownName{
    "rules_unknown_name",
    "use a name of settings.categories, settings.kinds or settings.azs, or add it there first"};
inline constexpr ErrorKind kBadPartner{"rules_bad_partner", "partners are destinations' numbers, 0 or above"};
inline constexpr ErrorKind kBadId{"rules_bad_id",
                                  "give each rule an id of 1 to 64 printable bytes without spaces, quotes or "
                                  "backslashes, and not 'default'"};
inline constexpr ErrorKind kIdTwice{"rules_id_twice", "give each rule of a customer an id of its own"};
inline constexpr ErrorKind kBadRate{"rules_bad_rate",
                                    "give a limit, and only a limit, per_s above 0 and at most 1000000000"};
inline constexpr ErrorKind kShadowed{
    "rules_shadowed", "move it before the rules that cover it, make those narrower, or remove it"};
inline constexpr ErrorKind kTooMany{"rules_too_many",
                                    "join rules: lists of classes, partners, kinds and regions are one rule"};
inline constexpr ErrorKind kNoCustomer{"rules_no_customer", "give the realm a name that no other has"};
inline constexpr ErrorKind kNoRegion{"rules_no_region", "set settings.zone to one of settings.azs"};
inline constexpr ErrorKind kNamesMoved{
    "rules_names_moved",
    "only append to settings.azs and settings.kinds while rules hold messages, or start the relay again"};
inline constexpr ErrorKind kHitsNewer{"access_hits_newer",
                                      "run the program that wrote the folder, or a newer one"};
inline constexpr ErrorKind kAccessFaults[] = {
    kMalformed, kUnknownKey, kUnknownSay, kUnknownName, kBadPartner, kBadId,      kIdTwice,
    kBadRate,   kShadowed,   kTooMany,    kNoCustomer,  kNoRegion,   kNamesMoved, kHitsNewer};

// The settings' names, in the order of their numbers.
struct Names {
  std::vector<std::string> classes, kinds, zones;
  bool operator==(const Names&) const = default;
};

enum class Say { kAllow, kDeny, kPrefer, kLimit };
constexpr const char* kSays[] = {"allow", "deny", "prefer", "limit"};

struct Rule {
  std::string id;
  uint64_t digest = 0;  // XXH64 of its canonical text
  Say say = Say::kAllow;
  // What it matches: numbers of names; all where the text has no list.
  Bits classes, kinds, from, to;
  std::vector<int> partners;  // sorted; empty: each
  Bits near;                  // prefer: the regions that go first; its `to` is all
  double per_s = 0;           // limit: calls a second over the whole fleet
};

struct Customer {
  std::string name;
  std::vector<Rule> rules;  // in their order; the last is the default, which matches all
};

struct Rules {
  Names names;
  int zone = 0;  // this relay's
  std::vector<Customer> customers;
  size_t count = 0;  // of rules, defaults left out

  bool empty() const { return customers.empty(); }
};

// `settings` has names of the right form (categories, kinds, azs) and may have realms. Throws Fault.
Rules parse_rules(const nlohmann::json& settings);

// Lines for a person: each customer, its default and its rules.
std::string describe(const Rules& rules);

// Whether numbers of zones and kinds mean the same in both, as far as the old ones know them.
bool names_kept(const Names& old, const Names& next);

}  // namespace umberhoist::access
