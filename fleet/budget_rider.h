// A relay's budgets on the leases of the agreement: its holder, and the divider that it is while it leads.
#pragma once

#include "budget_holder.h"
#include "division.h"
#include "rider.h"

namespace umberhoist::fleet {

class BudgetRider : public Rider {
 public:
  BudgetRider(BudgetHolder::Settings holder, Divider::Settings divider)
      : holder_(holder), divider_(std::move(divider)) {}

  std::string ask(Time now) override { return holder_.tell(now).packed(); }
  std::string answer(Time now, const Renewal& renewal, std::string_view asked) override;
  bool took(Time now, uint64_t reign, std::string_view bytes, Time until) override;

  BudgetHolder& holder() { return holder_; }
  const BudgetHolder& holder() const { return holder_; }
  Divider& divider() { return divider_; }
  const Divider& divider() const { return divider_; }
  uint64_t unreadable() const { return unreadable_; }

 private:
  BudgetHolder holder_;
  Divider divider_;
  uint64_t unreadable_ = 0;
};

}  // namespace umberhoist::fleet
