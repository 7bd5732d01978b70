// File format of append-only record files: each record has its length, a checksum of the length and a
// checksum (XXH64) of its body.
//
// Guarantee: a record is read exactly as it was written, or not at all. A file that ends within a record was
// torn by a crash during the write; the records before it are valid. A header or body with a wrong checksum
// is corruption: reading stops there, and the file is left as it is.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace umberhoist::fleet {

// Returns `body` with its record header. Requires a body of at most 2^32 - 1 bytes.
std::string frame_record(std::string_view body);

struct Records {
  enum class End { kComplete, kTorn, kCorrupt };
  std::vector<std::string> bodies;
  size_t valid_bytes = 0;  // bytes up to the end of the last valid record
  End end = End::kComplete;
};

Records read_records(std::string_view bytes);

}  // namespace umberhoist::fleet
