#include "log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace firspool::relay {
namespace {

// A pipe that poll() calls writable takes at least this much without blocking (PIPE_BUF of pipe(7)).
constexpr size_t kPiece = 4096;

class StandardError : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    writer_.write({line.data(), line.size()});
  }
  void flush_() override {}

 private:
  BoundedWriter writer_{STDERR_FILENO};
};

LogFormat format_now = LogFormat::kText;

spdlog::level::level_enum spd(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

spdlog::logger& logger() {
  static const auto one = [] {
    auto made = std::make_shared<spdlog::logger>("umberhoist", std::make_shared<StandardError>());
    made->set_pattern("%v");
    return made;
  }();
  return *one;
}

}  // namespace

void BoundedWriter::write(std::string_view line) {
  drain();
  if (pending_.size() + line.size() > kMostPending) {
    ++dropped_;
    return;
  }
  if (dropped_ > 0 && pending_.size() + line.size() + 64 <= kMostPending / 2) {
    pending_ += "log: " + std::to_string(std::exchange(dropped_, 0)) + " lines were dropped\n";
  }
  pending_ += line;
  drain();
}

void BoundedWriter::drain() {
  while (!pending_.empty()) {
    pollfd ready{fd_, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      if ((ready.revents & (POLLERR | POLLNVAL)) != 0) pending_.clear();  // nobody reads it any more
      return;
    }
    const ssize_t written = ::write(fd_, pending_.data(), std::min(pending_.size(), kPiece));
    if (written <= 0) return;
    pending_.erase(0, static_cast<size_t>(written));
  }
}

std::string one_line(std::string text) {
  std::ranges::replace_if(
      text, [](unsigned char c) { return c < 0x20; }, ' ');
  return text;
}

void set_up_log(LogFormat format, LogLevel level) {
  format_now = format;
  logger().set_level(spd(level));
}

void log_event(LogLevel level, std::string_view name, std::string_view text,
               std::initializer_list<LogField> fields) {
  if (!logger().should_log(spd(level))) return;
  if (format_now == LogFormat::kText) {
    logger().log(spd(level), spdlog::string_view_t(text.data(), text.size()));
    return;
  }
  nlohmann::json line = nlohmann::json::object();
  for (const auto& [key, value] : fields) line[key] = value;
  line["t_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  const auto shown = spdlog::level::to_string_view(spd(level));
  line["level"] = std::string(shown.data(), shown.size());
  line["event"] = name;
  line["text"] = text;
  const std::string whole = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  logger().log(spd(level), spdlog::string_view_t(whole.data(), whole.size()));
}

}  // namespace firspool::relay
