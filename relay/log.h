// The relay's log: events with a name and fields, as text for people or as a JSON object a line, through one
// spdlog logger to one sink, standard error.
//
// Bounded and never blocking: where standard error takes no more, up to kMostPending bytes wait in memory;
// lines beyond are dropped, and their count is the first line once there is room. For one thread.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace firspool::relay {

enum class LogFormat { kText, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

constexpr size_t kMostPending = 64 * 1024;

// Before the first event; events below `level` are left out. Without it: text, from kInfo on.
void set_up_log(LogFormat format, LogLevel level);

using LogField = std::pair<const char*, nlohmann::json>;

// `text` is the line as people read it, without its end; `name` and `fields` are for machines.
void log_event(LogLevel level, std::string_view name, std::string_view text,
               std::initializer_list<LogField> fields = {});
inline void log_info(std::string_view name, std::string_view text,
                     std::initializer_list<LogField> fields = {}) {
  log_event(LogLevel::kInfo, name, text, fields);
}

// On one line, whatever a name or reason holds.
std::string one_line(std::string text);

// What a sink keeps back: for tests, on any descriptor.
class BoundedWriter {
 public:
  explicit BoundedWriter(int fd) : fd_(fd) {}
  void write(std::string_view line);  // with its end
  size_t pending() const { return pending_.size(); }
  size_t dropped() const { return dropped_; }

 private:
  void drain();

  int fd_;
  std::string pending_;
  size_t dropped_ = 0;
};

}  // namespace firspool::relay
