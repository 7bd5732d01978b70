#include "custody.h"

#include <algorithm>

namespace firspool::relay {
namespace {

constexpr Time kMs = 1000;

std::map<std::string, std::shared_ptr<const MessageRules>> rules_by_name(const Settings& settings) {
  std::map<std::string, std::shared_ptr<const MessageRules>> out;
  for (auto& rules : message_rules(settings)) out[rules->name] = std::move(rules);
  return out;
}

}  // namespace

Custody::Custody(boost::asio::io_context& io, Place place, size_t most_file, const Settings& settings,
                 const umberhoist::access::Rules& rules, const tcp::endpoint& discovery,
                 const ToldWaits& waits, Happened happened, size_t end_room)
    : tenants_(settings.tenants),
      rules_(rules_by_name(settings)),
      customers_(rules),
      journal_(std::move(place), most_file, instant_now, end_room),
      figures_(settings.classes),
      notices_(io, discovery, [this](const std::string& id) { noticed(id); }),
      waits_(waits),
      happened_(std::move(happened)) {
  journal_.keep_hits(customers_.in_force());
}

void Custody::tell(Outcomes& outcomes) {
  outcomes_ = &outcomes;
  journal_.keep_ended(outcomes.complete(journal_.ended()));
}

void Custody::catch_up() {
  if (journal_.catch_up()) journal_.logged(outcomes_->append());
}

void Custody::retune(const Settings& settings, const umberhoist::access::Rules& access) {
  customers_.retune(access);
  grant();
  journal_.keep_hits(customers_.in_force());
  tenants_ = settings.tenants;
  const auto old = std::exchange(rules_, rules_by_name(settings));
  figures_.show(settings.classes);
  for (const auto& [name, rules] : old) {
    if (!rules_.contains(name)) forget_class(name);
  }
}

void Custody::divide_limits(int relays) {
  relays_ = relays;
  grant();
}

void Custody::grant() {
  if (relays_ == 0) return;
  for (const ShareGranted& part : customers_.even_parts(relays_)) happened_(part);
}

// Sites without tenants name none.
int Custody::tenant_of(const std::string& name) const {
  if (tenants_.empty()) return 0;
  const auto it = std::ranges::find(tenants_, name, &TenantSettings::name);
  return it == tenants_.end() ? -1 : static_cast<int>(it - tenants_.begin());
}

std::variant<uint64_t, std::string> Custody::put(Handed handed) {
  if (const auto number = number_of(handed.id)) {  // sent once more
    if (!held_.at(*number).taken) return *number;  // in this very turn: one decision answers both
    return "+OK";
  }
  if (journal_.holds(handed.id)) return "+OK";  // it is over, and its notice is on its way
  const auto rules = rules_.find(handed.message_class);
  if (rules == rules_.end()) return "-ERR unknown class";
  const int tenant = tenant_of(handed.tenant);
  if (tenant < 0) return "-ERR unknown tenant";
  handed.verdict = customers_.of(handed);
  if (handed.verdict && !handed.verdict->denied_by.empty()) {
    if (!journal_.denied(*handed.verdict)) return "-BUSY";
    ++denied_;
    return "-DENIED " + handed.verdict->denied_by;
  }
  const uint64_t number = ++last_number_;
  MessageReceived in;
  in.id = number;
  in.rules = handed.rules = rules->second;
  in.tenant = tenant;
  in.key = handed.sequence_key;
  in.holds_order = true;
  in.due = handed.budget.due();
  in.destination = handed.destination;
  in.routes = umberhoist::access::routes_of(handed.verdict);
  in.storage_available = journal_.has_room(handed);
  numbers_[handed.id] = number;
  held_[number] = {std::move(handed), 0, false, false, Stage::kQueue, steady_now()};
  happened_(in);
  return number;
}

std::string Custody::decided(uint64_t number, const Action* away, bool shut) {
  const auto held = held_.find(number);
  const Handed& handed = held->second.handed;
  std::string line = "+OK";
  if (const auto* refuse = away == nullptr ? nullptr : std::get_if<Refuse>(away)) {
    const Time ms = (refuse->retry_after + kMs - 1) / kMs;
    line = ms > 0 ? "-BUSY " + std::to_string(ms) : "-BUSY";
    figures_.refused(handed.message_class, Figures::Place::kDoor, refuse->reason);
  } else if (away != nullptr) {
    line = "-ERR failed";
    figures_.failed(handed.message_class);
  } else if (shut || !journal_.accepted(handed)) {
    line = "-BUSY";  // it could not be written, though there seemed to be room
    figures_.refused(handed.message_class, Figures::Place::kDoor, Reason::kStorageFull);
    happened_(MessageReleased{number});
  }
  if (line == "+OK") {
    held->second.taken = true;
    figures_.taken();
  } else {
    if (away != nullptr && handed.sequence_key != 0) happened_(MessageReleased{number, handed.sequence_key});
    numbers_.erase(handed.id);
    held_.erase(held);
  }
  return line;
}

Custody::Held* Custody::find(uint64_t number) {
  const auto it = held_.find(number);
  return it == held_.end() ? nullptr : &it->second;
}

std::optional<uint64_t> Custody::number_of(const std::string& id) const {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? std::nullopt : std::optional(it->second);
}

// Of the time before the first attempt, a told wait's part is no queue's.
void Custody::enter(Held& held, Stage next) {
  const Time now = steady_now();
  Time spent = now - held.since;
  if (held.stage == Stage::kQueue) {
    const Time told = waits_.within({held.handed.destination, Endpoint{}}, held.since, now);
    figures_.spent(Stage::kWait, told);
    spent -= told;
  }
  figures_.spent(held.stage, spent);
  held.stage = next;
  held.since = now;
}

bool Custody::sends(Held& held, int attempt, int zone) {
  if (!journal_.attempt(held.handed.id, attempt, zone)) return false;
  enter(held, Stage::kAnswer);
  return true;
}

void Custody::finish(uint64_t number, std::optional<Notice> notice, Reason reason, bool served) {
  const Held& held = held_.at(number);
  const std::string& name = held.handed.message_class;
  figures_.ended(held.stage);
  if (served) {
    figures_.served(name);
  } else if (notice && notice->returned) {
    figures_.refused(name, Figures::Place::kHeld, reason);
  } else {
    figures_.failed(name);
  }
  std::optional<Ended> ended;
  if (outcomes_ != nullptr) {
    using umberhoist::feeds::Answer;
    const bool returned = notice && notice->returned;
    ended = outcomes_->end(held.handed, served     ? Answer::kDelivered
                                        : returned ? Answer::kReturned
                                                   : Answer::kFailed);
  }
  const Ended* outcome = ended ? &*ended : nullptr;
  const bool written = notice ? journal_.owed(*notice, outcome) : journal_.done(held.handed.id, outcome);
  if (ended && written) journal_.logged(outcomes_->append());
  if (notice && held.handed.sequence_key != 0) {
    ending_[held.handed.id] = {number, held.handed.sequence_key};
  }
  if (notice) notices_.add(std::move(*notice));
  forget(number);
}

void Custody::noticed(const std::string& id) {
  journal_.done(id);
  if (const auto ended = ending_.extract(id)) happened_(ended.mapped());
}

// A class that left the settings goes with the last of its messages.
void Custody::forget(uint64_t number) {
  const auto held = held_.find(number);
  const std::string name = held->second.handed.message_class;
  enter(held->second, held->second.stage);
  numbers_.erase(held->second.handed.id);
  held_.erase(held);
  if (!rules_.contains(name)) forget_class(name);
}

void Custody::forget_class(const std::string& name) {
  const bool open = std::ranges::any_of(
      held_, [&](const auto& entry) { return entry.second.handed.message_class == name; });
  if (!open) figures_.forget(name);
}

}  // namespace firspool::relay
