// Whole services on a simulated network: messages end at relays, subscribers take them, everything dies.
//
// A subscriber keeps its cursor and its work in one write, and dies and comes back at any relay, now and then
// with an older cursor (then it takes its work back to there, too). Judged from outside: each outcome of an
// origin is in its work once, or in a gap that was said (F1, F2), in order (F3).
#include <gtest/gtest.h>

#include <iostream>

#include "memory_files.h"
#include "outcome_log.h"
#include "service.h"

namespace umberhoist::feeds {
namespace {

using fleet::kMs;
using fleet::kSecond;
using nlohmann::json;

const Feed kFeed{"acme", "billing"};
constexpr size_t kRelays = 5;
constexpr size_t kVoters = 3;

std::string name_of(size_t i) { return "n" + std::to_string(i + 1); }

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

struct Judged {
  size_t taken = 0, in_gaps = 0;
  std::string wrong;
};
Judged judge(const Fleet& fleet, const Subscriber& s) {
  Judged out;
  for (const auto& [origin, numbers] : fleet.made) {
    const std::string name = text_of(origin);
    const auto known = s.kept.work.find(name);
    const bool told =
        std::ranges::any_of(s.kept.gaps, [&](const json& gap) { return gap.at("origin") == name; });
    // It came and went without this cursor's knowing.
    if (fleet.emptied.contains(origin) && known == s.kept.work.end() && !told) continue;
    const std::vector<uint64_t> work = known == s.kept.work.end() ? std::vector<uint64_t>{} : known->second;
    if (std::ranges::adjacent_find(work, std::greater_equal<>()) != work.end()) {
      out.wrong = name + " came twice or out of order";
    }
    for (const auto& [number, id] : numbers) {
      if (std::ranges::binary_search(work, number)) {
        ++out.taken;
        continue;
      }
      const bool said = std::ranges::any_of(s.kept.gaps, [&, n = number](const json& gap) {
        return gap.at("origin") == name && gap.at("from").get<uint64_t>() <= n &&
               (gap.at("to").is_null() || n <= gap.at("to").get<uint64_t>());
      });
      ++out.in_gaps;
      if (!said) out.wrong = name + " number " + std::to_string(number) + " is missing and no gap was said";
    }
  }
  return out;
}

TEST(FeedPlay, EachOutcomeOnceOrInASaidGapThroughAllThatDies) {
  Judged sum;
  uint64_t refused = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Fleet fleet(seed);
    fleet.run(2 * kSecond);  // all voters up once
    Subscriber first(fleet);
    first.begin();
    auto& chance = fleet.chance();
    size_t down = kRelays;
    bool emptied = false;
    for (int step = 0; step < 600; ++step) {
      fleet.run(fleet.now + 50 * kMs);
      for (size_t i = 0; i < kRelays; ++i) {
        if (chance(2) == 0) fleet.end_message(i);
      }
      if (chance(15) == 0) first.die(chance(3) == 0);
      if (chance(40) == 0) {
        if (down < kRelays)
          fleet.start(std::exchange(down, kRelays));
        else if (!emptied && chance(3) == 0)
          fleet.empty(down = chance(kRelays)), emptied = true;
        else
          fleet.kill(down = chance(kRelays));
      }
      if (step == 300) {  // away for long: what is trimmed meanwhile is said
        for (int n = 0; n < 120; ++n) fleet.end_message(0);
      }
    }
    if (down < kRelays) fleet.start(down);
    fleet.loss = 0;
    fleet.run(fleet.now + 10 * kSecond);  // F6
    const Judged judged = judge(fleet, first);
    EXPECT_EQ(judged.wrong, "");
    EXPECT_TRUE(first.missing.empty());
    sum.taken += judged.taken;
    sum.in_gaps += judged.in_gaps;
    refused += first.refused;
  }
  std::cout << "taken " << sum.taken << ", in gaps " << sum.in_gaps << ", refused commands " << refused
            << "\n";
  EXPECT_GT(sum.taken, 20'000U);
  EXPECT_GT(sum.in_gaps, 0U);
  EXPECT_LT(sum.in_gaps, sum.taken);
}

TEST(FeedPlay, TwoSessionsOfOneSubscriptionFenceEachOther) {
  Fleet fleet(1);
  fleet.run(2 * kSecond);
  const auto told = [&](auto command) {
    std::optional<Service::Reply> out;
    command([&](const Service::Reply& reply) { out = reply; });
    for (size_t i = 0; i < kRelays; ++i) fleet.carry(i);
    fleet.run(fleet.now + 3 * kSecond);
    return out.value();
  };
  const auto open = [&](size_t at) {
    return std::get<json>(told([&](auto answer) { fleet.service(at).open(fleet.now, kFeed, {}, answer); }));
  };
  const auto ack = [&](size_t at, const json& session) {
    return told([&](auto answer) {
      fleet.service(at).ack(fleet.now, session.at("session"), session.at("cursor"), answer);
    });
  };
  const json older = open(0);
  EXPECT_TRUE(std::holds_alternative<json>(ack(0, older)));
  const json newer = open(1);
  const auto refused = ack(0, older);
  ASSERT_TRUE(std::holds_alternative<Fault>(refused));
  EXPECT_STREQ(std::get<Fault>(refused).code(), "session_fenced");
  EXPECT_TRUE(std::holds_alternative<json>(ack(1, newer)));
  const auto unknown = told([&](auto answer) {
    fleet.service(2).open(fleet.now, {"acme", "x"}, {}, answer);
  });
  EXPECT_STREQ(std::get<Fault>(unknown).code(), "feed_unknown");
  const auto elsewhere = ack(2, newer);
  EXPECT_STREQ(std::get<Fault>(elsewhere).code(), "session_unknown");
  json ahead = newer;
  ahead["cursor"] = text_of(Cursor{"c", kFeed, 1, {{{"n1", 99}, 5}}});
  EXPECT_STREQ(std::get<Fault>(ack(1, ahead)).code(), "acknowledged_ahead");
}

}  // namespace
}  // namespace umberhoist::feeds
