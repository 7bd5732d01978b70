// The fleet's hit counts: each relay's own, spread to all by exchanges of two relays at a time.
//
// An origin is a relay's name and the number of its folder; only it counts, and its counts only grow. What is
// known of one is merged by the larger, rule by rule, so the order, loss and repetition of messages change
// nothing. Each period a relay asks one of the live others, at random:
//
//   Ask     digests: for each origin total (its sequence number), digest of its counts, age
//   Answer  digests of the other, and what it knows better: an origin with a higher total, or with the
//           same total and other counts
//   End     what the asker knows better, by those digests. It has no answer.
//
// A message has at most kMostMessage bytes; of what has no room the rest follows in a later exchange, with
// whomever: the digest says behind which rule to go on. The age of a part: so long ago its origin had no more
// than is known here; its own is 0, and the time of messages on their way is not in it.
//
// Promised: what is known of an origin never falls, and stays when it is dead; while messages come through,
// each live relay knows each origin's counts, a few exchanges old. Not promised: one moment for all origins;
// anything where a relay lies (docs/access.md). Bounds: kMostOrigins, kMostCounts over all of them; what is
// beyond is not taken, and counted.
#pragma once

#include <map>
#include <optional>
#include <pcg_random.hpp>

#include "../fleet/state_machine.h"
#include "hits.h"

namespace umberhoist::access {

using fleet::Time;

struct Origin {
  std::string relay;
  uint64_t number = 0;  // of its folder
  auto operator<=>(const Origin&) const = default;
};

struct SpreadMessage;

class Spread : public fleet::StateMachine {
 public:
  static constexpr size_t kMostMessage = 64 * 1024;
  static constexpr size_t kMostOrigins = 400;
  static constexpr size_t kMostCounts = 200'000;
  static constexpr Time kPeriod = 2 * fleet::kSecond;

  static constexpr Time kUnheard = -(Time{1} << 51);  // the whole has not come yet

  struct Part {
    Counts counts;
    Time fresh = kUnheard;  // it was its origin's whole count at that time, or later
    // A part that came in pieces, so far: go on behind this rule, and what the whole will be.
    std::optional<uint64_t> resume;
    Time resume_fresh = 0;
    uint64_t resume_total = 0;
  };
  struct Dropped {
    uint64_t unreadable = 0;
    uint64_t no_room = 0;  // counts
  };

  Spread(std::string name, uint64_t seed) : name_(std::move(name)), chance_(seed, 17) {}

  // This relay's own counts, read whenever they are told; they outlast this object.
  void own(uint64_t number, const Counts& counts);
  void peers(std::vector<std::string> live);  // that may be asked, this one left out
  void in_force(Keys keys);

  void start(Time now) override;
  void on_datagram(Time now, const std::string& from, std::string_view bytes) override;
  void on_timer(Time now) override;
  Time next_wakeup() const override { return next_; }

  // All that is known, own counts as they are now.
  const std::map<Origin, Part>& parts(Time now);
  // Of all origins, without their order in time.
  Counts fleet(Time now);
  bool is_own(const Origin& origin) const { return own_ != nullptr && origin == origin_; }

  // What is known, those heard longest ago first, as many as `most` bytes hold; and back, `older` later.
  std::string stored(Time now, size_t most);
  void restore(Time now, std::string_view bytes, Time older);

  const Dropped& dropped() const { return dropped_; }
  uint64_t exchanges() const { return exchanges_; }

 private:
  void refresh(Time now);
  void ask(Time now);
  void merge(Time now, const SpreadMessage& message);
  // What is known better here than `theirs` say, at most `room` bytes of it.
  void tell(Time now, const SpreadMessage& theirs, size_t room, SpreadMessage& out);
  void digests(Time now, SpreadMessage& out) const;

  std::string name_;
  pcg32 chance_;
  Origin origin_;
  const Counts* own_ = nullptr;
  uint64_t own_digest_ = 0;  // of what was last refreshed
  std::vector<std::string> peers_;
  Keys in_force_;
  std::map<Origin, Part> parts_;
  size_t counts_ = 0;  // over all parts
  Time next_ = fleet::kNever;
  Dropped dropped_;
  uint64_t exchanges_ = 0;
};

}  // namespace umberhoist::access
