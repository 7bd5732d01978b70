#include "heartbeat.h"

#include <algorithm>

namespace umberhoist::fleet {

Heartbeat::Heartbeat(Settings settings) : settings_(std::move(settings)) {
  const auto& members = settings_.members;
  const auto own = std::ranges::find(members, settings_.name);
  const size_t own_index = static_cast<size_t>(own - members.begin());
  const size_t count = std::min(static_cast<size_t>(settings_.watcher_count), members.size() - 1);
  for (size_t i = 1; i <= count; ++i) {
    watchers_.push_back(members[(own_index + i) % members.size()]);
    last_received_[members[(own_index + members.size() - i) % members.size()]] = 0;
  }
}

void Heartbeat::start(Time now) {
  for (auto& [name, received] : last_received_) received = now;
  on_timer(now);
}

void Heartbeat::on_datagram(Time now, const std::string& from, std::string_view) {
  const auto it = last_received_.find(from);
  if (it == last_received_.end()) return;
  it->second = now;
  failed_.erase(from);
}

void Heartbeat::on_timer(Time now) {
  for (const std::string& watcher : watchers_) send(watcher, settings_.name);
  for (const auto& [name, received] : last_received_) {
    if (now - received > settings_.timeout_periods * settings_.period) failed_.insert(name);
  }
  next_wakeup_ = now + settings_.period;
}

}  // namespace umberhoist::fleet
