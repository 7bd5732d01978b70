// Inside fleet/agreement: what its parts share.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <string>

#include "state_machine.h"

namespace umberhoist::fleet {

// A voter is another server of the log with each folder; above 0.
inline uint64_t server_id(const std::string& name, uint64_t nonce) {
  return std::max<uint64_t>(1, XXH64(name.data(), name.size(), nonce));
}

inline std::string clipped(std::string text, size_t most) {
  if (text.size() > most) text.resize(most);
  return text;
}

inline std::string ms_text(Time t) { return std::to_string(std::max<Time>(0, t) / kMs) + " ms"; }

}  // namespace umberhoist::fleet
