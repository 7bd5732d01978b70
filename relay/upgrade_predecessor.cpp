// An upgrade's predecessor: what is passed on to the successor, and what is done where that one fails.
#include <limits>
#include <nlohmann/json.hpp>

#include "disk_faults.h"
#include "log.h"
#include "relay.h"

namespace firspool::relay {
namespace {

constexpr size_t kMostUnsent = 1024 * 1024;  // bytes

}  // namespace

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
  if (access_) access_->leave();
  feeds_.reset();
  fleet_.reset();  // the successor needs its address
  clients_->finish();
  upstream_.close_all_idle();
  share_.file = custody_.journal().freeze();
  told_share_.clear();
  happened(ShuttingDown{steady_now()});  // starts no call, and lets those that are out end
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
    happened(MessageReleased{number});
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

// A message that the successor could not write is owed its end here, until its process says otherwise.
void Relay::end_overdue_passed() {
  const Time now = steady_now();
  std::vector<uint64_t> over;
  for (const auto& [number, held] : custody_.held()) {
    if (held.passed && held.handed.budget.over(now)) over.push_back(number);
  }
  for (const uint64_t number : over) {
    const Custody::Held& held = *custody_.find(number);
    custody_.finish(number, Notice{held.handed.id, held.attempts == 0, 0});
  }
}

void Relay::look_for_successor_again() {
  after_pause(peer_timer_, [this] {
    if (handing_ && !link_) successor_lost();
  });
}

// It took over and is gone: this process serves again, with what the other had.
void Relay::successor_lost() {
  if (stopping_since_ != 0) return;
  auto left = take_other_place();
  if (!left) return look_for_successor_again();
  std::vector<Recovered> written;
  try {
    written = custody_.journal().read(left->read());
  } catch (const DiskFault& fault) {
    log_not_taken_over(fault);
    return look_for_successor_again();
  }
  log_event(LogLevel::kWarning, "successor_gone", "the successor is gone: serving again");
  handing_ = closed_ = false;
  share_ = {};
  custody_.journal().limit(file_limit());
  happened(ShuttingDown{std::numeric_limits<Time>::max()});
  // A message that it had written may have been sent by it: its records count, not the ones here.
  for (const Recovered& entry : written) {
    passed_on(entry.message.id);
    share_.ids.insert(entry.message.id);
  }
  standing_.left = std::move(left);
  adopt_later();
  resume_passed();
  clients_.reset();
  serve();
}

// Until its files can be written the successor's messages are known by their ids, and owed.
void Relay::adopt_later() {
  if (adopt_while_running(*standing_.left)) {
    standing_.left.reset();
    share_.ids.clear();
    return;
  }
  after_pause(peer_timer_, [this] { adopt_later(); });
}

// What the successor did not write is this process's as before.
void Relay::resume_passed() {
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
}

}  // namespace firspool::relay
