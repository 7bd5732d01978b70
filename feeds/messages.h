// What relays say to each other of feeds: CBOR lists, the format first. docs/feeds.md has the protocol.
//
// Each question is answered by one message. What does not read is dropped by whoever hears it, and the asker
// asks again.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "outcome.h"
#include "reconcile.h"

namespace umberhoist::feeds {

constexpr uint64_t kTalk = 1;
constexpr size_t kMostVoters = 15;

// A session's right to a subscription. A generation above fences those below; the session's number, drawn by
// its relay, tells two apart that chose the same.
struct Ballot {
  uint64_t generation = 0;
  uint64_t session = 0;
  auto operator<=>(const Ballot&) const = default;
};

// What a voter holds of one subscription.
struct Held {
  Ballot promised;
  Ballot accepted;
  uint64_t turn = 0;  // of the writes under that ballot; the last one counts
  Positions positions;
  bool operator==(const Held&) const = default;
};

// To a voter.
struct Promise {  // nothing under a ballot below this one
  Feed feed;
  Ballot ballot;
};
struct Write {
  Feed feed;
  Ballot ballot;
  uint64_t turn = 0;
  Positions positions;
};
// Its answer to either. `folder`: its own folder's number, and what it knows of the other voters' (see
// register.h).
struct Said {
  Feed feed;
  Ballot asked;
  uint64_t turn = 0;  // 0: of a promise
  bool yes = false;
  std::string why;  // not, if it is not that it promised a newer ballot
  Held held;        // positions only for a promise
  uint64_t folder = 0;
  std::map<std::string, uint64_t> folders;
};
// A voter whose folder was emptied, to the others; answered by pages of what they hold.
struct Pull {
  uint64_t folder = 0;
  Feed after;
};
struct Page {
  uint64_t folder = 0;  // of the one that asked
  Feed after;
  bool whole = false;  // this voter has not lost what it held
  std::map<Feed, Held> held;
  bool more = false;
};

// To each relay, by one that serves a subscriber.
struct Ask {
  uint64_t number = 0;
  std::string customer;
  std::vector<std::string> regions;
  std::map<uint64_t, uint64_t> after;  // by log; those not in it: from the first
  uint64_t most = 0;                   // 0: only what it holds
  uint64_t most_bytes = 0;
};
struct Have {
  struct One {
    Log log;
    uint64_t through = 0;
    std::vector<Outcome> outcomes;
  };
  uint64_t number = 0;
  std::vector<One> logs;
};

using Message = std::variant<Promise, Write, Said, Pull, Page, Ask, Have>;

std::string encode(const Message& message);
Message decode(std::string_view bytes);  // throws fleet::DecodeError

// As a register's file has it, too.
nlohmann::json json_of(const Held& held);
Held held_in(const nlohmann::json& value);  // throws fleet::DecodeError

}  // namespace umberhoist::feeds
