// A fleet of whole feed services on a simulated network, and a subscriber that dies and comes back.
#pragma once

#include <array>
#include <functional>

#include "memory_files.h"
#include "outcome_log.h"
#include "service.h"

namespace umberhoist::feeds {

using fleet::kMs;
using fleet::kSecond;
using nlohmann::json;

inline const Feed kFeed{"acme", "billing"};
constexpr size_t kRelays = 5;
constexpr size_t kVoters = 3;

inline std::string name_of(size_t i) { return "n" + std::to_string(i + 1); }

class Fleet {
 public:
  explicit Fleet(uint64_t seed) : chance_(seed) {
    for (size_t i = 0; i < kRelays; ++i) start(i);
  }

  struct Relay {
    MemoryFiles files;
    std::string records;
    std::optional<OutcomeLog> log;
    std::optional<Service> service;
    uint64_t life = 0;
  };

  void start(size_t i) {
    Relay& r = relays_[i];
    ++r.life;
    r.log.emplace(r.files, Limits{6000, 20'000}, chance_());
    Service::Settings s;
    s.cluster = "c";
    s.name = name_of(i);
    for (size_t k = 0; k < kRelays; ++k) s.relays.push_back(name_of(k));
    s.voters.assign(s.relays.begin(), s.relays.begin() + kVoters);
    s.feeds[kFeed] = {};
    s.batch = 50;
    r.service.emplace(std::move(s), r.records, chance_(),
                      [&r] { return std::vector<const OutcomeLog*>{&*r.log}; });
    r.service->start(now);
    carry(i);
  }
  void kill(size_t i) {
    relays_[i].service.reset();
    relays_[i].log.reset();
  }
  void empty(size_t i) {
    emptied.insert({name_of(i), relays_[i].log->number()});
    kill(i);
    relays_[i].files = {};
    relays_[i].records.clear();
  }
  bool up(size_t i) const { return relays_[i].service.has_value(); }

  void end_message(size_t i) {
    Relay& r = relays_[i];
    if (!r.log) return;
    const uint64_t number = r.log->next();
    const bool ours = chance_(4) != 0;
    const std::string id = std::to_string(++messages_);
    if (!r.log->append({number, id, ours ? "acme" : "other", "k", Answer::kDelivered, now / kMs, "", "dc"},
                       now / kMs)) {
      return;
    }
    if (ours) made[{name_of(i), r.log->number()}][number] = id;
  }

  // Sends what the service left to be sent.
  void carry(size_t i) {
    if (!up(i)) return;
    for (auto& output : relays_[i].service->take()) {
      if (auto* write = std::get_if<Register::Append>(&output)) {
        relays_[i].records = write->whole ? write->bytes : relays_[i].records + write->bytes;
        continue;
      }
      auto& send = std::get<Register::Send>(output);
      const auto to = static_cast<size_t>(send.to[1] - '1');
      if (chance_(100) < loss) continue;
      for (uint32_t copies = chance_(100) < 3 ? 2 : 1; copies > 0; --copies) {
        later(now + 1 * kMs + chance_(30) * kMs, [this, i, to, bytes = send.bytes] {
          if (!up(to)) return;
          relays_[to].service->received(now, name_of(i), bytes);
          carry(to);
        });
      }
    }
  }

  void later(Time at, std::function<void()> what) { events_.emplace(at, std::move(what)); }

  void run(Time until) {
    while (now < until) {
      Time next = until;
      if (!events_.empty()) next = std::min(next, events_.begin()->first);
      for (const Relay& r : relays_) {
        if (r.service) next = std::min(next, r.service->next());
      }
      now = std::max(now, next);
      for (size_t i = 0; i < kRelays; ++i) {
        if (!up(i) || relays_[i].service->next() > now) continue;
        relays_[i].service->woke(now);
        carry(i);
      }
      while (!events_.empty() && events_.begin()->first <= now) {
        const auto what = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        what();
      }
    }
  }

  MemoryFiles& files(size_t i) { return relays_[i].files; }
  Service& service(size_t i) { return *relays_[i].service; }
  pcg64& chance() { return chance_; }

  Time now = 0;
  uint32_t loss = 3;  // of a hundred messages
  std::set<Origin> emptied;
  std::map<Origin, std::map<uint64_t, std::string>> made;  // of the customer

 private:
  pcg64 chance_;
  std::array<Relay, kRelays> relays_;
  std::multimap<Time, std::function<void()>> events_;
  uint64_t messages_ = 0;
};

class Subscriber {
 public:
  explicit Subscriber(Fleet& fleet) : fleet_(fleet) {}

  // One write: these go together.
  struct Kept {
    std::optional<std::string> cursor;
    std::map<std::string, std::vector<uint64_t>> work;  // by origin, in the order in which it came
    std::vector<json> gaps;
  };

  void begin() {
    ++life_;
    do at_ = fleet_.chance()(kRelays);
    while (!fleet_.up(at_));
    waits([this](auto answer) { fleet_.service(at_).open(fleet_.now, kFeed, kept.cursor, answer); },
          [this](const json& got) {
            session_ = got.at("session").template get<std::string>();
            keep(got);
            read();
          });
  }

  void die(bool old) {
    ++life_;
    if (old && !history_.empty()) kept = history_[fleet_.chance()(static_cast<uint32_t>(history_.size()))];
    fleet_.later(fleet_.now + 20 * kMs, [this, life = life_] {
      if (life == life_) begin();
    });
  }

  Kept kept;
  uint64_t refused = 0, batches = 0;
  std::set<std::string> missing;

 private:
  void keep(const json& got) {
    if (kept.cursor && fleet_.chance()(8) == 0) history_.push_back(kept);
    for (const json& o : got.value("outcomes", json::array())) {
      kept.work[o.at("origin")].push_back(o.at("number").get<uint64_t>());
    }
    for (const json& gap : got.at("gaps")) kept.gaps.push_back(gap);
    missing.clear();
    for (const json& one : got.at("missing")) missing.insert(one.at("origin").get<std::string>());
    kept.cursor = got.at("cursor").get<std::string>();
  }

  void read() {
    waits([this](auto answer) { fleet_.service(at_).read(fleet_.now, session_, *kept.cursor, 20, answer); },
          [this](const json& got) {
            ++batches;
            keep(got);
            if (fleet_.chance()(3) == 0) return ack();
            fleet_.later(fleet_.now + 50 * kMs, [this, life = life_] {
              if (life == life_) read();
            });
          });
  }

  void ack() {
    waits([this](auto answer) { fleet_.service(at_).ack(fleet_.now, session_, *kept.cursor, answer); },
          [this](const json&) { read(); });
  }

  // A command; without an answer in 4 s, or with an error, it comes back at another relay.
  template <typename Command, typename Then>
  void waits(Command command, Then then) {
    const uint64_t mine = ++life_;
    fleet_.later(fleet_.now + 4 * kSecond, [this, mine] {
      if (mine == life_) begin();
    });
    fleet_.later(fleet_.now, [this, mine, command, then] {
      if (mine != life_) return;
      if (!fleet_.up(at_)) return begin();
      command([this, mine, then](const Service::Reply& reply) {
        // The answer travels: nothing is called from within the service.
        fleet_.later(fleet_.now + kMs, [this, mine, then, reply] {
          if (mine != life_) return;
          if (const auto* got = std::get_if<json>(&reply)) return then(*got);
          ++refused;
          begin();
        });
      });
      fleet_.carry(at_);
    });
  }

  Fleet& fleet_;
  std::vector<Kept> history_;
  std::string session_;
  size_t at_ = 0;
  uint64_t life_ = 0;
};

}  // namespace umberhoist::feeds
