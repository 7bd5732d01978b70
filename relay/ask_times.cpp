#include "ask_times.h"

#include <algorithm>

namespace firspool::relay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstPause{50};  // of few relays; doubled each time
constexpr int kTogether = 10;            // so few relays may ask at one moment
constexpr milliseconds kAskEach{50};     // and so much time is left for each ask of more, as far as it goes

}  // namespace

AskTimes::AskTimes(const Settings& settings, uint64_t seed)
    : random_(seed), pushed_(kLongestPause), slow_(settings.list_on_request) {
  const milliseconds grace(settings.drain_grace / 1000);
  if (!settings.list_on_request && grace.count() > 0) pushed_ = std::clamp(grace / 4, kFirstPause, pushed_);
  if (settings.relays <= kTogether) return;
  turn_ =
      std::min({settings.relays * kAskEach, milliseconds(settings.list_request_interval / 2000), kFirstTurn});
  if (!settings.list_on_request) turn_ = std::min(turn_, grace / 2);
}

milliseconds AskTimes::first() {
  return milliseconds(std::uniform_int_distribution<int64_t>(0, turn_.count())(random_));
}

// At random, so that relays which lost their watches together do not come back together.
milliseconds AskTimes::again() {
  ++failed_;
  const milliseconds most = most_pause();
  return milliseconds(std::uniform_int_distribution<int64_t>(most.count() / 4, most.count())(random_));
}

milliseconds AskTimes::most_pause() const {
  const milliseconds bound = std::min(pushed_, failed_ <= 2 ? kLostPause : kLongestPause);
  if (turn_.count() > 0) return std::min(bound, std::max(turn_, kFirstPause));
  return std::min(bound, kFirstPause * (1 << std::min(failed_ - 1, 6)));
}

}  // namespace firspool::relay
