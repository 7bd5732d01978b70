#include "reconcile.h"

#include <algorithm>

namespace umberhoist::feeds {
namespace {

const Log* find(const Holdings& holdings, const Origin& origin) {
  const auto relay = holdings.find(origin.relay);
  if (relay == holdings.end() || !relay->second) return nullptr;
  const auto it = std::ranges::find(*relay->second, origin.log, &Log::number);
  return it == relay->second->end() ? nullptr : &*it;
}

// One origin that something was taken of.
void settle_one(Start& out, const Origin& origin, uint64_t taken, const Holdings& holdings) {
  const auto relay = holdings.find(origin.relay);
  if (relay == holdings.end() || !relay->second) {
    out.positions[origin] = taken;
    out.missing.push_back({origin, relay == holdings.end() ? Why::kLeft : Why::kUnreachable});
    return;
  }
  const Log* log = find(holdings, origin);
  if (log == nullptr) {
    out.gaps.push_back({origin, taken + 1, {}, Why::kGone});
    return;
  }
  if (taken > log->last) out.missing.push_back({origin, Why::kRolledBack});
  if (taken < log->trimmed) out.gaps.push_back({origin, taken + 1, log->trimmed, Why::kTrimmed});
  out.positions[origin] = std::max(taken, log->trimmed);
}

// Origins whose relays left the fleet are kept as long as there is room for them.
void bound(Start& out) {
  for (auto it = out.missing.begin(); it != out.missing.end() && out.positions.size() > kMostOrigins;) {
    if (it->why != Why::kLeft) {
      ++it;
      continue;
    }
    out.gaps.push_back({it->origin, taken_of(out.positions, it->origin) + 1, {}, Why::kLeft});
    out.positions.erase(it->origin);
    it = out.missing.erase(it);
  }
}

}  // namespace

const char* text_of(Why why) {
  switch (why) {
    case Why::kTrimmed:
      return "trimmed";
    case Why::kGone:
      return "gone";
    case Why::kLeft:
      return "left";
    case Why::kUnreachable:
      return "unreachable";
    default:
      return "rolled_back";
  }
}

Start settle(const Positions& taken, const Holdings& holdings) {
  Start out;
  for (const auto& [origin, number] : taken) settle_one(out, origin, number, holdings);
  for (const auto& [relay, logs] : holdings) {
    if (!logs) {
      const auto known = taken.lower_bound({relay, 0});
      if (known == taken.end() || known->first.relay != relay) {
        out.missing.push_back({{relay, 0}, Why::kUnreachable});
      }
      continue;
    }
    for (const Log& log : *logs) {
      const Origin origin{relay, log.number};
      if (!taken.contains(origin)) settle_one(out, origin, 0, holdings);
    }
  }
  bound(out);
  return out;
}

Start reconcile(const std::optional<std::string>& shown, const std::string& cluster, const Feed& feed,
                const Positions& remembered, const Holdings& holdings) {
  if (!shown) {
    Start out = settle(remembered, holdings);
    out.remembered = remembered;
    return out;
  }
  Positions taken = read_cursor(*shown, cluster, feed).taken;
  const Positions said = taken;
  for (const auto& [origin, number] : remembered) taken.emplace(origin, 0);
  Start out = settle(taken, holdings);
  taken = said;
  // What a rolled back folder cannot bear out is not remembered.
  std::erase_if(taken, [&](const auto& entry) {
    const Log* log = find(holdings, entry.first);
    return log != nullptr && entry.second > log->last;
  });
  out.remembered = merged(remembered, taken);
  return out;
}

}  // namespace umberhoist::feeds
