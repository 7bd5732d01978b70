// Replicates the hit counts of each relay to the whole fleet by push-pull gossip between pairs of relays.
//
// An origin is a relay's name and the id of its folder. Only the origin itself counts its hits, and its
// counts only grow. Received counts are merged per rule by the larger value, so the order, loss and
// repetition of messages do not matter. Once a period, a relay starts an exchange with a random live peer:
//
//   Request   for each origin: its total (the sequence number), the digest of its counts, and its age
//   Response  the same of the peer, with the counts that the peer knows better: of an origin with a higher
//             total, or with the same total and other counts
//   Final     the counts that the requester knows better, by the digests of the response
//
// A message has at most kMaxMessageBytes. Counts that do not fit follow in a later exchange, with any peer:
// the digest names the rule after which to resume. The age of an origin's counts is how long ago the origin
// had no more hits than are known here. It is 0 for a relay's own counts, and does not include transmission
// time.
//
// Known counts never decrease, and stay when their origin is dead. As long as messages arrive, each live
// relay knows each origin's counts as of a few exchanges ago. There is no common snapshot of all origins, and
// no protection against a relay that sends wrong counts (docs/access.md). Counts above kMaxOrigins, or above
// kMaxCounts over all origins, are not stored but counted in dropped().
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
  uint64_t folder_id = 0;  // identifies the relay's state folder
  auto operator<=>(const Origin&) const = default;
};

struct HitMessage;

class HitReplicator : public fleet::StateMachine {
 public:
  static constexpr size_t kMaxMessageBytes = 64 * 1024;
  static constexpr size_t kMaxOrigins = 400;
  static constexpr size_t kMaxCounts = 200'000;
  static constexpr Time kPeriod = 2 * fleet::kSecond;

  static constexpr Time kNeverComplete = -(Time{1} << 51);  // no complete counts received yet

  struct OriginHits {
    HitCounts counts;
    Time complete_as_of = kNeverComplete;  // `counts` were all counts of the origin at this time, or later
    // State of a transfer in several chunks: the position to resume after, and what the counts will be once
    // it is complete.
    std::optional<uint64_t> resume_after;
    Time pending_as_of = 0;
    uint64_t pending_total = 0;
  };
  struct Dropped {
    uint64_t unreadable = 0;
    uint64_t over_limit = 0;  // counts, not messages
  };

  HitReplicator(std::string name, uint64_t seed) : name_(std::move(name)), rng_(seed, 17) {}

  // This relay's own counts, read whenever they are sent. They must outlive this object.
  void set_own(uint64_t folder_id, const HitCounts& counts);
  void set_peers(std::vector<std::string> live);  // without this relay
  void set_rules_in_force(RuleKeys keys);

  void start(Time now) override;
  void on_datagram(Time now, const std::string& from, std::string_view bytes) override;
  void on_timer(Time now) override;
  Time next_wakeup() const override { return next_; }

  // All known counts, with this relay's own as of now.
  const std::map<Origin, OriginHits>& origins(Time now);
  // The sum over all origins. They are not of one point in time.
  HitCounts fleet_counts(Time now);
  bool is_own(const Origin& origin) const { return own_counts_ != nullptr && origin == origin_; }

  // Encodes the known counts, the oldest origins first, as many as fit in `max_bytes`. restore() reads them
  // back after `elapsed`.
  std::string serialize(Time now, size_t max_bytes);
  void restore(Time now, std::string_view bytes, Time elapsed);

  const Dropped& dropped() const { return dropped_; }
  uint64_t exchanges() const { return exchanges_; }

 private:
  void refresh_own(Time now);
  void send_request(Time now);
  void merge(Time now, const HitMessage& message);
  // Adds the counts that are newer here than the digests of `theirs`, in at most `available_bytes`.
  void add_missing_chunks(Time now, const HitMessage& theirs, size_t available_bytes, HitMessage& out);
  void add_digests(Time now, HitMessage& out) const;

  std::string name_;
  pcg32 rng_;
  Origin origin_;
  const HitCounts* own_counts_ = nullptr;
  uint64_t own_digest_ = 0;  // of own_counts_ at the last refresh_own()
  std::vector<std::string> peers_;
  RuleKeys in_force_;
  std::map<Origin, OriginHits> origins_;
  size_t count_entries_ = 0;  // over all origins
  Time next_ = fleet::kNever;
  Dropped dropped_;
  uint64_t exchanges_ = 0;
};

}  // namespace umberhoist::access
