// Helpers shared by the source files of the policy agreement.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <string>

#include "state_machine.h"

namespace umberhoist::fleet {

// The Raft server id of a voter: derived from its name and its folder, so that a voter whose folder was
// emptied is another server. Above 0.
inline uint64_t server_id(const std::string& name, uint64_t folder_id) {
  return std::max<uint64_t>(1, XXH64(name.data(), name.size(), folder_id));
}

inline std::string truncated(std::string text, size_t max_bytes) {
  if (text.size() > max_bytes) text.resize(max_bytes);
  return text;
}

inline std::string format_ms(Time t) { return std::to_string(std::max<Time>(0, t) / kMs) + " ms"; }

}  // namespace umberhoist::fleet
