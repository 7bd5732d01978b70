// Piggybacks a relay's budgets on the lease renewals of the agreement: its holder, and the allocator that it
// runs while it is the leader.
#pragma once

#include "budget_allocator.h"
#include "budget_holder.h"
#include "lease_piggyback.h"

namespace umberhoist::fleet {

class BudgetPiggyback : public LeasePiggyback {
 public:
  BudgetPiggyback(BudgetHolder::Settings holder, BudgetAllocator::Settings allocator)
      : holder_(holder), allocator_(std::move(allocator)) {}

  std::string renewal_payload(Time now) override { return holder_.demand_report(now).encode(); }
  std::string grant_payload(Time now, const Renewal& renewal, std::string_view request) override;
  bool on_grant(Time now, uint64_t leader_term, std::string_view payload, Time lease_end) override;

  BudgetHolder& holder() { return holder_; }
  const BudgetHolder& holder() const { return holder_; }
  BudgetAllocator& allocator() { return allocator_; }
  const BudgetAllocator& allocator() const { return allocator_; }
  uint64_t malformed() const { return malformed_; }  // payloads

 private:
  BudgetHolder holder_;
  BudgetAllocator allocator_;
  uint64_t malformed_ = 0;
};

}  // namespace umberhoist::fleet
