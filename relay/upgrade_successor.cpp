// An upgrade's successor: whose journals there are at the start, and what is taken over from the process that
// serves.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "config_policy.h"
#include "disk_faults.h"
#include "log.h"
#include "relay.h"

namespace firspool::relay {
namespace {

constexpr double kFilePart = 0.47;   // of the disk, for one file: while it is compacted there are two
constexpr double kDiskPart = 0.96;   // what two processes share; the rest is a starting successor's
constexpr double kStartPart = 0.02;  // one file of a successor to which nothing was given yet

size_t part(double share, size_t bytes) { return static_cast<size_t>(share * static_cast<double>(bytes)); }

}  // namespace

Relay::Standing Relay::take_places(const std::filesystem::path& folder) {
  auto first = Place::take(folder, 0);
  auto second = Place::take(folder, 1);
  if (!first && !second) throw std::runtime_error("two processes use " + folder.string() + " already");
  if (!first) return {std::move(*second), {}, true};
  if (!second) return {std::move(*first), {}, true};
  // A journal is rather gone on with than copied.
  std::error_code unknown;
  if (!std::filesystem::exists(first->journal(), unknown)) std::swap(first, second);
  return {std::move(*first), std::move(second), false};
}

size_t Relay::file_limit() const {
  const size_t disk =
      config_.disk_bytes - policy_disk(config_) - AccessLink::disk(config_) - feed_disk(config_);
  if (!standing_.predecessor) return part(kFilePart, disk);
  if (share_.file == 0) return part(kStartPart, disk);
  const size_t both = part(kDiskPart, disk);
  return (both - std::min(both, share_.file)) / 2;
}

// What the other process left is this one's once all of it is written here and nothing is left there: before,
// none of it is acted on, so that a process which is killed in between finds all of it again and nothing
// twice. False: the folder's files fail, and it is to be tried again.
bool Relay::adopt(const Place& left) {
  const std::string bytes = left.read();
  if (outcomes_) outcomes_->complete_other(custody_.journal().ended_in(bytes));
  Journal::Adopted found = custody_.journal().adopt(bytes, taken_over_);
  adopted_.insert(adopted_.end(), found.taken.begin(), found.taken.end());
  if (!found.unwritten.empty() || !left.remove()) {
    notify_overdue(found.unwritten);
    notify_overdue(adopted_);
    return false;
  }
  if (!adopted_.empty()) {
    log_info("taken_over", std::to_string(adopted_.size()) + " messages taken over from a journal",
             {{"messages", adopted_.size()}});
  }
  show_access();
  custody_.give_back(found.without_room);
  waiting_.insert(waiting_.end(), adopted_.begin(), adopted_.end());
  adopted_.clear();
  notified_.clear();
  if (clients_) custody_.resume(std::exchange(waiting_, {}));
  return true;
}

// What cannot be written yet is owed its end all the same; one that is told twice does no harm.
void Relay::notify_overdue(const std::vector<Recovered>& entries) {
  const Time now = steady_now();
  for (const Recovered& entry : entries) {
    if (!entry.message.budget.over(now) || !notified_.insert(entry.message.id).second) continue;
    custody_.give_back({entry});
  }
}

// As adopt(), of a process that ended while this one runs.
bool Relay::adopt_while_running(const Place& left) {
  try {
    return adopt(left);
  } catch (const DiskFault& fault) {
    log_not_taken_over(fault);
    return false;
  }
}

// The other process's, where that is gone.
std::optional<Place> Relay::take_other_place() {
  try {
    return Place::take(config_.state, 1 - custody_.journal().place());
  } catch (const DiskFault& fault) {
    log_not_taken_over(fault);
    return {};
  }
}

void Relay::log_not_taken_over(const DiskFault& fault) {
  log_event(LogLevel::kWarning, "not_taken_over", fault.line(), {{"reason", fault.code()}});
}

// Until the other process ends or says what may be used beside it, it serves and this one does not.
void Relay::succeed() {
  if (link_ || stopping_since_ != 0) return;
  if (!standing_.left) standing_.left = take_other_place();
  if (standing_.left) {
    standing_.predecessor = false;
    share_ = {};
    apply_share();
    if (!adopt_while_running(*standing_.left)) return succeed_later();
    standing_.left.reset();
    taken_over_.clear();
    if (!clients_) serve();
    return;
  }
  if (!clients_) link_ = Handover::reach(io_, config_.state, 1 - custody_.journal().place());
  if (link_) {
    link_->start([this](Word word, const std::string& text) { heard_as_successor(word, text); },
                 [this] {
                   link_.reset();
                   unwritten_.clear();  // its journal has them
                   succeed();
                 });
    return link_->say(Word::kReady, "");
  }
  succeed_later();
}

void Relay::succeed_later() {
  after_pause(peer_timer_, [this] { succeed(); });
}

void Relay::after_pause(boost::asio::steady_timer& timer, std::function<void()> then) {
  timer.expires_after(Handover::kPause);
  timer.async_wait([then = std::move(then)](const boost::system::error_code& error) {
    if (!error) then();
  });
}

void Relay::heard_as_successor(Word word, const std::string& text) {
  if (word == Word::kShare) return take_share(text);
  if (word != Word::kMessage) return;
  if (take_passed(text)) return;
  unwritten_.push_back(text);
  if (unwritten_.size() == 1) take_passed_later();
}

// False: it cannot be written here now. The predecessor keeps it until then, and leaves it behind in its
// journal if it ends before.
bool Relay::take_passed(const std::string& text) {
  const std::string id = text.substr(0, text.find('\n'));
  const auto found = custody_.journal().adopt(std::string_view(text).substr(id.size() + 1));
  if (!found.unwritten.empty() || !found.without_room.empty()) return false;
  taken_over_.insert(id);
  link_->say(Word::kWritten, id);
  custody_.resume(found.taken, true);
  return true;
}

void Relay::take_passed_later() {
  after_pause(passed_timer_, [this] {
    std::erase_if(unwritten_, [this](const std::string& text) { return take_passed(text); });
    if (!unwritten_.empty()) take_passed_later();
  });
}

void Relay::take_share(const std::string& text) {
  const nlohmann::json said = nlohmann::json::parse(text);
  share_.calls = said.at("calls").get<size_t>();
  share_.held = said.at("held").get<size_t>();
  share_.clients = said.at("clients").get<size_t>();
  share_.file = said.at("file").get<size_t>();
  share_.ids = said.at("ids").get<std::set<std::string>>();
  apply_share();
  if (!clients_) {
    const auto facts = said.at("facts").get<std::map<std::string, std::string>>();
    for (const auto& [name, value] : facts) {
      if (!custody_.journal().remembered().contains(name)) custody_.journal().remember(name, value);
    }
    recall(facts);
  }
  const Instant now = instant_now();
  for (const auto& wait : said.at("waits")) {
    Endpoint endpoint;
    const auto id = wait.at("id").get<std::string>();
    for (const auto& [handle, host] : directory_.hosts()) {
      if (host.id == id) endpoint = handle;
    }
    if (!id.empty() && endpoint == Endpoint{}) continue;  // a host that left the list
    // An earlier version tells no steady clock.
    const bool steady = said.value("boot", uint64_t{0}) == now.boot && now.boot != 0;
    const RetryAfterReceived told{
        wait.at("cell").get<int>(), endpoint,
        steady ? wait.at("steady").get<Time>() : wait.at("until").get<Time>() + now.steady - now.wall};
    const Lane lane{told.destination, told.endpoint};
    // Wall clocks are read anew each time.
    if (const Time known = waits_.until(lane); known != 0 && told.until <= known + 1000) continue;
    waits_.tell(lane, told.until);
    happened(told);
  }
  if (!clients_) serve();
}

// The module gets the settings as far as this process may use them.
void Relay::apply_share() {
  SettingsChanged now{config_.settings};
  if (relays_ > 0) now.settings.relays = relays_;
  if (!budgets_) custody_.divide_limits(now.settings.relays);
  now.settings.max_in_flight -= std::min(now.settings.max_in_flight, static_cast<int>(share_.calls));
  now.settings.max_open -= std::min(now.settings.max_open, static_cast<int>(share_.held));
  happened(std::move(now));
  if (!handing_) custody_.journal().limit(file_limit());
  if (clients_) clients_->limit(client_limit());
}

}  // namespace firspool::relay
