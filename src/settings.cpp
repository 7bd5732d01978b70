// Parses settings from their text form.
#include "firspool/settings.h"

#include <charconv>
#include <cmath>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace firspool {
namespace {

constexpr int kMaxEntries = 100000;  // of a list; a longer one is taken for a typing error

class KeyValues {
 public:
  explicit KeyValues(std::string_view text) {
    while (!text.empty()) {
      const size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const size_t separator = line.find('=');
      if (separator == std::string_view::npos) continue;
      values_[std::string(line.substr(0, separator))] = std::string(line.substr(separator + 1));
    }
  }

  bool has(const std::string& key) const { return values_.contains(key); }

  std::string text(const std::string& key, std::optional<std::string> fallback = {}) const {
    const auto it = values_.find(key);
    if (it != values_.end()) return it->second;
    if (!fallback) throw std::invalid_argument("setting " + key + " is missing");
    return *fallback;
  }

  double number(const std::string& key, std::optional<double> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    return parse(key, text(key));
  }

  int integer(const std::string& key, int min, std::optional<int> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    const double value = number(key);
    if (value != std::floor(value) || value < min || value > 1e9) throw_unreadable(key);
    return static_cast<int>(value);
  }

  double within(const std::string& key, double min, double max, double fallback) const {
    const double value = number(key, fallback);
    if (value < min || value > max) throw_unreadable(key);
    return value;
  }

  Time time(const std::string& key, std::optional<Time> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    const double value = number(key);
    if (value < 0 || value > 1e9) throw_unreadable(key);
    return std::llround(value * 1e6);
  }

  bool flag(const std::string& key, std::optional<bool> fallback = {}) const {
    if (fallback && !has(key)) return *fallback;
    return parse_flag(key, text(key));
  }

  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> parts;
    std::string rest = text(key, "");
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      parts.push_back(rest.substr(0, comma));
      rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    return parts;
  }

  std::vector<double> numbers(const std::string& key) const {
    std::vector<double> out;
    for (const std::string& part : list(key)) out.push_back(parse(key, part));
    return out;
  }

  static bool parse_flag(const std::string& key, const std::string& value) {
    if (value != "true" && value != "false") throw_unreadable(key);
    return value == "true";
  }

  [[noreturn]] static void throw_unreadable(const std::string& key) {
    throw std::invalid_argument("setting " + key + " is unreadable");
  }

 private:
  static double parse(const std::string& key, const std::string& value) {
    double out = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(out))
      throw_unreadable(key);
    return out;
  }

  std::map<std::string, std::string> values_;
};

ClassSettings parse_class(const KeyValues& values, const std::string& prefix) {
  ClassSettings out;
  out.name = values.text(prefix + "name", "");
  const std::string effect = values.text(prefix + "semantics");
  if (effect == "safe") {
    out.effect = Effect::kSafe;
  } else if (effect == "keyed") {
    out.effect = Effect::kKeyed;
    const std::string scope = values.text(prefix + "key_scope");
    if (scope != "all" && scope != "zone" && scope != "cell")
      KeyValues::throw_unreadable(prefix + "key_scope");
    out.key_scope = scope == "all" ? KeyScope::kAll : scope == "zone" ? KeyScope::kZone : KeyScope::kCell;
    out.key_window = values.time(prefix + "key_ttl_s");
  } else if (effect != "unsafe") {
    KeyValues::throw_unreadable(prefix + "semantics");
  }
  out.in_order = values.flag(prefix + "in_order", false);
  out.target = values.time(prefix + "target_s");
  out.time_to_live = values.time(prefix + "give_up_s");
  if (out.time_to_live == 0) KeyValues::throw_unreadable(prefix + "give_up_s");
  out.value = values.number(prefix + "worth", 1.0);
  out.late_value = values.number(prefix + "late_worth", 0.0);
  return out;
}

void parse_kinds(const KeyValues& values, Settings& out) {
  const auto independent = values.list("family_info.kind_apart");
  const auto batch = values.numbers("family_info.kind_batch");
  for (const std::string& name : values.list("kinds")) {
    KindSettings kind;
    kind.name = name;
    const size_t index = out.kinds.size();
    if (index < independent.size())
      kind.independent_endpoints = KeyValues::parse_flag("family_info.kind_apart", independent[index]);
    if (index < batch.size()) {
      if (batch[index] < 1 || batch[index] > kMaxEntries)
        KeyValues::throw_unreadable("family_info.kind_batch");
      kind.batch = static_cast<int>(batch[index]);
    }
    out.kinds.push_back(kind);
  }
}

void parse_tenants(const KeyValues& values, Settings& out) {
  const int count = values.integer("realms.count", 0, 0);
  if (count > kMaxEntries) KeyValues::throw_unreadable("realms.count");
  for (int i = 0; i < count; ++i) {
    const std::string prefix = "realms." + std::to_string(i) + ".";
    out.tenants.push_back({values.text(prefix + "name", ""), values.number(prefix + "quota_per_s", 0.0)});
  }
}

void parse_report(const KeyValues& values, Settings& out) {
  const auto fields = values.list("telemetry.fields");
  for (size_t i = 0; i < fields.size(); ++i) {
    if (fields[i] == "x0") out.report_remaining_index = static_cast<int>(i);
    if (fields[i] == "x1") out.report_limit_index = static_cast<int>(i);
  }
}

void parse_prices(const KeyValues& values, Settings& out) {
  out.price_cross_zone = values.number("prices.cross_zone", 0.0);
  out.price_handshake = values.number("prices.handshake", 0.0);
  out.price_waste = values.number("prices.waste", 0.0);
  out.price_late_fail = values.number("prices.late_fail", 0.0);
  out.price_probe = values.number("prices.probe", 0.0);
  out.price_peer = values.number("prices.peer", 0.0);
  out.price_refused = values.number("family_info.refused_price", 0.0);
  out.zone_fee = values.numbers("family_info.zone_fee");
}

}  // namespace

std::vector<std::shared_ptr<const MessageRules>> message_rules(const Settings& settings) {
  std::vector<std::shared_ptr<const MessageRules>> out;
  for (const ClassSettings& c : settings.classes) {
    out.push_back(std::make_shared<const MessageRules>(MessageRules{c, settings.max_attempts}));
  }
  return out;
}

Settings parse_settings(std::string_view text) {
  const KeyValues values(text);
  Settings out;
  const int classes = values.integer("categories.count", 1);
  if (classes > kMaxEntries) KeyValues::throw_unreadable("categories.count");
  for (int i = 0; i < classes; ++i) {
    out.classes.push_back(parse_class(values, "categories." + std::to_string(i) + "."));
  }
  parse_kinds(values, out);
  parse_tenants(values, out);
  parse_report(values, out);
  parse_prices(values, out);
  out.relay_index = values.integer("me", 0, 0);
  out.relays = values.integer("siblings", 1, 1);
  out.zone = values.integer("zone", 0, 0);
  out.max_in_flight = values.integer("family_info.calls_out", 1);
  out.max_open = values.integer("bounds.open_cap", 1);
  out.max_attempts = values.integer("bounds.max_attempts", 1);
  out.streams_per_conn = values.integer("bounds.streams_per_conn", 1, 1);
  out.may_probe = values.flag("bounds.may_probe", false);
  out.may_message_peers = values.flag("bounds.peers", false);
  out.may_cancel = values.flag("bounds.cancel", false);
  out.list_on_request = values.text("discovery", "push") == "ask";
  out.sends_retry_after = values.flag("bounds.retry_after", false);
  out.exponential_late_value = values.text("family_info.late", "line") == "halves";
  const std::string weights = values.text("weights", "silent");
  out.weights = weights == "nominal" ? Weights::kNominal
                : weights == "rough" ? Weights::kRough
                                     : Weights::kNone;
  out.over_share_value = values.within("over_share_worth", 0, 1, 1.0);
  out.tick = values.time("resolution_s", 0);
  out.conn_idle = values.time("bounds.conn_idle_s", 0);
  out.connect_timeout = values.time("bounds.connect_timeout_s", 0);
  out.max_retry_after = values.time("bounds.max_retry_after_s", 0);
  out.answer_slack = values.time("obligations.answer_slack_s", 0);
  out.drain_grace = values.time("obligations.stop_sending_within_s", 0);
  out.list_request_interval = values.time("obligations.ask_every_s", 0);
  out.order_pause = values.time("obligations.order_pause_s", 0);
  out.warmup_time = values.time("obligations.cold_s", 0);
  out.overload_window = values.time("obligations.fall_s", 0);
  out.overload_factor = values.within("obligations.fall_multiple", 0, 1e6, 1.0);
  out.warmup_start_capacity = values.within("obligations.start_capacity", 0, 1, 1.0);
  return out;
}

}  // namespace firspool
