#include "budget_rider.h"

namespace umberhoist::fleet {

std::string BudgetRider::answer(Time now, const Renewal& renewal, std::string_view asked) {
  try {
    const Demands told = Demands::of(asked);
    if (divider_.reign() != renewal.reign) divider_.begin(renewal.reign, renewal.clear);
    const auto parts = divider_.answer(now, {renewal.relay, renewal.over, renewal.heard}, told);
    return parts ? parts->packed() : "";
  } catch (const DecodeError&) {
    ++unreadable_;
    return "";
  }
}

bool BudgetRider::took(Time now, uint64_t reign, std::string_view bytes, Time until) {
  try {
    return holder_.took(now, reign, Parts::of(bytes), until);
  } catch (const DecodeError&) {
    ++unreadable_;
    return false;
  }
}

}  // namespace umberhoist::fleet
