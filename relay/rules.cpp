// Under which rules the relay serves: its configuration and the fleet's policy, taken over while it runs.
#include <algorithm>
#include <stdexcept>

#include "config_policy.h"
#include "descriptors.h"
#include "disk_faults.h"
#include "known.h"
#include "log.h"
#include "relay.h"

namespace firspool::relay {
namespace {

constexpr int kReloadTries = 20;
constexpr std::chrono::milliseconds kReloadPause{100};

}  // namespace

// Before anything is sent: what this process may spend alone.
void Relay::share_budgets() {
  if (!config_.fleet || !config_.fleet->budgets) return;
  BudgetLink::Host host;
  host.grant = [this](const ShareGranted& part) { happened(part); };
  host.waiting = [this](const std::function<void(const std::string&)>& each) {
    for (const auto& [number, held] : custody_.held()) {
      if (held.out) continue;
      each("dest/" + std::to_string(held.handed.destination));
      if (!held.handed.verdict) continue;
      for (const auto& limit : held.handed.verdict->limits) each(limit->budget);
    }
  };
  host.limits = [this] { return custody_.customers().limits(); };
  budgets_.emplace(io_, config_, directory_, std::move(host));
  replies_.add("BUDGETS", [this](const std::string&) { return budgets_->lines(); });
  replies_.add_figures("budgets", [this] { return budgets_->figures(); });
}

// A successor joins once it serves: its predecessor has the address until then. What is there already stays,
// so that one that failed in between is called again.
void Relay::join_fleet() {
  if (!config_.fleet) return;
  if (!fleet_) {
    fleet_.emplace(
        io_, config_, UMBERHOIST_VERSION,
        [this](int relays) {
          if (!config_.fleet->count_view || std::exchange(relays_, relays) == relays) return;
          apply_share();
        },
        policy_host());
    if (access_) access_->join(*fleet_);
  }
  if (outcomes_ && !feeds_) open_feeds();
  show_fleet();
}

PolicyLink::Host Relay::policy_host() {
  PolicyLink::Host out;
  out.check = [this](const std::string& policy) -> std::string {
    try {
      (void)with_policy(config_, policy);
      return "";
    } catch (const std::exception& fault) {
      return fault.what();
    }
  };
  out.fault = [this](const std::string& policy) { return policy_fault(config_, policy); };
  out.adopt = [this](const std::string& policy) { take(with_policy(config_, policy)); };
  if (budgets_) {
    budgets_->begin();
    out.rider = &*budgets_;
  }
  return out;
}

void Relay::open_feeds() {
  const auto part = [this](double wanted) {
    budgets_->share("feed", config_.feeds->catch_up_per_s);
    budgets_->wanted("feed", wanted);
    return budgets_->may("feed");
  };
  feeds_.emplace(io_, config_, fleet_->wire(), custody_, *outcomes_,
                 budgets_ ? FeedLink::Budget(part) : FeedLink::Budget());
}

// To the operators, also while this process is not in the fleet.
void Relay::show_fleet() {
  replies_.add("POLICY", [this](const std::string& rest) {
    return fleet_ ? fleet_->policy().call(rest) : "ERR not in the fleet now\n";
  });
  replies_.add("FLEET", [this](const std::string&) {
    return fleet_ ? fleet_->members() : "ERR not in the fleet now\n";
  });
  replies_.add_figures("fleet", [this] { return fleet_ ? fleet_->figures() : std::string(); });
  if (!outcomes_) return;
  replies_.add("FEEDS",
               [this](const std::string&) { return feeds_ ? feeds_->call() : "ERR not in the fleet now\n"; });
  replies_.add_figures("feeds", [this] { return feeds_ ? feeds_->figures() : std::string(); });
}

// From the first rule or hit on. Where there never was one, nothing of it is made.
void Relay::show_access() {
  if (access_) return access_->retune(config_);
  if (config_.access.empty() && !custody_.journal().hits().begun()) return;
  access_.emplace(io_, config_, custody_);
  if (fleet_) access_->join(*fleet_);
  replies_.add("ACCESS", [this](const std::string& rest) { return access_->call(rest); });
  replies_.add_figures("access", [this] { return access_->figures(); });
}

// All of the file or nothing of it. Where this process listens stays as it is until it is started again.
void Relay::reload() {
  reload_tries_ = 0;
  reload_now();
}

// What the new configuration tells counts after 4 s: a file that cannot be read just now is read again.
bool Relay::reload_later() {
  if (++reload_tries_ > kReloadTries) return false;
  reload_timer_.expires_after(kReloadPause);
  reload_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) reload_now();
  });
  return true;
}

void Relay::reload_now() {
  reload_timer_.cancel();
  Config next;
  try {
    try {
      next = load_config(config_.path, config_.state);
    } catch (const DiskFault& fault) {
      if (fault.may_pass() && reload_later()) return;
      throw;
    }
    if (const std::string key = missing_key(config_, next); !key.empty()) {
      throw std::invalid_argument(key + " is missing");
    }
    const bool under_rules = !config_.access.empty() || !next.access.empty() ||
                             std::ranges::any_of(custody_.held(), [](const auto& held) {
                               return held.second.handed.verdict != nullptr;
                             });
    if (under_rules && !umberhoist::access::names_compatible(config_.access.names, next.access.names)) {
      throw umberhoist::OperatorError(umberhoist::access::kNamesReordered, "settings.azs and settings.kinds",
                                      "are in another order");
    }
    if (config_.fleet && policy_of(next) != policy_of(config_)) {
      throw std::invalid_argument("its policy is not the fleet's: that is changed by POLICY PROPOSE");
    }
  } catch (const std::exception& fault) {
    custody_.figures().reloaded(false);
    log_event(LogLevel::kWarning, "config_kept",
              std::string("configuration is kept as it was: ") + fault.what(), {{"reason", fault.what()}});
    return;
  }
  custody_.figures().reloaded(true);
  take(std::move(next));
  log_info("config_taken", "configuration is taken: " + std::to_string(custody_.classes()) + " classes",
           {{"classes", custody_.classes()}});
}

void Relay::take(Config next) {
  const bool moved = next.discovery != config_.discovery;
  next.listen = config_.listen;
  next.inherited = config_.inherited;
  next.operator_address = config_.operator_address;
  if (!config_.fleet) next.fleet.reset();  // begins with the next start
  if (!outcomes_) next.feeds.reset();
  if (next.fleet) next.fleet->bind = config_.fleet->bind;
  if (next.fleet && next.fleet->budgets.has_value() != config_.fleet->budgets.has_value()) {
    next.fleet->budgets = config_.fleet->budgets;
  }
  config_ = std::move(next);
  custody_.retune(config_.settings, config_.access);
  if (fleet_) fleet_->retune(config_);
  if (budgets_) budgets_->retune(config_);
  show_access();
  if (outcomes_) outcomes_->retune(config_);
  if (feeds_) feeds_->retune(config_);
  upstream_.retune(upstream_limits(config_), config_.report_fields);
  watch_.rename(config_.names);
  apply_share();
  told(listed_again(directory_, config_.names));
  if (moved) {
    watch_.move(config_.discovery);
    custody_.notices().move(config_.discovery);
  }
}

bool Relay::shut() const { return config_.fleet && !(fleet_ && fleet_->policy().open()); }

std::string Relay::fenced_line() {
  if (!fleet_) return "-BUSY";
  fleet_->policy().turned_away();
  return busy_line(config_.fleet->term);
}

}  // namespace firspool::relay
