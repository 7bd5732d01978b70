// What the module keeps of messages, hosts and destinations: shared by the parts that decide with it.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <utility>

#include "estimates.h"
#include "firspool/actions.h"

namespace firspool::detail {

// Retry bucket: a served call earns a tenth, so repeats stay under a tenth when failures are common.
constexpr int kToken = 10;               // in parts; a served call earns one
constexpr int kBucketCap = 10 * kToken;  // full at the start: short troubles are ridden out by N retries

constexpr Time kPauseMost = 250 * kMs;  // of the random pauses that keep relays and repeats out of step
constexpr double kHopeLeast = 0.35;     // a smaller share than this is not waited for when slots are short

// What the fleet granted of a whole. The bucket begins empty: no part is spent twice by moving.
struct Part : Pacer {
  double per_s = -1;  // below 0: nothing was granted
  double burst = 0;

  bool held() const { return per_s >= 0; }
  void grant(const ShareGranted& e, Time now) {
    refill(now, std::max(0.0, per_s), burst);  // by the old rate until now
    per_s = e.per_s;
    burst = per_s > 0 ? std::max(1.0, per_s * e.burst_s) : 0;
  }
  double owed() const { return per_s > 0 ? std::max(0.0, 1 - tokens) : 0; }
  Time ready(Time now) {
    if (per_s <= 0) return kNever;
    refill(now, per_s, burst);
    return Pacer::ready(now, per_s);
  }
};

struct Attempt {
  Endpoint endpoint;
  Time sent = 0;
  uint64_t call = 0;
  bool cancelled = false, scout = false;  // scout: sent to find an outage, or its end
  Time idle = 0;                          // how long its connection had been idle; 0: fresh or busy
};

struct Message
    : MessageReceived {  // its attempts, and whether one may have run, are counted on from its arrival
  Time target = 0, not_before = 0;  // target: until then it earns its full worth
  double worth = 0;
  bool out = false, withdrawn = false;
  bool repeat = false;       // the next send pays a token
  bool resumed_ran = false;  // before a restart, by a lost outcome: a client's retry might outlast its key
};

// What the rules tie to a destination: all its endpoints, or one where routes are apart.
using LaneKey = std::pair<int, Endpoint>;  // a destination; and an endpoint where routes are apart

struct Lane {
  LaneKey key;
  Part* part = nullptr;  // of the destination: all its routes share it
  Time wait_until = 0;
  double limit = 0;  // calls a second from all relays together; 0: unknown or none
  double pace = 0;   // own sends a second at most; 0: never refused
  double paced = 0;  // pace that a served call restores: one cut below that before the refusals in a row
  Time cut_at = 0;   // when the pace was last cut; calls sent before tell nothing new
  Time reported_at = kNever;  // when the limit was last told
  bool steered = false;       // the pace follows what is reported of the limit, not the own refusals
  bool reachable = false;     // an endpoint of it is listed as ready
  Pacer pacer, cold;
  double room = 1;         // mean share of the limit that is left, as reported or from refusals
  bool bound = false;      // a message waited for the pace since the last served call
  int streak = 0;          // calls in a row that were not served
  int unconnected = 0;     // calls that got no connection since one was served
  int overdue = 0;         // calls out past the suspicious age, with nothing served since
  int hard = 0;            // the last of these that were failures; a refusal between shows that it lives
  Time streak_since = 0;   // when the first that no limit explains was sent
  Time hard_since = 0;     // and the first of those failures
  Time out_since = 0;      // 0: no outage
  bool suspected = false;  // the outage rests on overdue calls alone
  Time back_since = 0;     // first served call after the outage; 0: still out
  double base = 0;         // own served rate before it
  int scouts = 0;          // out now
  Time last_served_sent = std::numeric_limits<Time>::min();  // when the youngest served call was sent
  bool probe_out = false, probe_ok = false;
  Rate served;

  // A part takes the place of the pace; where routes are apart each has its own beside it.
  bool granted() const { return part->held() && key.second == Endpoint{}; }
  double own_pace() const { return granted() ? 0 : pace; }
  bool out() const { return out_since != 0 && back_since == 0; }
};

struct Host {
  Member member;
  Lane* lane = nullptr;
  int calls = 0, conns = 0, fails = 0;
  Time last_used = 0, avoid_until = 0;
  Latency latency;
  Rate sent;  // own calls

  bool ready() const { return member.listing == Listing::kReady; }
  bool gone() const { return member.listing == Listing::kGone; }  // forgotten once no call is out
};

// What is alike among destinations of a kind: the prior for one that this relay seldom calls.
struct Kind {
  Latency latency;
  double unconnected = 0;  // share of calls that got no connection; falls slowly
};

struct Destination {
  std::map<Endpoint, Host*> hosts;
  Time open = 0;  // told waits hold all its hosts until then
  int kind = 0, calls = 0;
  std::set<std::pair<int, int>> known;  // zones and kinds that were ever listed
  int tokens = kBucketCap;              // in parts
  DestinationSnapshot remembered{0, kBucketCap};
  Latency latency, usual;  // usual: the pace without outliers, against which the slot share narrows
};

// What all parts share. In a step each reads the time here, and says here what is done and when to come back.
struct State {
  State(const Settings& settings, uint64_t seed) : random(seed) { retune(settings); }

  // Where the numbers of tenants or kinds shift, what is kept by them starts anew; the list is told again.
  void retune(const Settings& next) {
    if (next.classes.empty()) throw std::invalid_argument("settings hold no class");
    const auto same = [](const auto& a, const auto& b) { return a.name == b.name; };
    if (!std::ranges::equal(set.tenants, next.tenants, same)) {
      tenant_pacers.clear();
      std::erase_if(parts,
                    [](const auto& entry) { return entry.first.first == ShareGranted::Scope::kTenant; });
    }
    if (!std::ranges::equal(set.kinds, next.kinds, same)) kinds.clear();
    set = next;
    rules = message_rules(set);
    longest = kSecond;
    for (const ClassSettings& c : set.classes) longest = std::max(longest, c.time_to_live);
  }

  void tell(Action action) { out->push_back(std::move(action)); }
  // What is remembered of a destination may be another now.
  void touch(int destination) { touched.insert(destination); }
  // A destination went out or came back: its endpoints are avoided, or are not any more.
  void turned(int destination) {
    touch(destination);
    avoided_counted = false;
  }
  void wake(Time at) { wake_at = at > now ? std::min(wake_at, at) : wake_at; }

  Lane& lane(const LaneKey& key) {
    const auto [it, fresh] = lanes.try_emplace(key);
    if (fresh) it->second.part = &parts[{ShareGranted::Scope::kDestination, (it->second.key = key).first}];
    return it->second;
  }
  Part& part_of(const Destination& d) {
    return parts[{ShareGranted::Scope::kDestination, d.remembered.destination}];
  }
  Part& limit(int number) { return parts[{ShareGranted::Scope::kLimit, number}]; }
  const Latency& latency_of(const Destination& d) {
    return d.latency.seen > 0 ? d.latency : kinds[d.kind].latency;
  }
  const Latency& latency_of(const Host& host) { return latency_of(destinations[host.member.destination]); }

  Settings set;
  std::vector<std::shared_ptr<const MessageRules>> rules;  // of new messages, by class
  Random random;
  Time now = std::numeric_limits<Time>::min();
  Time started = kNever;  // when the first step was
  std::vector<Action>* out = nullptr;
  Time wake_at = kNever;
  Time closing = kNever;         // when this process ends
  Time longest = kSecond;        // life of the longest-lived class
  double hope = 2 * kHopeLeast;  // share of the calls past the suspicious age that are served after all
  std::map<int, Kind> kinds;
  std::map<int, Pacer> tenant_pacers;
  std::map<std::pair<ShareGranted::Scope, int>, Part> parts;  // of a tenant's quota only the rate counts
  std::map<uint64_t, Message> messages;
  std::map<std::pair<uint64_t, int>, Attempt> attempts;
  std::map<uint64_t, int> calls;  // calls out, with their messages that have no outcome yet
  std::map<Endpoint, Host> hosts;
  std::map<int, Destination> destinations;
  std::map<LaneKey, Lane> lanes;
  // A step looks at what changed, however long the list is.
  std::set<int> touched;         // destinations, since the last step
  bool avoided_counted = false;  // the endpoints that are passed over are those that were counted last
};

}  // namespace firspool::detail
