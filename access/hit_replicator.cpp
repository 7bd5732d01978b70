#include "hit_replicator.h"

#include <algorithm>

#include "../fleet/decoding.h"
#include "hit_message.h"

namespace umberhoist::access {
namespace {

using Kind = HitMessage::Kind;

constexpr size_t kMessageOverhead = 32;

// Counts in the order in which they are sent: by position_of().
using OrderedCounts = std::vector<std::pair<uint64_t, const HitCounts::Map::value_type*>>;

OrderedCounts counts_after(const HitCounts& counts, const std::optional<uint64_t>& resume_after) {
  OrderedCounts out;
  for (const auto& entry : counts.by_rule()) {
    const uint64_t position = position_of(entry.first);
    if (!resume_after || position > *resume_after) out.emplace_back(position, &entry);
  }
  std::ranges::sort(out, {}, &OrderedCounts::value_type::first);
  return out;
}

}  // namespace

void HitReplicator::set_own(uint64_t folder_id, const HitCounts& counts) {
  if (own_counts_ == &counts && origin_.folder_id == folder_id) return;
  origin_ = {name_, folder_id};
  own_counts_ = &counts;
  own_digest_ = 0;
}

void HitReplicator::set_peers(std::vector<std::string> live) { peers_ = std::move(live); }

void HitReplicator::set_rules_in_force(RuleKeys keys) { in_force_ = std::move(keys); }

void HitReplicator::refresh_own(Time now) {
  if (own_counts_ == nullptr || own_counts_->empty()) return;
  OriginHits& hits = origins_[origin_];
  hits.complete_as_of = now;
  if (own_digest_ == own_counts_->digest()) return;
  own_digest_ = own_counts_->digest();
  count_entries_ -= hits.counts.by_rule().size();
  for (const auto& [key, count] : own_counts_->by_rule()) hits.counts.raise(key, count);
  hits.counts.raise_total(own_counts_->total());
  hits.counts.prune(in_force_);
  count_entries_ += hits.counts.by_rule().size();
}

void HitReplicator::start(Time now) { next_ = now + static_cast<Time>(rng_(static_cast<uint32_t>(kPeriod))); }

void HitReplicator::on_timer(Time now) {
  if (now < next_) return;
  // Jitter, 3/4 to 5/4 of a period: relays that started together do not stay synchronized.
  next_ = now + kPeriod * 3 / 4 + static_cast<Time>(rng_(static_cast<uint32_t>(kPeriod / 2)));
  send_request(now);
}

void HitReplicator::send_request(Time now) {
  if (peers_.empty()) return;
  refresh_own(now);
  HitMessage out;
  add_digests(now, out);
  send(peers_[rng_(static_cast<uint32_t>(peers_.size()))], encode(out));
}

void HitReplicator::add_digests(Time now, HitMessage& out) const {
  for (const auto& [origin, hits] : origins_) {
    out.digests.push_back({origin, hits.counts.total(), hits.counts.digest(),
                           std::max<Time>(0, now - hits.complete_as_of), hits.resume_after});
  }
}

void HitReplicator::on_datagram(Time now, const std::string& from, std::string_view bytes) {
  HitMessage in;
  try {
    fleet::require(bytes.size() <= kMaxMessageBytes);
    in = decode(bytes);
  } catch (const fleet::DecodeError&) {
    ++dropped_.unreadable;
    return;
  }
  refresh_own(now);
  merge(now, in);
  if (in.kind == Kind::kFinal) return;
  HitMessage out;
  out.kind = in.kind == Kind::kRequest ? Kind::kResponse : Kind::kFinal;
  if (out.kind == Kind::kResponse) add_digests(now, out);
  if (out.kind == Kind::kFinal) ++exchanges_;
  size_t used_bytes = kMessageOverhead;
  for (const auto& digest : out.digests) used_bytes += max_encoded_bytes(digest);
  add_missing_chunks(now, in, kMaxMessageBytes - std::min(kMaxMessageBytes, used_bytes), out);
  send(from, encode(out));
}

void HitReplicator::merge(Time now, const HitMessage& message) {
  for (const auto& chunk : message.chunks) {
    if (!origins_.contains(chunk.origin) && origins_.size() >= kMaxOrigins) {
      dropped_.over_limit += chunk.counts.size();
      continue;
    }
    OriginHits& hits = origins_[chunk.origin];
    count_entries_ -= hits.counts.by_rule().size();
    bool all_stored = true;
    for (const auto& [key, count] : chunk.counts) {
      if (hits.counts.count_of(key) == 0 && count_entries_ + hits.counts.by_rule().size() >= kMaxCounts) {
        ++dropped_.over_limit;
        all_stored = false;
        continue;
      }
      hits.counts.raise(key, count);
    }
    hits.counts.prune(in_force_);
    count_entries_ += hits.counts.by_rule().size();
    const Time as_of = now - chunk.age;
    if (!chunk.after) {
      hits.pending_as_of = as_of;
      hits.pending_total = chunk.total;
    } else if (!hits.resume_after || *chunk.after > *hits.resume_after) {
      continue;  // a gap between this chunk and those received before
    }
    hits.pending_as_of = std::min(hits.pending_as_of, as_of);
    hits.pending_total = std::min(hits.pending_total, chunk.total);
    hits.resume_after = chunk.resume_after;
    if (chunk.resume_after || !all_stored) continue;
    hits.counts.raise_total(hits.pending_total);
    hits.complete_as_of = std::max(hits.complete_as_of, hits.pending_as_of);
  }
  for (const auto& digest : message.digests) {
    const auto it = origins_.find(digest.origin);
    if (it == origins_.end() || it->second.counts.total() != digest.total) continue;
    if (it->second.counts.digest() == digest.digest)
      it->second.complete_as_of = std::max(it->second.complete_as_of, now - digest.age);
  }
}

void HitReplicator::add_missing_chunks(Time now, const HitMessage& theirs, size_t available_bytes,
                                       HitMessage& out) {
  std::map<Origin, const HitMessage::Digest*> known;
  for (const auto& digest : theirs.digests) known[digest.origin] = &digest;
  std::vector<std::pair<const Origin*, const OriginHits*>> newer;
  for (const auto& [origin, hits] : origins_) {
    const auto it = known.find(origin);
    const uint64_t total = hits.counts.total();
    if (it != known.end() && total < it->second->total) continue;
    if (it != known.end() && total == it->second->total && hits.counts.digest() == it->second->digest)
      continue;
    newer.emplace_back(&origin, &hits);
  }
  // Starts at a random origin, so that none is starved if they do not all fit.
  if (!newer.empty()) std::ranges::rotate(newer, newer.begin() + rng_(static_cast<uint32_t>(newer.size())));
  for (const auto& [origin, hits] : newer) {
    if (available_bytes < 4 * kChunkOverhead) break;
    available_bytes -= kChunkOverhead;
    const auto it = known.find(*origin);
    const auto resume_after = it == known.end() ? std::nullopt : it->second->resume_after;
    HitMessage::Chunk chunk{
        *origin, hits->counts.total(), std::max<Time>(0, now - hits->complete_as_of), resume_after, {}, {}};
    std::set<std::string> customers;
    for (const auto& [position, entry] : counts_after(hits->counts, resume_after)) {
      const bool first_of_customer = customers.insert(entry->first.customer).second;
      const size_t needed_bytes = max_encoded_bytes(entry->first) +
                                  (first_of_customer ? max_encoded_customer_bytes(entry->first) : 0);
      if (needed_bytes > available_bytes) {
        chunk.resume_after =
            chunk.counts.empty() ? resume_after.value_or(0) : position_of(chunk.counts.back().first);
        break;
      }
      available_bytes -= needed_bytes;
      chunk.counts.emplace_back(entry->first, entry->second);
    }
    out.chunks.push_back(std::move(chunk));
  }
}

const std::map<Origin, HitReplicator::OriginHits>& HitReplicator::origins(Time now) {
  refresh_own(now);
  return origins_;
}

HitCounts HitReplicator::fleet_counts(Time now) {
  refresh_own(now);
  HitCounts out;
  for (const auto& [origin, hits] : origins_) out.add_all(hits.counts);
  return out;
}

std::string HitReplicator::serialize(Time now, size_t max_bytes) {
  refresh_own(now);
  std::vector<std::pair<const Origin*, const OriginHits*>> order;
  for (const auto& [origin, hits] : origins_) order.emplace_back(&origin, &hits);
  std::ranges::sort(order, {}, [](const auto& entry) { return entry.second->complete_as_of; });
  HitMessage out;
  out.kind = Kind::kFinal;
  size_t used_bytes = kMessageOverhead;
  for (const auto& [origin, hits] : order) {
    HitMessage::Chunk chunk{
        *origin, hits->counts.total(), std::max<Time>(0, now - hits->complete_as_of), {}, {}, {}};
    size_t needed_bytes = kChunkOverhead;
    for (const auto& [key, count] : hits->counts.by_rule()) {
      needed_bytes += max_encoded_bytes(key) + max_encoded_customer_bytes(key);
      chunk.counts.emplace_back(key, count);
    }
    if (used_bytes + needed_bytes > max_bytes) continue;
    used_bytes += needed_bytes;
    out.chunks.push_back(std::move(chunk));
  }
  return encode(out);
}

void HitReplicator::restore(Time now, std::string_view bytes, Time elapsed) {
  try {
    HitMessage in = decode(bytes);
    for (auto& chunk : in.chunks) chunk.age += std::max<Time>(0, elapsed);
    merge(now, in);
  } catch (const fleet::DecodeError&) {
    ++dropped_.unreadable;
  }
}

}  // namespace umberhoist::access
