#include "heartbeat.h"

#include <algorithm>

namespace umberhoist::fleet {

Heartbeat::Heartbeat(Settings settings) : settings_(std::move(settings)) {
  const auto& all = settings_.members;
  const auto self = std::ranges::find(all, settings_.name);
  const size_t at = static_cast<size_t>(self - all.begin());
  const size_t most = std::min(static_cast<size_t>(settings_.watchers), all.size() - 1);
  for (size_t i = 1; i <= most; ++i) {
    watchers_.push_back(all[(at + i) % all.size()]);
    heard_[all[(at + all.size() - i) % all.size()]] = 0;
  }
}

void Heartbeat::start(Time now) {
  for (auto& [name, at] : heard_) at = now;
  woke(now);
}

void Heartbeat::received(Time now, const std::string& from, std::string_view) {
  const auto it = heard_.find(from);
  if (it == heard_.end()) return;
  it->second = now;
  gone_.erase(from);
}

void Heartbeat::woke(Time now) {
  for (const std::string& watcher : watchers_) send(watcher, settings_.name);
  for (const auto& [name, at] : heard_) {
    if (now - at > settings_.patience * settings_.period) gone_.insert(name);
  }
  next_ = now + settings_.period;
}

}  // namespace umberhoist::fleet
