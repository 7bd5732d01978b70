// feed_exact: each subscription is given each final answer of its customer's messages once (F1, F2, F3, F5,
// F4), judged by what was known outside: a call that was answered 200, a notice at discovery.
//
// Promised by the relays, for each subscription over all its sessions:
// - an outcome is given once, counted from the cursor that the subscriber stands at: its state and cursor go
//   back together, and what was taken after the old cursor is due again;
// - numbers of one origin only grow, and what is passed over is others' or lies in a gap that is said; a
// number
//   of an origin is one message for all subscriptions, and a message has one number. Where all customers are
//   subscribed to, each number up to the last one is somebody's;
// - it says of the message what is known outside, and of a message of its customer (and of its regions);
// - at the end each final answer was given or lies in a gap that was said of its relay's origin. Out of
// reach,
//   and only counted: what ended at a relay that does not serve as the play ends, and what ended within the
//   last seconds before a relay's folder was emptied, as nobody else may have heard of it;
// - an open without a cursor stands at least where the last answered acknowledgement was;
// - a session that was fenced by a newer one acknowledges nothing any more.
// Outcomes of what ended before the subscription was first open are not owed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "verdict.h"

namespace umberhoist::lab {

using Position = std::map<std::string, uint64_t>;  // by origin: the last outcome taken

struct FeedOutcome {
  std::string origin;
  uint64_t number = 0;
  std::string id;
  std::string answer;  // delivered, returned, failed
};

struct FeedGap {  // from..to of an origin are gone
  std::string origin;
  uint64_t from = 0;
  uint64_t to = 0;  // 0: its end is not known, nothing of that origin comes any more
};

class FeedExact {
 public:
  // Final answers as they are known outside. A notice's word goes over a 200.
  void handed_in(const std::string& id, const std::string& customer, const std::string& zone, int relay);
  void delivered(double now, const std::string& id);
  void noticed(double now, const std::string& id, const std::string& state);
  void emptied(double now, int relay);

  // A subscription, by any name; `regions`: zones where messages came in, empty: all.
  void subscribed(double now, const std::string& subscription, const std::string& customer,
                  const std::set<std::string>& regions);
  // Opened at `from`, which is behind the gaps that were said. `shown`: with its cursor.
  void opened(double now, const std::string& subscription, int relay, const Position& from,
              const std::vector<FeedGap>& gaps, bool shown);
  void gave(double now, const std::string& subscription, int relay, const std::vector<FeedOutcome>& outcomes,
            const std::vector<FeedGap>& gaps);
  // The subscriber lost its last state and stands at an older one, of so long a history.
  size_t history(const std::string& subscription) const;
  void went_back(const std::string& subscription, size_t history);
  // An acknowledgement was answered OK; `fenced`: by a session that a newer one had fenced before it was
  // sent.
  void acknowledged(double now, const std::string& subscription, int relay, const Position& at, bool fenced);

  // Its customer is no more: nothing is owed to it.
  void released(const std::string& subscription) { subscriptions_.at(subscription).released = true; }

  Position position(const std::string& subscription) const;
  // That ended until then, were not given and lie in no gap.
  uint64_t owed(const std::string& subscription, double until) const;
  // The play is over, and what ended until then could be read; `serving` relays could be asked. `all`: each
  // customer has a subscription of all regions.
  void finish(double now, double until, const std::set<int>& serving, bool all);

  const Verdict& verdict() const { return verdict_; }
  uint64_t given() const { return given_; }
  uint64_t in_gaps() const { return in_gaps_; }            // places said to be gone
  uint64_t out_of_reach() const { return out_of_reach_; }  // not given, and not to be

 private:
  static constexpr uint64_t kNoEnd = UINT64_MAX;  // of a gap
  struct Message {
    std::string customer;
    std::string zone;
    int relay = -1;
    double ended = -1;
    std::string answer;
    bool noticed = false;
  };
  struct Entry {
    std::string origin;
    uint64_t number = 0;
    std::string id;         // empty: a gap up to `number`
    uint64_t gap_from = 0;  // it begins there
  };
  struct Subscription {
    std::string customer;
    std::set<std::string> regions;
    double since = 0;
    bool released = false;
    std::vector<Entry> history;
    Position at;
    std::set<std::string> have;  // ids
    Position acknowledged;
    std::map<std::string, std::vector<std::pair<uint64_t, uint64_t>>> gone;  // by origin: said gaps
  };

  void end(double now, const std::string& id, const std::string& answer, bool notice);
  static void rebuild(Subscription& s);
  static bool is_gone(const Subscription& s, const std::string& origin);
  bool covered(const Subscription& s, const std::string& id, const Message& message) const;
  bool wants(const Subscription& s, const Message& message) const;
  bool lost(const Message& message) const;
  void check(double now, Subscription& s, const std::string& name, int relay, const FeedOutcome& outcome);
  void say(double now, Subscription& s, const std::string& name, int relay, const FeedGap& gap);
  void find_holes(double now, double until);

  std::unordered_map<std::string, Message> messages_;
  std::map<std::string, Subscription> subscriptions_;
  std::map<int, std::vector<double>> lost_;                         // relay: when its folder was emptied
  std::map<std::string, std::map<uint64_t, std::string>> numbers_;  // origin: what each one is; empty: gone
  std::unordered_map<std::string, std::pair<std::string, uint64_t>> places_;  // message: its one place
  Verdict verdict_;
  uint64_t given_ = 0;
  uint64_t in_gaps_ = 0;
  uint64_t out_of_reach_ = 0;
};

}  // namespace umberhoist::lab
