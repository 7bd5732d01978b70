// A verdict as it is written down with its message, by names: a relay that starts under other settings reads
// it back against its own.
//
// Promised: never less strict than it was written. A zone or kind that the writer did not know is not
// allowed, one that this relay knows no more is left out, and bytes that do not read (of a newer build) allow
// nothing. Limits keep their budgets' names and wholes.
#pragma once

#include <string_view>

#include "rules.h"
#include "verdict.h"

namespace umberhoist::access {

std::string packed(const Verdict& verdict, const Names& names);

// Never null. Its record is `bytes`.
std::shared_ptr<const Verdict> unpacked(std::string_view bytes, const Names& names, Limits& limits);

// Customer and deciders alone, for counting. False: the bytes do not read.
bool read_deciders(std::string_view bytes, std::string& customer, std::vector<Decider>& rules);

}  // namespace umberhoist::access
