// Binds the fleet's budgets (fleet/budget_piggyback) to this process: what wholes there are, how much of each
// is wanted, and what the module is told of its parts. It rides on the leases of the fleet's policy.
//
// Wholes: of a destination what the list says where its weights are nominal, or what a report said since; of
// a tenant its quota; of a rule its limit, looked at with each renewal; of others what share() was. A
// destination's routes apart have limits of their own and are no budgets.
//
// Before anything is sent the module is told the floors, and, where a lease is over by the clock that goes on
// while a machine sleeps, that the part is gone: hear() looks at each turn.
//
// A process that is stopped between that look and a call's first byte may send that turn's calls late: each
// has its own latest start (Send::start_by).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "../access/limit_registry.h"
#include "../fleet/budget_piggyback.h"
#include "budget_faults.h"
#include "config.h"
#include "firspool/route_table.h"

namespace firspool::relay {

class BudgetLink : public umberhoist::fleet::BudgetPiggyback {
 public:
  static constexpr size_t kMostSeries = 64;  // of budgets in METRICS; the rest is summed

  struct Host {
    std::function<void(const ShareGranted&)> grant;  // for the module's next step
    // Tells the budgets that each message wants which is held and not out.
    std::function<void(const std::function<void(const std::string& budget)>&)> waiting;
    std::function<std::vector<umberhoist::access::Limit>()> limits;  // of customers' rules, all there are
  };

  // The directory outlives this. The configuration has the section.
  BudgetLink(boost::asio::io_context& io, const Config& config, const Directory& directory, Host host);

  void begin();  // this process takes its name's place in the fleet
  void retune(const Config& config);
  void hear(const std::vector<Event>& events);  // before the module does
  // A budget that is not the module's; 0: there is none.
  void share(const std::string& budget, double per_s);
  // Calls that were wanted of a budget since, whether or not they could go out.
  void wanted(const std::string& budget, double calls) { holder().record_demand(budget, calls); }
  double may(const std::string& budget) const;  // a second, now

  std::string lines() const;  // the reply to BUDGETS
  std::string figures() const;

  std::string renewal_payload(umberhoist::fleet::Time now) override;
  std::string grant_payload(umberhoist::fleet::Time now, const Renewal& renewal,
                            std::string_view asked) override;
  bool on_grant(umberhoist::fleet::Time now, uint64_t reign, std::string_view bytes,
                umberhoist::fleet::Time until) override;

 private:
  struct Destination {
    double listed = 0;
    double whole = 0;
  };
  struct Place {  // in the module's words
    ShareGranted::Scope of;
    int number;
  };

  void list();
  void take_limits();
  void reported(const AttemptEnded& end);
  void whole(const std::string& budget, double per_s, Place place);
  void tell();  // the module, what has changed
  void arm();
  void unreadable();

  boost::asio::steady_timer timer_;
  const Directory& directory_;
  Host host_;
  Settings settings_;
  FleetSettings::Budgets budgets_;
  std::map<int, Destination> destinations_;
  std::map<std::string, Place> places_;
  std::map<std::string, int> limits_;  // by number
  bool leased_ = false;
  bool too_many_ = false;
  uint64_t unreadable_told_ = 0;
  umberhoist::fleet::Time unreadable_at_ = 0;
};

}  // namespace firspool::relay
