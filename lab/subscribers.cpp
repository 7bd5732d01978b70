#include "subscribers.h"

#include <algorithm>

namespace umberhoist::lab {
namespace {

constexpr double kWithin = 3;        // seconds, for an answer
constexpr double kOlderWithin = 12;  // an older session's relay may stand still
constexpr size_t kSnapshots = 6;

bool at_least(const Position& at, const Position& other) {
  return std::ranges::all_of(other, [&](const auto& entry) {
    const auto it = at.find(entry.first);
    return it != at.end() && it->second >= entry.second;
  });
}

}  // namespace

Subscribers::Subscribers(World& world, const Fleet& fleet, FeedExact& oracle)
    : world_(world), fleet_(fleet), oracle_(oracle) {
  const Scenario& s = world.scenario;
  for (const TenantSpec& tenant : s.customers()) {
    for (int i = 0; i < s.feeds.subscriptions; ++i) {
      auto one = std::make_unique<One>();
      one->customer = tenant.name;
      one->subscription = feed_name(i);
      one->name = one->customer + "/" + one->subscription;
      for (const std::string& zone : s.regions_of(i)) one->regions.insert(zone);
      all_.push_back(std::move(one));
    }
  }
}

Subscribers::~Subscribers() { stop(); }

void Subscribers::start() {
  for (const auto& one : all_) connect(*one);
}

void Subscribers::stop() {
  over_ = true;
  for (const auto& one : all_) {
    ++one->life;
    if (one->client) one->client->close();
    if (one->older) one->older->client->close();
  }
}

void Subscribers::tell(Figures& figures) const {
  figures.add("feed_sessions", static_cast<double>(sessions_));
  figures.add("feed_reopen_s_slowest", slowest_);
  for (const auto& [code, count] : codes_) figures.add("feed_refused, " + code, static_cast<double>(count));
}

bool Subscribers::caught_up(double until) {
  return std::ranges::all_of(all_, [&](const auto& one) {
    return removed(*one) || (one->known && oracle_.owed(one->name, until) == 0);
  });
}

bool Subscribers::removed(One& one) {
  if (!one.off && world_.parts.newest().removed.contains(one.customer)) {
    one.off = true;
    if (one.known) oracle_.released(one.name);
  }
  return one.off;
}

void Subscribers::resubscribe(double share) {
  for (const auto& one : all_) {
    if (world_.unit() < share) die(*one);
  }
}

int Subscribers::pick(int but) const {
  std::vector<int> from;
  for (int r = 0; r < static_cast<int>(fleet_.size()); ++r) {
    if (fleet_.serving(r) && r != but) from.push_back(r);
  }
  if (from.empty()) return but >= 0 && fleet_.serving(but) ? but : -1;
  return from[std::uniform_int_distribution<size_t>(0, from.size() - 1)(world_.chance)];
}

void Subscribers::again(One& one, double after) {
  if (over_ || one.off) return;
  if (one.client) one.client->close();
  world_.after(after, [this, &one, life = one.life] {
    if (one.life == life && !over_) connect(one);
  });
}

void Subscribers::connect(One& one) {
  ++one.life;
  const int relay = pick(one.relay);
  if (relay < 0) return again(one, 0.2);
  one.relay = relay;
  one.client = std::make_shared<FeedClient>(world_);
  one.client->open(fleet_.address(relay), [this, &one, life = one.life](bool up) {
    if (one.life != life || over_) return;
    if (!up) return again(one, 0.1);
    open(one);
  });
}

void Subscribers::ask(One& one, const std::vector<std::string>& words, Then then) {
  one.client->ask(words, kWithin, [this, &one, life = one.life, then](const FeedClient::Reply& reply) {
    if (one.life == life && !over_) then(reply);
  });
}

// Refused, or nobody answered: somewhere else.
void Subscribers::refused(One& one, const FeedClient::Reply& reply) {
  if (reply.kind != 0) ++codes_[code_of(reply)];
  if (removed(one)) return;
  again(one, 0.1 + 0.3 * world_.unit());
}

void Subscribers::open(One& one) {
  std::vector<std::string> words = {"FEED.OPEN", one.customer, one.subscription};
  const bool may_show_none = !one.known || at_least(oracle_.position(one.name), one.shown);
  const bool shown = one.known && !(may_show_none && world_.unit() < world_.scenario.feeds.no_cursor);
  if (shown) show(one);
  if (shown) words.push_back(one.state.cursor);
  ask(one, words, [this, &one, shown](const FeedClient::Reply& reply) {
    const std::optional<FeedOpened> answer = read_opened(reply);
    if (!answer) return refused(one, reply);
    opened(one, *answer, shown);
  });
}

// The fleet remembers it from now on, whether or not its answer comes.
void Subscribers::show(One& one) {
  for (const auto& [origin, number] : oracle_.position(one.name)) {
    one.shown[origin] = std::max(one.shown[origin], number);
  }
}

void Subscribers::opened(One& one, const FeedOpened& reply, bool shown) {
  const double now = world_.now();
  ++sessions_;
  slowest_ = std::max(slowest_, now - one.lost_at);
  one.session = reply.session;
  if (!one.known) oracle_.subscribed(now, one.name, one.customer, one.regions);
  // The first time it takes the feed as it stands: others may have had it before.
  const size_t before = oracle_.history(one.name);
  if (one.known) oracle_.opened(now, one.name, one.relay, reply.from, reply.gaps, shown);
  if (oracle_.history(one.name) < before) one.snapshots.clear();  // it goes on from what it acknowledged
  one.known = true;
  one.state = {reply.cursor, oracle_.history(one.name)};
  if (one.older) let_older_speak(one);
  live(one);
  read(one);
}

// The older session does not know that it is fenced: it acknowledges.
void Subscribers::let_older_speak(One& one) {
  const Older older = *std::exchange(one.older, std::nullopt);
  if (!older.client->open() || older.client->busy()) return;
  older.client->ask({"FEED.ACK", older.session, older.cursor}, kOlderWithin,
                    [this, name = one.name, older](const FeedClient::Reply& reply) {
                      older.client->close();
                      if (reply.kind == 0) return;
                      oracle_.acknowledged(world_.now(), name, older.relay, {}, reply.kind == '+');
                    });
}

void Subscribers::live(One& one) {
  const double mean = world_.scenario.feeds.dies_s;
  if (mean <= 0) return;
  const double lasts = std::exponential_distribution<double>(1 / mean)(world_.chance);
  world_.after(std::max(0.3, lasts), [this, &one, life = one.life] {
    if (one.life == life && !over_) die(one);
  });
}

void Subscribers::die(One& one) {
  if (over_ || removed(one)) return;
  const FeedSpec& spec = world_.scenario.feeds;
  one.lost_at = world_.now();
  if (one.known && !one.session.empty() && !one.older && world_.unit() < spec.twice) {
    one.older = Older{one.client, one.relay, one.session, one.state.cursor};
    one.client = nullptr;
  } else if (one.client) {
    one.client->close();
  }
  one.session.clear();
  if (!one.snapshots.empty() && world_.unit() < spec.old_cursor) {
    one.state =
        one.snapshots[std::uniform_int_distribution<size_t>(0, one.snapshots.size() - 1)(world_.chance)];
    oracle_.went_back(one.name, one.state.history);
    std::erase_if(one.snapshots, [&](const Saved& s) { return s.history > one.state.history; });
  }
  connect(one);
}

void Subscribers::read(One& one) {
  const auto most = std::to_string(world_.scenario.feeds.batch);
  ask(one, {"FEED.READ", one.session, one.state.cursor, most}, [this, &one](const FeedClient::Reply& reply) {
    const std::optional<FeedBatch> batch = read_batch(reply);
    if (!batch) return refused(one, reply);
    took(one, *batch);
  });
}

void Subscribers::took(One& one, const FeedBatch& batch) {
  const size_t before = oracle_.history(one.name);
  oracle_.gave(world_.now(), one.name, one.relay, batch.outcomes, batch.gaps);
  one.state = {batch.cursor, oracle_.history(one.name)};
  if (one.state.history > before && world_.unit() < 0.3) {
    if (one.snapshots.size() >= kSnapshots) one.snapshots.erase(one.snapshots.begin());
    one.snapshots.push_back(one.state);
  }
  const auto on = [this, &one, more = !batch.outcomes.empty()] {
    world_.after(more ? 0.02 : world_.scenario.feeds.poll_s, [this, &one, life = one.life] {
      if (one.life == life && !over_) read(one);
    });
  };
  if (batch.outcomes.empty() || world_.unit() >= world_.scenario.feeds.acked) return on();
  acknowledge(one, on);
}

void Subscribers::acknowledge(One& one, std::function<void()> then) {
  const Position at = oracle_.position(one.name);
  show(one);
  ask(one, {"FEED.ACK", one.session, one.state.cursor},
      [this, &one, at, then = std::move(then)](const FeedClient::Reply& reply) {
        if (reply.kind != '+') return refused(one, reply);
        oracle_.acknowledged(world_.now(), one.name, one.relay, at, false);
        then();
      });
}

}  // namespace umberhoist::lab
