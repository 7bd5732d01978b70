#include "access_link.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>

#include "../fleet/reading.h"
#include "../fleet/records.h"
#include "lasting_file.h"
#include "log.h"

namespace firspool::relay {
namespace {

namespace access = umberhoist::access;
namespace fleet = umberhoist::fleet;

std::string path_in(const std::string& state) {
  return (std::filesystem::path(state) / "access.parts").string();
}

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
  return fresh == access::Spread::kUnheard ? "-" : std::to_string(std::max<Time>(0, now - fresh) / 1000);
}

}  // namespace

AccessLink::AccessLink(boost::asio::io_context& io, const Config& config, const Custody& custody)
    : custody_(custody),
      path_(path_in(config.state)),
      spread_(config.name, config.seed ^ static_cast<uint64_t>(instant_now().wall)),
      timer_(io) {
  retune(config);
  const fleet::Records file = fleet::read_records(read_file(path_));
  try {
    for (const std::string& body : file.bodies) {
      const nlohmann::json whole = fleet::from_cbor(body);
      const auto wall = static_cast<Time>(fleet::number_of(fleet::at(whole, 0)));
      spread_.restore(steady_now(), fleet::bytes_in(fleet::at(whole, 1)), instant_now().wall - wall);
    }
  } catch (const fleet::Bad&) {
    log_event(LogLevel::kWarning, "access_parts_unreadable",
              "access: what was known of other relays' hits does not read; they will tell it again");
  }
}

size_t AccessLink::disk(const Config& config) {
  if (!config.fleet) return 0;
  std::error_code failed;
  return !config.access.empty() || std::filesystem::exists(path_in(config.state), failed)
             ? config.disk_bytes / 50
             : 0;
}

void AccessLink::retune(const Config& config) {
  most_ = config.disk_bytes / 100;
  described_ = access::describe(config.access);
  spread_.in_force(custody_.customers().in_force());
}

void AccessLink::join(FleetLink& fleet) {
  fleet_ = &fleet;
  fleet.wire().listen(kChannel,
                      [this](const std::string& from, std::string_view bytes) { heard(from, bytes); });
  spread_.start(steady_now());
  arm();
}

void AccessLink::leave() {
  if (fleet_ == nullptr) return;
  write();
  std::exchange(fleet_, nullptr)->wire().hush(kChannel);
  timer_.cancel();
}

void AccessLink::heard(const std::string& from, std::string_view bytes) {
  see_own();
  spread_.received(steady_now(), from, bytes);
  step();
}

void AccessLink::step() {
  for (const auto& message : spread_.take()) fleet_->wire().send(message.to, kChannel, message.bytes);
}

void AccessLink::arm() {
  timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, spread_.next() - steady_now())));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error || fleet_ == nullptr) return;
    see_own();
    spread_.peers(fleet_->live_peers());
    spread_.woke(steady_now());
    step();
    if (steady_now() - written_ >= kWriteEvery) write();
    arm();
  });
}

// From the first hit on there are some.
void AccessLink::see_own() {
  const JournalHits& own = custody_.journal().hits();
  if (own.begun()) spread_.own(own.folder(), own.counts());
}

void AccessLink::write() {
  written_ = steady_now();
  if (spread_.parts(written_).empty()) return;
  const std::string stored = spread_.stored(written_, most_);
  const std::string body =
      fleet::to_cbor({static_cast<uint64_t>(std::max<Time>(0, instant_now().wall)), fleet::bytes_of(stored)});
  const std::string bytes = fleet::framed(body);
  if (bytes.size() > most_ || !LastingFile(path_).replace(bytes)) ++unwritten_;
}

// ---- For staff ----

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
  const Time now = steady_now();
  const access::Counts all = spread_.fleet(now);
  const access::Counts& own = custody_.journal().hits().counts();
  const access::Keys& in_force = custody_.customers().in_force();
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
  for (const auto& [origin, part] : spread_.parts(now)) {
    out += "part age_ms=" + age_ms(now, part.fresh) + " hits=" + std::to_string(part.counts.total()) +
           " folder=" + hex(origin.number) + " own=" + (spread_.is_own(origin) ? "1" : "0") +
           " relay=" + plain(origin.relay) + "\n";
  }
  return out + "END\n";
}

std::string AccessLink::figures() {
  see_own();
  const Time now = steady_now();
  std::string out;
  const auto line = [&](const std::string& name, uint64_t value) {
    out += "access_" + name + " " + std::to_string(value) + "\n";
  };
  const access::Counts& own = custody_.journal().hits().counts();
  const access::Counts all = spread_.fleet(now);
  // Those hit most, one series each of own and fleet; the rest by customer.
  std::vector<std::pair<uint64_t, const access::RuleKey*>> order;
  for (const auto& [key, count] : all.by_rule()) order.emplace_back(count, &key);
  for (const auto& [key, count] : own.by_rule()) {
    if (all.of(key) == 0) order.emplace_back(count, &key);
  }
  std::ranges::sort(order, [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  });
  std::map<std::string, std::pair<uint64_t, uint64_t>> rest;
  const auto series = [&](const std::string& labels, uint64_t here, uint64_t fleet) {
    line("hits_total{" + labels + "}", here);
    line("fleet_hits_total{" + labels + "}", std::max(here, fleet));
  };
  for (size_t i = 0; i < order.size(); ++i) {
    const access::RuleKey& key = *order[i].second;
    const uint64_t here = own.of(key), fleet = all.of(key);
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
  for (const auto& [origin, part] : spread_.parts(now)) {
    if (part.fresh != access::Spread::kUnheard) oldest = std::max(oldest, now - part.fresh);
  }
  line("rules", custody_.customers().in_force().size());
  line("denied_total", custody_.denied());
  line("verdicts_remembered", custody_.customers().remembered());
  line("verdict_passes_total", custody_.customers().passes());
  line("limits", custody_.customers().limits().size());
  line("origins", spread_.parts(now).size());
  line("oldest_part_ms", static_cast<uint64_t>(oldest / 1000));
  line("exchanges_total", spread_.exchanges());
  line("messages_unreadable_total", spread_.dropped().unreadable);
  line("counts_no_room_total", spread_.dropped().no_room);
  line("hits_dropped_total", own.dropped());
  line("parts_unwritten_total", unwritten_);
  return out;
}

}  // namespace firspool::relay
