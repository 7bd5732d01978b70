#include "budget.h"

#include <time.h>

#include <charconv>
#include <chrono>
#include <cstdlib>

#include "disk_faults.h"
#include "lasting_file.h"

namespace firspool::relay {
namespace {

constexpr Time kMs = 1000;
constexpr Time kTransit = 2 * kMs;  // a message's time runs from its client's sending
constexpr int kBootIdTries = 20;
constexpr Time kFine = 10 * kMs;  // below, a whole millisecond is a tenth of it

template <typename C>
Time read() {
  return std::chrono::duration_cast<std::chrono::microseconds>(C::now().time_since_epoch()).count();
}

// The first 64 bits of the random number that the kernel draws when it starts; 0: it cannot be read.
uint64_t read_boot_id() {
  std::string text;
  try {
    text = read_file("/proc/sys/kernel/random/boot_id");
  } catch (const DiskFault&) {
    return 0;
  }
  std::erase(text, '-');
  uint64_t out = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + std::min<size_t>(text.size(), 16), out, 16);
  return error == std::errc() && end == text.data() + 16 ? out : 0;
}

// Read again for as long as it cannot be read: without it windows and waits would hang on the wall clock.
uint64_t boot_id() {
  static uint64_t known = 0;
  for (int tries = 0; known == 0 && tries < kBootIdTries; ++tries) known = read_boot_id();
  return known;
}

// A machine whose wall clock is off, for trials: milliseconds, from the environment.
Time wall_offset() {
  const char* text = std::getenv("UMBERHOIST_WALL_OFFSET_MS");
  return text == nullptr ? 0 : std::strtoll(text, nullptr, 10) * kMs;
}

}  // namespace

Time lease_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<Time>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

Time steady_now() { return read<std::chrono::steady_clock>(); }

Instant instant_now() {
  static const Time offset = wall_offset();
  return {steady_now(), read<std::chrono::system_clock>() + offset, boot_id()};
}

Time here(const Instant& then, const Instant& now) {
  if (then.boot != 0 && then.boot == now.boot) return std::min(then.steady, now.steady);
  return now.steady - std::max<Time>(0, now.wall - then.wall);
}

Budget Budget::begin(Time read, Time given) {
  const Time bounded = std::clamp<Time>(given, 0, kMost);
  return Budget(read + bounded - std::min(kTransit, bounded));
}

std::string budget_text(Time left) {
  const Time some = std::max<Time>(0, left);
  return some < kFine ? std::to_string(some) + "u" : std::to_string(some / kMs) + "m";
}

}  // namespace firspool::relay
