#include "scenario.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <sstream>

namespace umberhoist::lab {
namespace {

// Reads a table's keys; what nobody asked for is unknown.
class Reader {
 public:
  Reader(const toml::table& table, std::string at) : table_(table), at_(std::move(at)) {}

  void number(const char* key, double& out) {
    if (const toml::node* node = take(key)) {
      const auto value = node->value<double>();
      if (!value || !std::isfinite(*value)) throw Unusable(path(key) + " is not a number");
      if (*value < 0) throw Unusable(path(key) + " is below 0");
      out = *value;
    }
  }
  void number(const char* key, int& out) {
    double value = out;
    number(key, value);
    if (value != std::floor(value) || value > 1e6) throw Unusable(path(key) + " is not a whole number");
    out = static_cast<int>(value);
  }
  void range(const char* key, Range& out, bool below_zero = false) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    if (const toml::array* pair = node->as_array()) {
      if (pair->size() != 2) throw Unusable(path(key) + " is not [LOW, HIGH]");
      out = {value_of(*pair->get(0), key), value_of(*pair->get(1), key)};
    } else {
      out.low = out.high = value_of(*node, key);
    }
    if (out.low > out.high) throw Unusable(path(key) + " has its low above its high");
    if (out.low < 0 && !below_zero) throw Unusable(path(key) + " is below 0");
  }
  void text(const char* key, std::string& out, const std::set<std::string>& allowed = {}) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    const auto value = node->value<std::string>();
    if (!value) throw Unusable(path(key) + " is not a text");
    if (!allowed.empty() && !allowed.contains(*value)) {
      throw Unusable(path(key) + " is \"" + *value + "\", which is not known");
    }
    out = *value;
  }
  void flag(const char* key, bool& out) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    const auto value = node->value<bool>();
    if (!value) throw Unusable(path(key) + " is not true or false");
    out = *value;
  }
  // Each table of a list.
  template <typename Each>
  void tables(const char* key, Each each) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    const toml::array* list = node->as_array();
    if (list == nullptr) throw Unusable(path(key) + " is not a list of tables");
    for (size_t i = 0; i < list->size(); ++i) {
      const toml::table* item = list->get(i)->as_table();
      const std::string at = path(key) + "." + std::to_string(i);
      if (item == nullptr) throw Unusable(at + " is not a table");
      Reader reader(*item, at);
      each(reader);
      reader.finish();
    }
  }
  template <typename Each>
  void table(const char* key, Each each) {
    const toml::node* node = take(key);
    if (node == nullptr) return;
    if (node->as_table() == nullptr) throw Unusable(path(key) + " is not a table");
    Reader reader(*node->as_table(), path(key));
    each(reader);
    reader.finish();
  }
  void finish() const {
    for (const auto& [key, node] : table_) {
      if (!taken_.contains(std::string(key.str()))) {
        throw Unusable("unknown key " + path(std::string(key.str())));
      }
    }
  }

 private:
  const toml::node* take(const char* key) {
    taken_.insert(key);
    return table_.get(key);
  }
  double value_of(const toml::node& node, const char* key) const {
    const auto value = node.value<double>();
    if (!value || !std::isfinite(*value)) throw Unusable(path(key) + " is not a number");
    return *value;
  }
  std::string path(const std::string& key) const { return at_.empty() ? key : at_ + "." + key; }

  const toml::table& table_;
  std::string at_;
  std::set<std::string> taken_;
};

void read_fault(Reader& in, FaultSpec& out) {
  in.text("kind", out.kind,
          {"kill", "term", "stop", "roll", "partner", "limit", "drain", "discovery", "surge", "hot", "net",
           "disk", "policy"});
  if (out.kind.empty()) throw Unusable("a fault has no kind");
  in.text("state", out.state,
          {"down", "silent", "hung", "slow", "lossy", "errors", "shut", "mute", "late", "aborted"});
  in.text("folder", out.folder, {"kept", "emptied", "torn"});
  in.text("direction", out.direction, {"both", "one"});
  in.range("at_s", out.at_s);
  in.range("for_s", out.for_s);
  in.range("share", out.share);
  in.range("count", out.count);
  in.range("factor", out.factor);
  in.range("every_s", out.every_s);
  in.range("loss", out.loss);
  in.range("delay_ms", out.delay_ms);
  in.range("duplicate", out.duplicate);
  in.range("reorder", out.reorder);
  in.number("stream", out.stream);
  if (out.kind == "partner" && out.state.empty()) throw Unusable("a partner's fault has no state");
  if (out.kind == "discovery" && out.state != "mute" && out.state != "late") {
    throw Unusable("a fault of discovery is mute or late");
  }
}

const std::vector<ClassSpec> kClasses = {
    {"session-record", "keyed", 0.59, 4, 28, 1, 0.5, 15, false},
    {"session-status", "safe", 0.41, 1, 5, 3, 0.1, 0, true},
};
const std::vector<TenantSpec> kTenants = {
    {"drava-polni", 0.45}, {"kras-energija", 0.33}, {"savinja-tok", 0.22}};

// `count` of `all`, or their share, in the order that chance gives.
std::vector<int> pick(const FaultSpec& spec, int all, Chance& chance) {
  const double share = spec.share.draw(chance);
  const double count = share > 0 ? std::round(share * all) : std::floor(spec.count.draw(chance) + 0.5);
  std::vector<int> out(static_cast<size_t>(all));
  std::iota(out.begin(), out.end(), 0);
  std::shuffle(out.begin(), out.end(), chance);
  out.resize(static_cast<size_t>(std::clamp<double>(count, share > 0 ? 0 : 1, all)));
  return out;
}

template <typename Items, typename Weight>
int weighted(const Items& items, Weight weight, Chance& chance) {
  double sum = 0;
  for (const auto& item : items) sum += weight(item);
  double at = std::uniform_real_distribution<double>(0, sum)(chance);
  for (size_t i = 0; i < items.size(); ++i) {
    at -= weight(items[i]);
    if (at < 0) return static_cast<int>(i);
  }
  return static_cast<int>(items.size()) - 1;
}

void draw_messages(const Scenario& s, Plan& plan, Chance& chance) {
  // Surges and hot partners are part of the load: they are known before the play.
  const auto rate_at = [&](double t) {
    double rate = s.load.rate;
    for (const Fault& f : plan.faults) {
      if (f.kind == "surge" && t >= f.at && t < f.at + f.lasts) rate *= f.factor;
    }
    return rate;
  };
  std::exponential_distribution<double> gap(1);
  std::uniform_real_distribution<double> unit(0, 1);
  for (double t = 0; t < s.length_s;) {
    t += gap(chance) / std::max(0.1, rate_at(t));
    if (t >= s.length_s) break;
    PlannedMessage m;
    m.at = t;
    m.message_class = weighted(
        s.classes, [](const ClassSpec& c) { return c.share; }, chance);
    m.tenant = weighted(
        s.tenants, [](const TenantSpec& c) { return c.share; }, chance);
    const bool large = s.classes[static_cast<size_t>(m.message_class)].large_only;
    m.destination = weighted(
        plan.partners, [&](const PlannedPartner& p) { return large && !p.large ? 0 : p.weight; }, chance);
    for (const Fault& f : plan.faults) {
      if (f.kind != "hot" || t < f.at || t >= f.at + f.lasts || unit(chance) >= f.factor) continue;
      const int hot = f.targets.front();
      if (!large || plan.partners[static_cast<size_t>(hot)].large) m.destination = hot;
    }
    plan.messages.push_back(m);
    if (s.load.clump_share <= 0) continue;
    const double limit = plan.partners[static_cast<size_t>(m.destination)].limit;
    const int more = std::max(1, static_cast<int>(limit * s.load.clump_s));
    if (unit(chance) * (more + 1) >= s.load.clump_share) continue;
    for (int i = 0; i < more; ++i) plan.messages.push_back(m);
  }
}

}  // namespace

toml::table load_table(const std::string& path, const std::vector<std::string>& set) {
  toml::table table;
  try {
    table = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream line;
    line << path << ": " << error.description() << " (line " << error.source().begin.line << ")";
    throw Unusable(line.str());
  }
  for (const std::string& item : set) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos) throw Unusable("--set " + item + " is not KEY=VALUE");
    const std::string key = item.substr(0, equals);
    const std::string value = item.substr(equals + 1);
    toml::table given;
    try {
      given = toml::parse("v = " + value);
    } catch (const toml::parse_error&) {  // a word without quotes
      given.insert_or_assign("v", value);
    }
    toml::node* at = &table;
    std::string rest = key;
    for (size_t dot; (dot = rest.find('.')) != std::string::npos; rest.erase(0, dot + 1)) {
      const std::string part = rest.substr(0, dot);
      if (toml::array* list = at->as_array()) {
        const size_t index = std::strtoul(part.c_str(), nullptr, 10);
        if (index >= list->size()) throw Unusable("--set " + key + ": there is no " + part);
        at = list->get(index);
      } else if (toml::table* inner = at->as_table()) {
        if (inner->get(part) == nullptr) inner->insert(part, toml::table{});
        at = inner->get(part);
      }
    }
    if (at->as_table() == nullptr) throw Unusable("--set " + key + " has no place");
    at->as_table()->insert_or_assign(rest, *given.get("v"));
  }
  return table;
}

Scenario read_scenario(const toml::table& table) {
  Scenario out;
  Reader in(table, "");
  in.text("name", out.name);
  in.text("what", out.what);
  in.number("length_s", out.length_s);
  in.number("settle_s", out.settle_s);
  in.number("relays", out.relays);
  in.flag("fleet", out.fleet);
  in.table("load", [&](Reader& r) {
    r.number("rate", out.load.rate);
    r.number("clump_share", out.load.clump_share);
    r.number("clump_s", out.load.clump_s);
    r.number("impatient", out.load.impatient);
    r.number("retries", out.load.retries);
    r.number("backoff_s", out.load.backoff_s);
    r.number("honour", out.load.honour);
    r.range("notice_s", out.load.notice_s);
    r.number("body_bytes", out.load.body_bytes);
  });
  in.table("partners", [&](Reader& r) {
    PartnerSpec& p = out.partners;
    r.number("count", p.count);
    r.number("large_share", p.large_share);
    r.range("endpoints", p.endpoints);
    r.range("pace_s", p.pace_s);
    r.number("pace_sigma", p.pace_sigma);
    r.number("headroom", p.headroom);
    r.number("least_limit", p.least_limit);
    r.number("queue", p.queue);
    r.number("connections", p.connections);
    r.number("told_share", p.told_share);
    r.range("wait_s", p.wait_s);
    r.number("report_s", p.report_s);
    r.number("start_capacity", p.start_capacity);
    r.number("cold_s", p.cold_s);
    r.number("fall_s", p.fall_s);
    r.number("fall_multiple", p.fall_multiple);
    r.number("drain_grace_s", p.drain_grace_s);
  });
  in.table("relay", [&](Reader& r) {
    RelaySpec& p = out.relay;
    r.number("slots_factor", p.slots_factor);
    r.number("hold_s", p.hold_s);
    r.number("memory_mb", p.memory_mb);
    r.number("sockets", p.sockets);
    r.number("disk_mb", p.disk_mb);
    r.number("ready_s", p.ready_s);
    r.range("wall_offset_s", p.wall_offset_s, true);
    r.text("isolated", p.isolated, {"refuse", "serve"});
    r.text("other", p.other);
    r.number("others", p.others);
  });
  in.table("sim", [&](Reader& r) {
    r.text("protocol", out.sim.protocol, {"heartbeat", "membership", "agreement"});
    r.number("period_ms", out.sim.period_ms);
    r.flag("plain", out.sim.plain);
    r.number("changes", out.sim.changes);
    r.number("deaths", out.sim.deaths);
    r.flag("rivals", out.sim.rivals);
  });
  in.tables("class", [&](Reader& r) {
    ClassSpec c;
    r.text("name", c.name);
    r.text("effect", c.effect, {"safe", "keyed", "unsafe"});
    r.number("share", c.share);
    r.number("target_s", c.target_s);
    r.number("give_up_s", c.give_up_s);
    r.number("worth", c.worth);
    r.number("late_worth", c.late_worth);
    r.number("key_ttl_s", c.key_ttl_s);
    r.flag("large_only", c.large_only);
    out.classes.push_back(c);
  });
  in.tables("tenant", [&](Reader& r) {
    TenantSpec t;
    r.text("name", t.name);
    r.number("share", t.share);
    out.tenants.push_back(t);
  });
  in.tables("fault", [&](Reader& r) {
    FaultSpec f;
    f.stream = static_cast<int>(out.faults.size());
    read_fault(r, f);
    out.faults.push_back(f);
  });
  in.finish();
  if (out.classes.empty()) out.classes = kClasses;
  if (out.tenants.empty()) out.tenants = kTenants;
  if (out.name.empty()) throw Unusable("name is missing");
  if (out.relays < 1 || out.relays > 3000) throw Unusable("relays is not between 1 and 3000");
  if (out.partners.count < 1 || out.partners.count > 200)
    throw Unusable("partners.count is not between 1 and 200");
  if (out.length_s < 1 || out.length_s > 3600) throw Unusable("length_s is not between 1 and 3600");
  if (out.load.rate <= 0 || out.load.rate > 5000) throw Unusable("load.rate is not above 0 and up to 5000");
  if (out.partners.endpoints.low < 1) throw Unusable("partners.endpoints is below 1");
  if (out.partners.pace_s.low <= 0) throw Unusable("partners.pace_s is not above 0");
  if (out.partners.headroom <= 0) throw Unusable("partners.headroom is not above 0");
  if (out.sim.period_ms < 1) throw Unusable("sim.period_ms is below 1");
  if (out.relay.others > 0 && out.relay.other.empty()) {
    throw Unusable("relay.other names no program (--set relay.other=PROGRAM)");
  }
  for (const ClassSpec& c : out.classes) {
    if (c.name.empty() || c.effect.empty()) throw Unusable("a class has no name or no effect");
    if (c.give_up_s <= 0) throw Unusable("class " + c.name + " has no give_up_s");
  }
  return out;
}

bool Scenario::changes_policy() const {
  return std::ranges::any_of(faults, [](const FaultSpec& f) { return f.kind == "policy"; });
}

bool Fault::of_partners() const {
  return kind == "partner" || kind == "limit" || kind == "hot" || kind == "drain";
}

std::string Fault::text() const {
  std::ostringstream out;
  out << kind;
  if (!state.empty()) out << " " << state;
  if (kind == "kill" || kind == "term" || kind == "roll") out << ", folder " << folder;
  if (factor != 1) out << " x" << std::round(factor * 100) / 100;
  if (loss > 0) out << ", loss " << std::round(loss * 100) << "%";
  if (delay > 0) out << ", delay " << std::round(delay * 1000) << " ms";
  if (!targets.empty()) {
    out << " of " << (of_partners() ? "partners" : "relays");
    for (size_t i = 0; i < targets.size(); ++i) {
      if (i == 8) {
        out << " and " << targets.size() - i << " more";
        break;
      }
      out << " " << targets[i];
    }
  }
  if (lasts > 0) out << " for " << std::round(lasts * 10) / 10 << " s";
  return out.str();
}

Plan draw(const Scenario& s, uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  Chance world(seed, 1);
  const int large = std::max(1, static_cast<int>(std::round(s.partners.large_share * s.partners.count)));
  for (int i = 0; i < s.partners.count; ++i) {
    PlannedPartner p;
    p.large = i < large;
    p.endpoints = static_cast<int>(std::floor(s.partners.endpoints.draw(world) + 0.5));
    p.pace = s.partners.pace_s.draw(world);
    p.weight = std::uniform_real_distribution<double>(0.5, 1.5)(world);
    plan.partners.push_back(p);
  }
  // Large ones get 60% of what may go anywhere, and all of what goes to large ones only.
  double large_sum = 0, small_sum = 0, anywhere = 0, all = 0;
  for (const PlannedPartner& p : plan.partners) (p.large ? large_sum : small_sum) += p.weight;
  for (const ClassSpec& c : s.classes) {
    all += c.share;
    if (!c.large_only) anywhere += c.share;
  }
  const double large_part = small_sum > 0 ? 0.6 : 1.0;
  for (PlannedPartner& p : plan.partners) {
    p.weight *= p.large ? large_part / large_sum : (1 - large_part) / small_sum;
    const double own =
        p.large ? p.weight / large_part * (large_part * anywhere + all - anywhere) : p.weight * anywhere;
    p.limit = std::max(s.partners.least_limit, s.load.rate * own / all * s.partners.headroom);
  }
  for (int i = 0; i < s.relays; ++i) plan.wall_offset.push_back(s.relay.wall_offset_s.draw(world));
  for (const FaultSpec& spec : s.faults) {
    Chance chance(seed, 1000 + static_cast<uint64_t>(spec.stream));
    Fault f;
    f.kind = spec.kind;
    f.state = spec.state;
    f.folder = spec.folder;
    f.at = spec.at_s.draw(chance);
    f.lasts = spec.for_s.draw(chance);
    f.factor = spec.factor.draw(chance);
    f.loss = spec.loss.draw(chance);
    f.delay = spec.delay_ms.draw(chance) / 1000;
    f.duplicate = spec.duplicate.draw(chance);
    f.reorder = spec.reorder.draw(chance);
    f.one_way = spec.direction == "one";
    const bool partners = f.of_partners();
    if (f.kind != "surge") f.targets = pick(spec, partners ? s.partners.count : s.relays, chance);
    if (f.kind != "roll") {
      plan.faults.push_back(f);
      continue;
    }
    // One relay after the other; every second one by SIGKILL.
    const double every = spec.every_s.draw(chance);
    for (size_t i = 0; i < f.targets.size(); ++i) {
      Fault one = f;
      one.kind = i % 2 == 0 ? "term" : "kill";
      one.at = f.at + every * static_cast<double>(i);
      one.targets = {f.targets[i]};
      plan.faults.push_back(one);
    }
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  Chance arrivals(seed, 2);
  draw_messages(s, plan, arrivals);
  return plan;
}

uint64_t Plan::digest() const {
  std::ostringstream out;
  out.precision(17);
  for (const PlannedPartner& p : partners) out << p.endpoints << ' ' << p.pace << ' ' << p.limit << '\n';
  for (const Fault& f : faults) out << f.at << ' ' << f.lasts << ' ' << f.text() << '\n';
  for (const PlannedMessage& m : messages)
    out << m.at << ' ' << m.message_class << ' ' << m.destination << '\n';
  const std::string text = out.str();
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace umberhoist::lab
