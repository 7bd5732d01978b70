// The relay's part in an upgrade: one process takes over from another while both run.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "config_policy.h"
#include "log.h"
#include "relay.h"

namespace firspool::relay {
namespace {

constexpr double kFilePart = 0.47;   // of the disk, for one file: while it is compacted there are two
constexpr double kDiskPart = 0.96;   // what two processes share; the rest is a starting successor's
constexpr double kStartPart = 0.02;  // one file of a successor to which nothing was given yet
constexpr size_t kMostUnsent = 1024 * 1024;
constexpr auto kPeerPause = std::chrono::milliseconds(20);

size_t part(double share, size_t bytes) { return static_cast<size_t>(share * static_cast<double>(bytes)); }

}  // namespace

Relay::Standing Relay::take_places(const std::filesystem::path& folder) {
  auto first = Place::take(folder, 0);
  auto second = Place::take(folder, 1);
  if (!first && !second) throw std::runtime_error("two processes use " + folder.string() + " already");
  if (!first) return {std::move(*second), {}, true};
  if (!second) return {std::move(*first), {}, true};
  // A journal is rather gone on with than copied.
  if (!std::filesystem::exists(first->journal())) std::swap(first, second);
  return {std::move(*first), std::move(second), false};
}

size_t Relay::file_limit() const {
  const size_t disk = config_.disk_bytes - policy_disk(config_);
  if (!standing_.predecessor) return part(kFilePart, disk);
  if (share_.file == 0) return part(kStartPart, disk);
  const size_t both = part(kDiskPart, disk);
  return (both - std::min(both, share_.file)) / 2;
}

// What the other process left is this one's now.
void Relay::adopt(Place left) {
  const std::string bytes = left.read();
  std::vector<Recovered> entries = custody_.journal().adopt(bytes, taken_over_);
  if (!entries.empty()) {
    log_info("taken_over", std::to_string(entries.size()) + " messages taken over from a journal",
             {{"messages", entries.size()}});
  }
  left.remove();
  if (clients_) return custody_.resume(entries);
  waiting_.insert(waiting_.end(), entries.begin(), entries.end());
}

// Until the other process ends or says what may be used beside it, it serves and this one does not.
void Relay::succeed() {
  if (link_ || stopping_since_ != 0) return;
  if (auto left = Place::take(config_.state, 1 - custody_.journal().place())) {
    standing_.predecessor = false;
    share_ = {};
    apply_share();
    adopt(std::move(*left));
    taken_over_.clear();
    if (!clients_) serve();
    return;
  }
  if (!clients_) link_ = Handover::reach(io_, config_.state, 1 - custody_.journal().place());
  if (link_) {
    link_->start([this](Word word, const std::string& text) { heard_as_successor(word, text); },
                 [this] {
                   link_.reset();
                   succeed();
                 });
    return link_->say(Word::kReady, "");
  }
  peer_timer_.expires_after(kPeerPause);
  peer_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) succeed();
  });
}

void Relay::heard_as_successor(Word word, const std::string& text) {
  if (word == Word::kShare) return take_share(text);
  if (word != Word::kMessage) return;
  const std::string id = text.substr(0, text.find('\n'));
  const auto entries = custody_.journal().adopt(std::string_view(text).substr(id.size() + 1));
  if (entries.empty()) return;  // no room: the predecessor keeps it, and leaves it behind in its journal
  taken_over_.insert(id);
  link_->say(Word::kWritten, id);
  custody_.resume(entries, true);
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
    const WaitTold told{
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
  Retuned now{config_.settings};
  if (relays_ > 0) now.settings.relays = relays_;
  now.settings.slots -= std::min(now.settings.slots, static_cast<int>(share_.calls));
  now.settings.max_open -= std::min(now.settings.max_open, static_cast<int>(share_.held));
  happened(std::move(now));
  if (!handing_) custody_.journal().limit(file_limit());
  if (clients_) clients_->limit(client_limit());
}

void Relay::await_successor() {
  try {
    handover_.emplace(io_, config_.state, custody_.journal().place(),
                      [this](std::shared_ptr<Link> link) { asked(std::move(link)); });
  } catch (const std::exception& fault) {  // it can still wait for this process to end
    log_event(LogLevel::kWarning, "successor_cannot_ask",
              std::string("a successor cannot ask: ") + fault.what());
  }
}

void Relay::asked(std::shared_ptr<Link> link) {
  if (link_) return link->close();
  link_ = std::move(link);
  link_->start(
      [this](Word word, const std::string& text) {
        if (word == Word::kReady && !handing_) hand_over();
        if (word == Word::kWritten) passed_on(text);
      },
      [this] {
        link_.reset();
        if (handing_) successor_lost();
      });
}

void Relay::hand_over() {
  log_info("successor_takes_over",
           "a successor takes over: " + std::to_string(custody_.held().size()) + " messages held, " +
               std::to_string(upstream_.out()) + " calls out",
           {{"held", custody_.held().size()}, {"calls", upstream_.out()}});
  handing_ = closed_ = true;
  fleet_.reset();  // the successor needs its address
  clients_->finish();
  upstream_.close_all_idle();
  share_.file = custody_.journal().freeze();
  told_share_.clear();
  happened(Closing{steady_now()});  // starts no call, and lets those that are out end
  tell_share();
  wait_for_end();
}

// What is not out goes to the successor; the module forgets it, and the journal once it is written there.
void Relay::pass_on() {
  tell_share();  // waits told by now go ahead of the messages that must heed them
  if (!link_) return;
  for (auto& [number, held] : custody_.held()) {
    if (held.out || held.passed) continue;
    held.passed = true;
    happened(Withdrawn{number});
    link_->say(Word::kMessage, held.handed.id + "\n" + custody_.journal().records(held.handed.id));
  }
}

void Relay::passed_on(const std::string& id) {
  const auto number = custody_.number_of(id);
  if (!number) return;
  custody_.journal().done(id);
  custody_.forget(*number);
}

void Relay::tell_share() {
  // One that does not read hears the newest when it does again.
  if (!link_ || link_->unsent() > kMostUnsent) return;
  nlohmann::json ids = nlohmann::json::array();
  for (const auto& [id, number] : custody_.numbers()) ids.push_back(id);
  const Instant now = instant_now();
  nlohmann::json waits = nlohmann::json::array();
  for (const auto& [lane, wait] : waits_.all()) {
    if (wait.until <= now.steady) continue;
    const ListedHost* host = directory_.find(lane.second);
    waits.push_back({{"cell", lane.first},
                     {"id", host == nullptr ? "" : host->id},
                     {"until", wait.until + now.wall - now.steady},
                     {"steady", wait.until}});
  }
  const nlohmann::json share = {{"calls", upstream_.out()},
                                {"held", custody_.held().size()},
                                {"clients", clients_->open()},
                                {"file", share_.file},
                                {"ids", ids},
                                {"boot", now.boot},
                                {"waits", waits},
                                {"facts", told_share_.empty() ? custody_.journal().remembered()
                                                              : std::map<std::string, std::string>{}}};
  std::string text = share.dump();
  if (text == told_share_) return;
  link_->say(Word::kShare, text);
  told_share_ = std::move(text);
}

// It took over and is gone: this process serves again, with what the other had.
void Relay::successor_lost() {
  if (stopping_since_ != 0) return;
  auto left = Place::take(config_.state, 1 - custody_.journal().place());
  if (!left) {
    peer_timer_.expires_after(kPeerPause);
    peer_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error && handing_ && !link_) successor_lost();
    });
    return;
  }
  log_event(LogLevel::kWarning, "successor_gone", "the successor is gone: serving again");
  handing_ = closed_ = false;
  share_ = {};
  custody_.journal().limit(file_limit());
  happened(Closing{std::numeric_limits<Time>::max()});
  // A message that it had written may have been sent by it: its records count, not the ones here.
  for (const Recovered& entry : custody_.journal().read(left->read())) passed_on(entry.message.id);
  adopt(std::move(*left));
  std::vector<Recovered> again;
  std::vector<uint64_t> passed;
  for (const auto& [number, held] : custody_.held()) {
    if (!held.passed) continue;
    passed.push_back(number);
    for (Recovered& entry : custody_.journal().read(custody_.journal().records(held.handed.id))) {
      again.push_back(std::move(entry));
    }
  }
  for (const uint64_t number : passed) custody_.forget(number);
  custody_.resume(again);
  join_fleet();
  clients_.reset();
  listen();
}

}  // namespace firspool::relay
