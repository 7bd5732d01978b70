// A file of records that are appended: each has its length, a check of its own head and a checksum (XXH64)
// of its body.
//
// Promised to a reader: a record is given whole and as it was written, or not at all. A file that ends within
// a record was torn by a crash, and what comes before is whole. A head or body that fails its check is
// corruption: nothing after it is guessed at, and nothing is cut off.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace umberhoist::fleet {

// At most 2^32 - 1 bytes.
std::string framed(std::string_view body);

struct Records {
  enum class End { kWhole, kTorn, kCorrupt };
  std::vector<std::string> bodies;
  size_t whole = 0;  // bytes up to the end of the last one
  End end = End::kWhole;
};

Records read_records(std::string_view bytes);

}  // namespace umberhoist::fleet
