#include "budget_link.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "budget.h"
#include "log.h"

namespace firspool::relay {
namespace {

namespace fleet = umberhoist::fleet;

constexpr fleet::Time kLineEvery = 10 * fleet::kSecond;

std::string dest(int number) { return "dest/" + std::to_string(number); }

uint64_t new_life() {
  std::random_device chance;
  return std::max<uint64_t>(1, (uint64_t{chance()} << 32) | chance());
}

fleet::BudgetHolder::Settings holder_settings(const FleetSettings& fleet) {
  return {fleet.budgets->floor, fleet.peers.size(), fleet.period, fleet.term, new_life()};
}

fleet::BudgetAllocator::Settings divider_settings(const FleetSettings& fleet) {
  fleet::BudgetAllocator::Settings out{
      fleet.period, fleet.term, fleet.budgets->floor, {}, fleet::BudgetAllocator::InjectedFault::kNone};
  for (const auto& peer : fleet.peers) out.relay_names.push_back(peer.name);
  return out;
}

void warn(const umberhoist::OperatorError& fault) {
  log_event(LogLevel::kWarning, fault.code(), fault.line(), {{"where", fault.where()}});
}

}  // namespace

BudgetLink::BudgetLink(boost::asio::io_context& io, const Config& config, const Directory& directory,
                       Host host)
    : BudgetPiggyback(holder_settings(*config.fleet), divider_settings(*config.fleet)),
      timer_(io),
      directory_(directory),
      host_(std::move(host)),
      budgets_(*config.fleet->budgets) {
  retune(config);
}

void BudgetLink::begin() {
  holder().begin_incarnation(new_life());
  tell();
}

void BudgetLink::retune(const Config& config) {
  const FleetSettings& fleet = *config.fleet;
  budgets_ = *fleet.budgets;
  holder().configure(budgets_.floor, fleet.peers.size());
  allocator().configure(divider_settings(fleet).relay_names, budgets_.floor);
  for (const TenantSettings& t : settings_.tenants)
    whole("tenant/" + t.name, 0, {ShareGranted::Scope::kTenant, 0});
  settings_ = config.settings;
  for (size_t i = 0; i < settings_.tenants.size(); ++i) {
    const TenantSettings& t = settings_.tenants[i];
    whole("tenant/" + t.name, t.quota_per_s, {ShareGranted::Scope::kTenant, static_cast<int>(i)});
  }
  list();
  take_limits();
  tell();
}

// ---- Wholes ----

void BudgetLink::whole(const std::string& budget, double per_s, Place place) {
  holder().set_capacity(budget, per_s, true);
  places_.insert_or_assign(budget, place);
  if (too_many_ || holder().size() <= fleet::kMaxBudgets) return;
  too_many_ = true;
  warn({kBudgetTooMany, budget, "is one more than " + std::to_string(fleet::kMaxBudgets) + " budgets"});
}

void BudgetLink::share(const std::string& budget, double per_s) {
  holder().set_capacity(budget, per_s, true);
}

void BudgetLink::list() {
  std::map<int, double> listed;
  for (const auto& [endpoint, host] : directory_.hosts()) {
    const Member& m = host.member;
    const bool apart =
        m.kind < static_cast<int>(settings_.kinds.size()) && settings_.kinds[m.kind].independent_endpoints;
    if (apart || m.listing == Listing::kGone) continue;
    double& limit = listed[m.destination];
    if (settings_.weights != Weights::kNominal || !(m.weight > 0)) continue;
    limit = limit > 0 ? std::min(limit, m.weight) : m.weight;
  }
  std::erase_if(destinations_, [&](const auto& entry) {
    if (listed.contains(entry.first)) return false;
    whole(dest(entry.first), 0, {ShareGranted::Scope::kDestination, entry.first});
    return true;
  });
  for (const auto& [number, limit] : listed) {
    Destination& d = destinations_[number];
    if (limit > 0 && d.listed != limit) d.whole = d.listed = limit;
    whole(dest(number), d.whole, {ShareGranted::Scope::kDestination, number});
  }
}

void BudgetLink::reported(const AttemptEnded& end) {
  const ListedHost* host = directory_.find(end.endpoint);
  const auto at = static_cast<size_t>(settings_.report_limit_index);
  if (host == nullptr || settings_.report_limit_index < 0 || at >= end.report.size()) return;
  const double limit = static_cast<double>(end.report[at]);
  const auto d = destinations_.find(host->member.destination);
  const bool apart = host->member.kind < static_cast<int>(settings_.kinds.size()) &&
                     settings_.kinds[host->member.kind].independent_endpoints;
  if (apart || d == destinations_.end() || !std::isfinite(limit) || limit <= 0) return;
  d->second.whole = limit;
  whole(dest(d->first), limit, {ShareGranted::Scope::kDestination, d->first});
}

// A number may be another limit's by now: what has gone is told first.
void BudgetLink::take_limits() {
  const auto all = host_.limits();
  std::map<std::string, int> now;
  for (const auto& limit : all) now[limit.budget] = limit.id;
  for (const auto& [budget, number] : std::exchange(limits_, now)) {
    if (!now.contains(budget)) whole(budget, 0, {ShareGranted::Scope::kLimit, number});
  }
  tell();
  std::unordered_map<uint64_t, double> of_policy;
  for (const auto& limit : all) {
    of_policy[fleet::budget_hash(limit.budget)] = limit.per_s;
    whole(limit.budget, limit.per_s, {ShareGranted::Scope::kLimit, limit.id});
  }
  allocator().set_policy_capacities(std::move(of_policy));
}

// ---- What is wanted, and what there is ----

void BudgetLink::hear(const std::vector<Event>& events) {
  bool retuned = false;
  for (const Event& event : events) {
    retuned = retuned || std::holds_alternative<SettingsChanged>(event);
    if (const auto* a = std::get_if<MessageReceived>(&event)) {
      holder().record_demand(dest(a->destination), 1);
      if (a->tenant >= 0 && a->tenant < static_cast<int>(settings_.tenants.size())) {
        holder().record_demand("tenant/" + settings_.tenants[static_cast<size_t>(a->tenant)].name, 1);
      }
    } else if (const auto* end = std::get_if<AttemptEnded>(&event)) {
      reported(*end);
    } else if (std::holds_alternative<MembersChanged>(event)) {
      list();
    }
  }
  tell();
  if (!retuned) return;
  holder().republish_all();  // the module begins its tenants anew
  tell();
}

double BudgetLink::may(const std::string& budget) const { return holder().allowed_rate(lease_now(), budget); }

void BudgetLink::tell() {
  const fleet::Time now = lease_now();
  const auto changes = holder().changes(now);
  for (const auto& change : changes) {
    const auto place = places_.find(change.name);
    if (place == places_.end()) continue;
    host_.grant(
        {place->second.of, place->second.number, change.per_s, static_cast<double>(budgets_.burst) / 1e6});
    if (change.per_s < 0) places_.erase(place);
  }
  if (holder().leased(now) != leased_) {
    leased_ = !leased_;
    log_info(leased_ ? "budgets_granted" : "budgets_alone",
             leased_ ? "budgets: the fleet grants parts" : "budgets: no lease, only the floors are spent",
             {{"budgets", holder().size()}});
  }
  if (!changes.empty()) arm();
}

void BudgetLink::arm() {
  const fleet::Time at = holder().next_change_at();
  if (at == fleet::kNever) return;
  timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, at - lease_now())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    tell();
    arm();
  });
}

// ---- On the leases ----

std::string BudgetLink::renewal_payload(fleet::Time now) {
  take_limits();
  std::map<std::string, double> waiting;
  host_.waiting([&](const std::string& budget) { ++waiting[budget]; });
  holder().set_waiting(waiting);
  std::string out = BudgetPiggyback::renewal_payload(now);
  tell();
  return out;
}

std::string BudgetLink::grant_payload(fleet::Time now, const Renewal& renewal, std::string_view asked) {
  std::string out = BudgetPiggyback::grant_payload(now, renewal, asked);
  unreadable();
  return out;
}

bool BudgetLink::on_grant(fleet::Time now, uint64_t reign, std::string_view bytes, fleet::Time until) {
  const bool soon = BudgetPiggyback::on_grant(now, reign, bytes, until);
  unreadable();
  tell();
  arm();
  return soon;
}

void BudgetLink::unreadable() {
  const fleet::Time now = lease_now();
  if (BudgetPiggyback::malformed() == unreadable_told_ || now - unreadable_at_ < kLineEvery) return;
  unreadable_told_ = BudgetPiggyback::malformed();
  unreadable_at_ = now;
  warn({kBudgetUnreadable, "fleet.budgets",
        "what another relay said does not read, " + std::to_string(unreadable_told_) + " times"});
}

}  // namespace firspool::relay
