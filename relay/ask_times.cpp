#include "ask_times.h"

#include <algorithm>

namespace firspool::relay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{2000};
constexpr int kTogether = 10;         // so few relays may ask at one moment
constexpr milliseconds kAskEach{50};  // and so much time is left for each ask of more

}  // namespace

AskTimes::AskTimes(const Settings& settings, uint64_t seed) : random_(seed), longest_(kLongestPause) {
  if (settings.relays > kTogether) {
    const milliseconds wide = std::min(settings.relays * kAskEach, milliseconds(settings.ask_every / 2000));
    // News that is pushed counts as told from when the agent has it: who asks late sends to a draining host.
    turn_ = settings.ask_for_list ? wide : std::min(wide, milliseconds(settings.drain_grace / 2000));
    longest_ = std::max(longest_, 2 * wide);
  }
  shortest_ = std::max(kFirstPause, turn_ / 2);
  back_off_ = shortest_;
}

milliseconds AskTimes::first() {
  return milliseconds(std::uniform_int_distribution<int64_t>(0, turn_.count())(random_));
}

// At random, so that relays which lost their watches together do not come back together.
milliseconds AskTimes::again() {
  const milliseconds pause(std::uniform_int_distribution<int64_t>(
      back_off_.count() / 2, back_off_.count() + back_off_.count() / 2)(random_));
  back_off_ = std::min(2 * back_off_, longest_);
  return pause;
}

}  // namespace firspool::relay
