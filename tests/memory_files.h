// A log's files in memory, for tests.
#pragma once

#include "outcome_log.h"

namespace umberhoist::feeds {

struct MemoryFiles : LogFiles {
  std::string front, back;
  bool full = false;
  bool unreadable = false;  // as a disk that fails for a moment

  std::string read(Part part) override { return part == Part::kFront ? front : back; }
  std::string read(Part part, size_t offset, size_t length) override {
    return unreadable ? "" : (part == Part::kFront ? front : back).substr(offset, length);
  }
  bool append(std::string_view bytes) override {
    if (!full) back += bytes;
    return !full;
  }
  void cut(size_t size) override { back.resize(size); }
  bool begin(std::string_view head) override {
    if (!full) back = head;
    return !full;
  }
  bool promote() override {
    front = std::exchange(back, "");
    return true;
  }
  bool drop_front() override {
    front.clear();
    return true;
  }
};

}  // namespace umberhoist::feeds
