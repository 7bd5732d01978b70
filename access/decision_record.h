// The form in which a decision is stored with its message. It refers to zones and kinds by name, so that a
// relay that starts with other settings can read it.
//
// A decision that is read back is never less strict than the stored one: zones and kinds that the writer did
// not know are denied, those that this relay does not know are ignored, and malformed bytes (of a newer
// version) deny everything. Limits keep the names and rates of their budgets.
#pragma once

#include <string_view>

#include "decision.h"
#include "rules.h"

namespace umberhoist::access {

std::string encode(const Decision& decision, const Names& names);

// Never null. The record of the result is `bytes`.
std::shared_ptr<const Decision> decode_decision(std::string_view bytes, const Names& names,
                                                LimitRegistry& limits);

// Reads only the customer and the deciding rules, to count hits. False if the bytes are malformed.
bool decode_deciding_rules(std::string_view bytes, std::string& customer, std::vector<DecidingRule>& rules);

}  // namespace umberhoist::access
