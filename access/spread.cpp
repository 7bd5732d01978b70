#include "spread.h"

#include <algorithm>

#include "../fleet/decoding.h"
#include "spread_message.h"

namespace umberhoist::access {
namespace {

using Kind = SpreadMessage::Kind;

constexpr size_t kHead = 32;  // of a message

// A part's counts in the order in which they are told.
using Ordered = std::vector<std::pair<uint64_t, const Counts::Map::value_type*>>;

Ordered behind(const Counts& counts, const std::optional<uint64_t>& resume) {
  Ordered out;
  for (const auto& entry : counts.by_rule()) {
    const uint64_t place = place_of(entry.first);
    if (!resume || place > *resume) out.emplace_back(place, &entry);
  }
  std::ranges::sort(out, {}, &Ordered::value_type::first);
  return out;
}

}  // namespace

void Spread::own(uint64_t number, const Counts& counts) {
  if (own_ == &counts && origin_.number == number) return;
  origin_ = {name_, number};
  own_ = &counts;
  own_digest_ = 0;
}

void Spread::peers(std::vector<std::string> live) { peers_ = std::move(live); }

void Spread::in_force(Keys keys) { in_force_ = std::move(keys); }

void Spread::refresh(Time now) {
  if (own_ == nullptr || own_->empty()) return;
  Part& part = parts_[origin_];
  part.fresh = now;
  if (own_digest_ == own_->digest()) return;
  own_digest_ = own_->digest();
  counts_ -= part.counts.by_rule().size();
  for (const auto& [key, count] : own_->by_rule()) part.counts.larger(key, count);
  part.counts.larger_total(own_->total());
  part.counts.keep(in_force_);
  counts_ += part.counts.by_rule().size();
}

void Spread::start(Time now) { next_ = now + static_cast<Time>(chance_(static_cast<uint32_t>(kPeriod))); }

void Spread::on_timer(Time now) {
  if (now < next_) return;
  // Between three quarters of a period and five: relays that began together do not go on together.
  next_ = now + kPeriod * 3 / 4 + static_cast<Time>(chance_(static_cast<uint32_t>(kPeriod / 2)));
  ask(now);
}

void Spread::ask(Time now) {
  if (peers_.empty()) return;
  refresh(now);
  SpreadMessage out;
  digests(now, out);
  send(peers_[chance_(static_cast<uint32_t>(peers_.size()))], encode(out));
}

void Spread::digests(Time now, SpreadMessage& out) const {
  for (const auto& [origin, part] : parts_) {
    out.digests.push_back({origin, part.counts.total(), part.counts.digest(),
                           std::max<Time>(0, now - part.fresh), part.resume});
  }
}

void Spread::on_datagram(Time now, const std::string& from, std::string_view bytes) {
  SpreadMessage in;
  try {
    fleet::require(bytes.size() <= kMostMessage);
    in = decode(bytes);
  } catch (const fleet::DecodeError&) {
    ++dropped_.unreadable;
    return;
  }
  refresh(now);
  merge(now, in);
  if (in.kind == Kind::kEnd) return;
  SpreadMessage out;
  out.kind = in.kind == Kind::kAsk ? Kind::kAnswer : Kind::kEnd;
  if (out.kind == Kind::kAnswer) digests(now, out);
  if (out.kind == Kind::kEnd) ++exchanges_;
  size_t used = kHead;
  for (const auto& digest : out.digests) used += room_of(digest);
  tell(now, in, kMostMessage - std::min(kMostMessage, used), out);
  send(from, encode(out));
}

void Spread::merge(Time now, const SpreadMessage& message) {
  for (const auto& piece : message.pieces) {
    if (!parts_.contains(piece.origin) && parts_.size() >= kMostOrigins) {
      dropped_.no_room += piece.counts.size();
      continue;
    }
    Part& part = parts_[piece.origin];
    counts_ -= part.counts.by_rule().size();
    bool whole = true;
    for (const auto& [key, count] : piece.counts) {
      if (part.counts.of(key) == 0 && counts_ + part.counts.by_rule().size() >= kMostCounts) {
        ++dropped_.no_room;
        whole = false;
        continue;
      }
      part.counts.larger(key, count);
    }
    part.counts.keep(in_force_);
    counts_ += part.counts.by_rule().size();
    const Time fresh = now - piece.age;
    if (!piece.from) {
      part.resume_fresh = fresh;
      part.resume_total = piece.total;
    } else if (!part.resume || *piece.from > *part.resume) {
      continue;  // it does not join on to what has come
    }
    part.resume_fresh = std::min(part.resume_fresh, fresh);
    part.resume_total = std::min(part.resume_total, piece.total);
    part.resume = piece.more;
    if (piece.more || !whole) continue;
    part.counts.larger_total(part.resume_total);
    part.fresh = std::max(part.fresh, part.resume_fresh);
  }
  for (const auto& digest : message.digests) {
    const auto it = parts_.find(digest.origin);
    if (it == parts_.end() || it->second.counts.total() != digest.total) continue;
    if (it->second.counts.digest() == digest.digest)
      it->second.fresh = std::max(it->second.fresh, now - digest.age);
  }
}

void Spread::tell(Time now, const SpreadMessage& theirs, size_t room, SpreadMessage& out) {
  std::map<Origin, const SpreadMessage::Digest*> known;
  for (const auto& digest : theirs.digests) known[digest.origin] = &digest;
  std::vector<std::pair<const Origin*, const Part*>> better;
  for (const auto& [origin, part] : parts_) {
    const auto it = known.find(origin);
    const uint64_t total = part.counts.total();
    if (it != known.end() && total < it->second->total) continue;
    if (it != known.end() && total == it->second->total && part.counts.digest() == it->second->digest)
      continue;
    better.emplace_back(&origin, &part);
  }
  // From a chance one on, so that each has its turn where there is not room for all.
  if (!better.empty())
    std::ranges::rotate(better, better.begin() + chance_(static_cast<uint32_t>(better.size())));
  for (const auto& [origin, part] : better) {
    if (room < 4 * kPieceRoom) break;
    room -= kPieceRoom;
    const auto it = known.find(*origin);
    const auto resume = it == known.end() ? std::nullopt : it->second->resume;
    SpreadMessage::Piece piece{
        *origin, part->counts.total(), std::max<Time>(0, now - part->fresh), resume, {}, {}};
    std::set<std::string> customers;
    for (const auto& [place, entry] : behind(part->counts, resume)) {
      const bool fresh_name = customers.insert(entry->first.customer).second;
      const size_t needed = room_of(entry->first) + (fresh_name ? room_of_customer(entry->first) : 0);
      if (needed > room) {
        piece.more = piece.counts.empty() ? resume.value_or(0) : place_of(piece.counts.back().first);
        break;
      }
      room -= needed;
      piece.counts.emplace_back(entry->first, entry->second);
    }
    out.pieces.push_back(std::move(piece));
  }
}

const std::map<Origin, Spread::Part>& Spread::parts(Time now) {
  refresh(now);
  return parts_;
}

Counts Spread::fleet(Time now) {
  refresh(now);
  Counts out;
  for (const auto& [origin, part] : parts_) out.plus(part.counts);
  return out;
}

std::string Spread::stored(Time now, size_t most) {
  refresh(now);
  std::vector<std::pair<const Origin*, const Part*>> order;
  for (const auto& [origin, part] : parts_) order.emplace_back(&origin, &part);
  std::ranges::sort(order, {}, [](const auto& entry) { return entry.second->fresh; });
  SpreadMessage out;
  out.kind = Kind::kEnd;
  size_t used = kHead;
  for (const auto& [origin, part] : order) {
    SpreadMessage::Piece piece{*origin, part->counts.total(), std::max<Time>(0, now - part->fresh), {}, {},
                               {}};
    size_t needed = kPieceRoom;
    for (const auto& [key, count] : part->counts.by_rule()) {
      needed += room_of(key) + room_of_customer(key);
      piece.counts.emplace_back(key, count);
    }
    if (used + needed > most) continue;
    used += needed;
    out.pieces.push_back(std::move(piece));
  }
  return encode(out);
}

void Spread::restore(Time now, std::string_view bytes, Time older) {
  try {
    SpreadMessage in = decode(bytes);
    for (auto& piece : in.pieces) piece.age += std::max<Time>(0, older);
    merge(now, in);
  } catch (const fleet::DecodeError&) {
    ++dropped_.unreadable;
  }
}

}  // namespace umberhoist::access
