// What can go wrong with the fleet's budgets, for people. docs/on-call.md has a row for each.
#pragma once

#include "umberhoist/operator_error.h"

namespace firspool::relay {

inline constexpr umberhoist::ErrorKind kBudgetFaults[] = {
    {"budget_settings",
     "give floor (above 0, at most 1) and burst_ms (above 0, at most 10000), and nothing else"},
    {"budget_unreadable", "compare the builds and clusters of the relays: umberhoistctl fleet view"},
    {"budget_too_many", "name fewer destinations, tenants and limits: those beyond have their floors only"},
};
inline constexpr const umberhoist::ErrorKind& kBudgetSettings = kBudgetFaults[0];
inline constexpr const umberhoist::ErrorKind& kBudgetUnreadable = kBudgetFaults[1];
inline constexpr const umberhoist::ErrorKind& kBudgetTooMany = kBudgetFaults[2];

}  // namespace firspool::relay
