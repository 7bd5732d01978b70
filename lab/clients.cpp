#include "clients.h"

#include "request.h"

namespace umberhoist::lab {
namespace {

using Error = boost::system::error_code;

constexpr Range kLostAfter = {0.81, 2.0};  // what a lost machine held comes again
constexpr int kMostIdle = 64;

}  // namespace

Clients::Clients(World& world, Fleet& fleet)
    : world_(world),
      fleet_(fleet),
      messages_(world.plan.messages.size()),
      alive_(fleet.size(), true),
      lives_(fleet.size(), 0),
      idle_(fleet.size()),
      timer_(world.io) {
  world.delivered = [this](const std::string& id) { delivered(id); };
  world.noticed = [this](const std::string& id, bool returned, double after) {
    noticed(id, returned, after);
  };
  fleet.up = [this](int relay) {
    ++lives_[static_cast<size_t>(relay)];
    alive_[static_cast<size_t>(relay)] = true;
  };
  fleet.went = [this](int relay) {
    const size_t r = static_cast<size_t>(relay);
    const int life = ++lives_[r];
    world_.after(world_.scenario.load.notice_s.draw(world_.chance), [this, r, life] {
      if (lives_[r] == life) alive_[r] = false;
    });
  };
  fleet.lost = [this](int relay) { lost(relay); };
}

Clients::~Clients() {
  for (auto& pool : idle_) {
    for (const auto& connection : pool) connection->close();
  }
}

void Clients::start() {
  for (size_t r = 0; r < alive_.size(); ++r) alive_[r] = fleet_.serving(static_cast<int>(r));
  arrive();
}

void Clients::arrive() {
  const auto& planned = world_.plan.messages;
  while (next_ < planned.size() && planned[next_].at <= world_.now()) {
    const size_t m = next_++;
    ++open_;
    messages_[m].key = hex(world_.chance());
    world_.figures.asked(m);
    hand_in(m, false, false);
  }
  if (next_ >= planned.size()) return;
  timer_.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(std::max(0.0, planned[next_].at - world_.now()))));
  timer_.async_wait([this](const Error& error) {
    if (!error) arrive();
  });
}

int Clients::pick() {
  std::vector<int> from;
  for (size_t i = 0; i < alive_.size(); ++i) {
    if (alive_[i]) from.push_back(static_cast<int>(i));
  }
  if (from.empty()) return -1;
  return from[std::uniform_int_distribution<size_t>(0, from.size() - 1)(world_.chance)];
}

double Clients::back_off(int tries) {
  return world_.scenario.load.backoff_s * std::pow(2.0, std::max(0, tries - 1)) * (0.5 + world_.unit());
}

void Clients::hand_in(size_t m, bool refused, bool silent) {
  Message& message = messages_[m];
  if (message.over) return;
  const PlannedMessage& planned = world_.plan.messages[m];
  const ClassSpec& c = world_.scenario.classes[static_cast<size_t>(planned.message_class)];
  const double now = world_.now();
  const double due = planned.at + c.give_up_s;
  if (now >= due - 0.001) return finish(m);
  const int relay = pick();
  if (relay < 0) return again(m, 0.2, false, false);
  Wanted wanted;
  wanted.relay = relay;
  wanted.message_class = planned.message_class;
  wanted.tenant = planned.tenant;
  wanted.destination = planned.destination;
  wanted.due = due;
  wanted.key = message.key;
  wanted.refused = refused;
  wanted.silent = silent;
  Request request = make_request(world_, wanted);
  auto one = std::make_shared<Try>();
  one->message = m;
  one->relay = relay;
  one->id = std::move(request.id);
  one->request = std::move(request.bytes);
  tries_[one->id] = one;
  if (refused || silent) ++message.tries;
  send(one, false);
}

void Clients::send(const std::shared_ptr<Try>& one, bool fresh) {
  auto& pool = idle_[static_cast<size_t>(one->relay)];
  const auto ask = [this, one](const std::shared_ptr<RespConnection>& connection, bool kept) {
    if (world_.scenario.load.impatient > 0 && world_.unit() < world_.scenario.load.impatient) {
      world_.after(0.2 * world_.unit(), [connection] { connection->close(); });
      world_.figures.withdrawn(one->message);
      finish(one->message);
    }
    connection->ask(one->request, [this, one, connection, kept](const std::string& line, bool timed_out) {
      if (!line.empty()) {
        auto& free = idle_[static_cast<size_t>(one->relay)];
        if (connection->open() && static_cast<int>(free.size()) < kMostIdle) free.push_back(connection);
        return heard(one, line);
      }
      if (timed_out) return unheard(one, Answer::kSilent);
      // The close crossed the request: it goes once more, on a new connection.
      if (kept && !one->resent && fleet_.serving(one->relay)) {
        one->resent = true;
        world_.parts.sent_again(one->id);
        return send(one, true);
      }
      const bool left = messages_[one->message].over;
      unheard(one, left || fleet_.away(one->relay) ? Answer::kGone : Answer::kClosed);
    });
  };
  while (!fresh && !pool.empty()) {
    const auto connection = pool.back();
    pool.pop_back();
    if (connection->open()) return ask(connection, true);
  }
  auto connection = std::make_shared<RespConnection>(world_);
  connection->open(fleet_.address(one->relay), [this, one, connection, ask](bool up) {
    if (up) return ask(connection, false);
    unheard(one, Answer::kGone);
  });
}

void Clients::heard(const std::shared_ptr<Try>& one, const std::string& line) {
  const double now = world_.now();
  world_.parts.answered(now, one->id, line);
  if (line.front() == '+' || line.front() == '$') {
    one->taken = true;
    world_.oracles.answered(now, one->id, Answer::kTaken);
    if (one->delivered) delivered(one->id);
    return;
  }
  one->over = true;
  if (!line.starts_with("-BUSY")) {
    world_.oracles.answered(now, one->id, Answer::kFailed);
    world_.figures.failed(now);
    return finish(one->message);
  }
  world_.oracles.answered(now, one->id, Answer::kRefused);
  world_.figures.refused(now);
  const double told = line.size() > 6 ? std::strtod(line.c_str() + 6, nullptr) / 1000 : 0;
  const int tries = messages_[one->message].tries;
  const bool heeds = told > 0 && world_.unit() < world_.scenario.load.honour;
  again(one->message, heeds ? told : back_off(tries), true, false);
}

void Clients::unheard(const std::shared_ptr<Try>& one, Answer how) {
  one->over = true;
  world_.oracles.answered(world_.now(), one->id, how);
  again(one->message, how == Answer::kGone ? 0.05 + 0.1 * world_.unit() : back_off(0), false, true);
}

// Comes again after a while, if its client has not given up. A relay that is not there costs no try.
void Clients::again(size_t m, double after, bool refused, bool silent) {
  if (messages_[m].tries >= world_.scenario.load.retries + (silent ? 10 : 0)) return finish(m);
  world_.after(after, [this, m, refused, silent] { hand_in(m, refused, silent); });
}

void Clients::finish(size_t m) {
  if (std::exchange(messages_[m].over, true)) return;
  --open_;
}

void Clients::delivered(const std::string& id) {
  const auto it = tries_.find(id);
  if (it == tries_.end()) return;
  const auto& one = it->second;
  one->delivered = true;
  if (!one->taken || one->over) return;
  one->over = true;
  world_.figures.served(one->message, world_.now(), one->relay);
  finish(one->message);
}

void Clients::noticed(const std::string& id, bool returned, double after) {
  const auto it = tries_.find(id);
  if (it == tries_.end() || it->second->over) return;
  const auto& one = it->second;
  one->over = true;
  if (!returned) {
    world_.figures.failed(world_.now());
    return finish(one->message);
  }
  world_.figures.returned(world_.now());
  const bool heeds = after > 0 && world_.unit() < world_.scenario.load.honour;
  again(one->message, heeds ? after : back_off(messages_[one->message].tries), true, false);
}

// Its machine's disk is gone: what it held comes to others, unless it may have taken effect and may not be
// repeated.
void Clients::lost(int relay) {
  for (const auto& [id, one] : tries_) {
    if (one->relay != relay || one->over || !one->taken) continue;
    one->over = true;
    const auto& c =
        world_.scenario.classes[static_cast<size_t>(world_.plan.messages[one->message].message_class)];
    if (c.effect == "unsafe") {
      finish(one->message);
    } else {
      again(one->message, kLostAfter.draw(world_.chance), false, true);
    }
  }
}

}  // namespace umberhoist::lab
