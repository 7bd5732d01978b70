// What staff are shown of the customers' rules: ACCESS and the lines of METRICS.
#include <algorithm>
#include <cstdio>
#include <map>

#include "access_link.h"

namespace firspool::relay {
namespace {

namespace access = umberhoist::access;

std::string hex(uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

// On one line, whatever a name holds.
std::string plain(std::string text) {
  std::ranges::replace_if(
      text, [](unsigned char c) { return c < ' '; }, ' ');
  return text;
}

std::string label(const std::string& text) {
  std::string out;
  for (const char c : plain(text)) {
    if (c == '"' || c == '\\') out.push_back('\\');
    out.push_back(c);
  }
  return out;
}

std::string age_ms(Time now, Time fresh) {
  return fresh == access::HitReplicator::kNeverComplete
             ? "-"
             : std::to_string(std::max<Time>(0, now - fresh) / 1000);
}

}  // namespace

std::string AccessLink::call(const std::string& rest) {
  if (rest == "RULES") {
    const std::string none = described_.empty() ? "no customer has rules\n" : "";
    return "OK\n" + none + described_ + "END\n";
  }
  if (rest == "HITS") return hits("");
  if (rest.starts_with("HITS ")) return hits(rest.substr(5));
  return "ERR ACCESS HITS [CUSTOMER] or ACCESS RULES\n";
}

std::string AccessLink::hits(const std::string& customer) {
  see_own();
  if (!whole()) return "ERR not whole yet: the other relays' counts are being heard anew\n";
  const Time now = steady_now();
  const access::HitCounts all = spread_.fleet_counts(now);
  const access::HitCounts& own = custody_.journal().hits().counts();
  const access::RuleKeys& in_force = custody_.customers().in_force();
  std::map<access::RuleKey, std::pair<uint64_t, uint64_t>> rows;
  for (const auto& key : in_force) rows[key];
  for (const auto& [key, count] : all.by_rule()) rows[key].second = count;
  for (const auto& [key, count] : own.by_rule()) {
    rows[key].first = count;
    rows[key].second = std::max(rows[key].second, count);
  }
  std::string out = "OK\n";
  for (const auto& [key, count] : rows) {
    if (!customer.empty() && key.customer != customer) continue;
    out += "rule own=" + std::to_string(count.first) + " fleet=" + std::to_string(count.second) +
           " id=" + key.id + " digest=" + hex(key.digest) +
           " in_force=" + (in_force.contains(key) ? "1" : "0") + " customer=" + plain(key.customer) + "\n";
  }
  for (const auto& [origin, part] : spread_.origins(now)) {
    out += "part age_ms=" + age_ms(now, part.complete_as_of) +
           " hits=" + std::to_string(part.counts.total()) + " folder=" + hex(origin.folder_id) +
           " own=" + (spread_.is_own(origin) ? "1" : "0") + " relay=" + plain(origin.relay) + "\n";
  }
  return out + "END\n";
}

std::string AccessLink::figures() {
  see_own();
  const Time now = steady_now();
  const bool shown = whole();
  std::string out;
  const auto line = [&](const std::string& name, uint64_t value) {
    out += "access_" + name + " " + std::to_string(value) + "\n";
  };
  const access::HitCounts& own = custody_.journal().hits().counts();
  const access::HitCounts all = spread_.fleet_counts(now);
  // Those hit most, one series each of own and fleet; the rest by customer.
  std::vector<std::pair<uint64_t, const access::RuleKey*>> order;
  for (const auto& [key, count] : all.by_rule()) order.emplace_back(count, &key);
  for (const auto& [key, count] : own.by_rule()) {
    if (all.count_of(key) == 0) order.emplace_back(count, &key);
  }
  std::ranges::sort(order, [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  std::map<std::string, std::pair<uint64_t, uint64_t>> rest;
  const auto series = [&](const std::string& labels, uint64_t here, uint64_t fleet) {
    line("hits_total{" + labels + "}", here);
    if (shown) line("fleet_hits_total{" + labels + "}", std::max(here, fleet));
  };
  for (size_t i = 0; i < order.size(); ++i) {
    const access::RuleKey& key = *order[i].second;
    const uint64_t here = own.count_of(key), fleet = all.count_of(key);
    if (i < kMostSeries / 2) {
      series("customer=\"" + label(key.customer) + "\",rule=\"" + label(key.id) + "\",digest=\"" +
                 hex(key.digest) + "\"",
             here, fleet);
      continue;
    }
    const bool known = rest.contains(key.customer) || rest.size() < kMostCustomers;
    auto& sum = rest[known ? key.customer : ""];
    sum.first += here;
    sum.second += fleet;
  }
  for (const auto& [customer, sum] : rest)
    series("customer=\"" + label(customer) + "\",rule=\"\"", sum.first, sum.second);
  Time oldest = 0;
  for (const auto& [origin, part] : spread_.origins(now)) {
    if (part.complete_as_of != access::HitReplicator::kNeverComplete)
      oldest = std::max(oldest, now - part.complete_as_of);
  }
  line("rules", custody_.customers().in_force().size());
  line("denied_total", custody_.denied());
  line("verdicts_remembered", custody_.customers().remembered());
  line("verdict_passes_total", custody_.customers().passes());
  line("limits", custody_.customers().limits().size());
  line("whole", shown ? 1 : 0);
  line("origins", spread_.origins(now).size());
  line("oldest_part_ms", static_cast<uint64_t>(oldest / 1000));
  line("exchanges_total", spread_.exchanges());
  line("messages_unreadable_total", spread_.dropped().unreadable);
  line("counts_no_room_total", spread_.dropped().over_limit);
  line("hits_dropped_total", own.dropped());
  line("parts_unwritten_total", unwritten_);
  return out;
}

}  // namespace firspool::relay
