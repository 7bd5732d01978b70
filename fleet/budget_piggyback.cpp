#include "budget_piggyback.h"

namespace umberhoist::fleet {

std::string BudgetPiggyback::grant_payload(Time now, const Renewal& renewal, std::string_view request) {
  try {
    const DemandReport report = DemandReport::decode(request);
    if (allocator_.leader_term() != renewal.leader_term)
      allocator_.begin_term(renewal.leader_term, renewal.prior_leases_end);
    const auto table =
        allocator_.answer(now, {renewal.relay, renewal.expires_at, renewal.acked_send_time}, report);
    return table ? table->encode() : "";
  } catch (const DecodeError&) {
    ++malformed_;
    return "";
  }
}

bool BudgetPiggyback::on_grant(Time now, uint64_t leader_term, std::string_view payload, Time lease_end) {
  try {
    return holder_.apply_table(now, leader_term, ShareTable::decode(payload), lease_end);
  } catch (const DecodeError&) {
    ++malformed_;
    return false;
  }
}

}  // namespace umberhoist::fleet
