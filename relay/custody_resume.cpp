// What was taken on before a restart, or by another process, as custody takes it over.
#include "custody.h"

namespace firspool::relay {

void Custody::resume(const std::vector<Recovered>& entries, bool pause) {
  bool limited = false;
  for (const Recovered& entry : entries) {
    if (entry.owed) {
      notices_.add(*entry.owed);
      continue;
    }
    const uint64_t number = ++last_number_;
    Held& held = held_[number];
    held.handed = entry.message;
    held.handed.verdict = customers_.recorded(entry.verdict);
    limited = limited || (held.handed.verdict && !held.handed.verdict->limits.empty());
    held.attempts = entry.attempts;
    held.since = steady_now();
    held.taken = true;
    held.stage = entry.attempts > 0 ? Stage::kWait : Stage::kQueue;
    numbers_[entry.message.id] = number;
    MessageReceived in;
    in.id = number;
    in.rules = entry.message.rules;
    if (const auto known = rules_.find(entry.message.message_class); !in.rules && known != rules_.end()) {
      in.rules = held.handed.rules = known->second;
    }
    if (!in.rules) {  // nothing is known of what it allows
      finish(number, Notice{entry.message.id, false, 0});
      continue;
    }
    in.tenant = tenant_of(entry.message.tenant);  // -1: it left the settings, and spends no other's quota
    in.key = held.handed.sequence_key;
    in.holds_order = true;
    in.due = held.handed.budget.due();
    in.destination = entry.message.destination;
    in.routes = umberhoist::access::routes_of(held.handed.verdict);
    in.resumed = true;
    in.attempts = entry.attempts;
    in.needs_backoff = pause;
    if (!entry.unsettled.empty()) {
      const auto& [sent, zone] = entry.unsettled.begin()->second;
      in.maybe_executed = true;
      in.maybe_executed_sent_at = sent;
      in.maybe_executed_zone = zone;
    }
    happened_(in);
  }
  if (limited) grant();  // heard in the same step, before anything is decided
}

void Custody::give_back(const std::vector<Recovered>& entries) {
  for (const Recovered& entry : entries) {
    const std::string& id = entry.message.id;
    const bool untouched = entry.unsettled.empty();
    notices_.add(entry.owed ? *entry.owed : Notice{id, untouched, 0});
  }
}

}  // namespace firspool::relay
