// Settings of a Policy: passed to its constructor, and replaced by the event SettingsChanged. A name in
// parentheses is the key of a setting (see settings.cpp) whose field has another name.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace firspool {

using Time = int64_t;  // microseconds; as a point in time its origin is arbitrary

enum class Effect { kSafe, kKeyed, kUnsafe };  // consequence of executing a message twice
enum class KeyScope { kAll, kZone, kCell };  // which endpoints of a destination drop duplicates by their key

struct ClassSettings {
  std::string name;
  Effect effect = Effect::kUnsafe;
  KeyScope key_scope = KeyScope::kAll;
  Time key_window = 0;    // (key_ttl_s) how long a key is remembered after the first send that may execute
  bool in_order = false;  // messages with the same key go one at a time
  Time target = 0;        // delivered within this time, a message has its full value
  Time time_to_live = 0;  // (give_up_s) how long it may be delivered after it was first accepted
  double value = 1;       // (worth)
  double late_value = 0;  // (late_worth) share of the value that is left at the end of time_to_live
};

// The rules of one message, fixed when it arrives: they hold to its end, even if the settings change or drop
// its class meanwhile.
struct MessageRules : ClassSettings {
  int max_attempts = 1;
};

struct KindSettings {
  std::string name;
  bool independent_endpoints = false;  // (kind_apart) each endpoint has its own limit and outage state
  int batch = 1;                       // (kind_batch) maximum number of messages in one call
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;  // rate over all relays up to which messages have their full value; 0: no quota
};

enum class Weights {  // what the weight of an endpoint says about the limit of its destination
  kNone,
  kNominal,
  kRough
};

struct Settings {
  std::vector<ClassSettings> classes;  // (categories)
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;  // (realms)
  int relay_index = 0;                  // (me)
  int relays = 1;                       // (siblings)
  int zone = 0;
  int max_in_flight = 1;  // (calls_out) concurrent calls
  int max_open = 1;       // (open_cap) messages held at once, whether in flight or waiting
  int max_attempts = 1;
  int streams_per_conn = 1;
  bool may_probe = false;
  bool may_message_peers = false;  // (bounds.peers)
  bool may_cancel = false;
  bool list_on_request = false;    // (discovery=ask) the list of endpoints has to be asked for
  bool sends_retry_after = false;  // (bounds.retry_after) clients are sent Refuse::retry_after
  // (late=halves) After its target a message loses half its value with each further target; else its value
  // falls linearly to late_value at the end of time_to_live.
  bool exponential_late_value = false;
  Weights weights = Weights::kNone;
  int report_remaining_index = -1;  // (x0) index in reports: unused share of the limit; -1: not reported
  int report_limit_index = -1;      // (x1) index in reports: the limit in calls a second; -1: not reported
  double over_share_value = 1;      // (over_share_worth) factor on the value beyond a tenant's quota
  Time tick = 0;                    // (resolution_s) resolution of the caller's timers
  Time conn_idle = 0;
  Time connect_timeout = 0;
  Time max_retry_after = 0;
  Time answer_slack = 0;
  Time drain_grace = 0;  // (stop_sending_within_s)
  Time write_delay = 0;  // longest time from a step to a call's first byte; set by the caller, no key
  Time list_request_interval = 0;  // (ask_every_s)
  Time order_pause = 0;
  // A destination that returns from an outage takes calls up to a share of its capacity, which grows from
  // warmup_start_capacity to 1 within warmup_time. It fails again if it is sent more than overload_factor
  // times its capacity of the moment for overload_window.
  Time warmup_time = 0;              // (cold_s)
  Time overload_window = 0;          // (fall_s)
  double overload_factor = 1;        // (fall_multiple)
  double warmup_start_capacity = 1;  // (start_capacity)
  double price_cross_zone = 0;
  double price_handshake = 0;
  double price_waste = 0;
  double price_late_fail = 0;
  double price_probe = 0;
  double price_refused = 0;
  double price_peer = 0;
  std::vector<double> zone_fee;  // by zone: price of a message that an independent endpoint accepts
};

// The rules of each class, in the order of the settings.
std::vector<std::shared_ptr<const MessageRules>> message_rules(const Settings& settings);

// Reads settings from lines of the form key=value. Unknown keys are skipped. Throws std::invalid_argument
// with the name of the key if a required key is missing or a value is not valid.
Settings parse_settings(std::string_view text);

}  // namespace firspool
