#include "policies.h"

#include <xxhash.h>

#include <algorithm>
#include <fstream>

#include "../ctl/ask.h"
#include "rule_plan.h"

namespace umberhoist::lab {
namespace {

constexpr double kEvery = 0.3;  // seconds between two looks
constexpr int kLookedAt = 9;    // generations at once
constexpr double kGiveUp = 4;   // of a marker; each generation's differs, as a rename would be turned down
constexpr size_t kBody = 100;

}  // namespace

nlohmann::json marker_class(int generation) {
  return {{"name", "m" + std::to_string(generation)},
          {"semantics", "safe"},
          {"key_scope", "all"},
          {"key_ttl_s", 15.0},
          {"target_s", 1.0},
          {"give_up_s", kGiveUp + 0.01 * generation},
          {"worth", 1.0},
          {"late_worth", 0.1}};
}

void Policies::start() {
  for (int r = 0; r < static_cast<int>(fleet_.size()); ++r) mark(r);
}

// The last two that were seen in force, and all that were proposed after.
std::vector<int> Policies::candidates() const {
  std::vector<std::pair<double, int>> seen;
  for (const auto& [generation, first] : world_.oracles.policy.seen().first)
    seen.emplace_back(first, generation);
  std::ranges::sort(seen, std::greater<>());
  std::vector<int> out;
  for (size_t i = 0; i < std::min<size_t>(2, seen.size()); ++i) out.push_back(seen[i].second);
  const int newest = out.empty() ? -1 : out.front();
  for (int g = last_; g > newest && static_cast<int>(out.size()) < kLookedAt; --g) {
    if (std::ranges::find(out, g) == out.end()) out.push_back(g);
  }
  return out;
}

void Policies::mark(int r) {
  if (over_) return;
  for (const int g : candidates()) {
    if (fleet_.serving(r)) hand_in(r, g);
  }
  world_.after(kEvery * (0.5 + world_.unit()), [this, r] { mark(r); });
}

void Policies::hand_in(int relay, int generation) {
  const std::string id = hex(world_.chance());
  const double sent = world_.now(), due = sent + kGiveUp;
  const int destination = static_cast<int>(world_.chance() % world_.plan.partners.size());
  std::string facts = "c=m" + std::to_string(generation);
  const std::string customer = world_.scenario.customers().back().name;
  facts += ",t=" + customer;
  facts += ",d=" + std::to_string(static_cast<int>(kGiveUp * 1000)) + ",dest=" + std::to_string(destination);
  const std::string body = std::string(kBody, ' ');
  HandIn hand;
  hand.relay = relay;
  hand.effect = Effect::kSafe;
  hand.destination = destination;
  hand.due = due;
  hand.body = XXH64(body.data(), body.size(), 0);
  world_.oracles.handed_in(id, std::move(hand));
  world_.parts.handed_in(
      sent, id, relay,
      {customer, "m" + std::to_string(generation), destination, zone_name(world_.scenario.zone_of(relay))});
  auto connection = std::make_shared<RespConnection>(world_);
  const std::string request = resp({"MSG.PUT", "0000000000000000", id, facts, body});
  connection->open(fleet_.address(relay), [this, relay, generation, id, request, connection](bool up) {
    if (!up) return world_.oracles.answered(world_.now(), id, Answer::kGone);
    const double asked = world_.now();
    connection->ask(
        request, [this, relay, generation, id, connection, asked](const std::string& line, bool timed_out) {
          const double now = world_.now();
          connection->close();
          const bool taken = line.starts_with("+");
          const Answer how = taken                       ? Answer::kTaken
                             : line.starts_with("-BUSY") ? Answer::kRefused
                             : !line.empty()             ? Answer::kFailed
                             : timed_out                 ? Answer::kSilent
                             : fleet_.away(relay)        ? Answer::kGone
                                                         : Answer::kClosed;
          world_.oracles.answered(now, id, how);
          world_.parts.answered(now, id, line);
          if (!taken) return;
          world_.oracles.policy.acted(now, asked, relay, generation);
          world_.parts.acted(now, asked, relay, generation);
        });
  });
}

int Policies::serving_from(int relay) const {
  for (int n = 0; n < static_cast<int>(fleet_.size()); ++n) {
    const int r = (relay + n) % static_cast<int>(fleet_.size());
    if (fleet_.serving(r)) return r;
  }
  return -1;
}

void Policies::propose(const std::vector<int>& relays, const std::string& state) {
  for (const int wanted : relays) {
    const int r = serving_from(wanted);
    if (r < 0) continue;
    const int generation = ++last_;
    PartOracles& parts = world_.parts;
    parts.proposed(world_.now(), generation,
                   next_policy(world_.scenario, world_.plan.seed, generation, parts.newest(), state));
    const std::string path = folder_ + "/policy-" + std::to_string(generation) + ".json";
    std::ofstream(path) << fleet_.config_of(r, generation).dump(1);
    const std::string id = "g" + std::to_string(generation);
    try {
      const auto reply = ctl::ask(text_of(fleet_.second_address(r)), "POLICY PROPOSE " + id + " " + path);
      if (!reply.ok) turned_down(generation, reply.first);
      world_.oracles.policy.proposed(world_.now(), generation);
      if (state == "aborted")
        (void)ctl::ask(text_of(fleet_.second_address(serving_from(r + 1))), "POLICY ABORT " + id);
    } catch (const std::exception&) {
      world_.figures.policy_turned_down();
    }
  }
}

void Policies::turned_down(int generation, const std::string& why) {
  world_.figures.policy_turned_down();
  world_.parts.never(generation);
  std::fprintf(stderr, "policy %d was turned down: %s\n", generation, why.c_str());
}

void Policies::finish() {
  over_ = true;
  for (int r = 0; r < static_cast<int>(fleet_.size()); ++r) {
    if (!fleet_.serving(r)) continue;
    try {
      const auto reply = ctl::ask(text_of(fleet_.second_address(r)), "POLICY HISTORY");
      for (const std::string& line : reply.lines) {
        if (!line.starts_with("g")) continue;
        const bool in_force = line.find(" in_force ") != std::string::npos;
        const int generation = std::atoi(line.c_str() + 1);
        world_.oracles.policy.change_ended(world_.now(), r, generation, in_force);
        if (!in_force) world_.parts.never(generation);
      }
    } catch (const std::exception&) {
      continue;
    }
    world_.oracles.policy.acts_at_end(world_.now(), r);
  }
  const auto& seen = world_.oracles.policy.seen();
  world_.figures.policy(seen.longest_mix, seen.slowest, static_cast<int>(seen.first.size()) - 1);
}

}  // namespace umberhoist::lab
