#include "records.h"

#include <xxhash.h>

#include <cstring>

namespace umberhoist::fleet {
namespace {

struct RecordHeader {
  uint32_t length;
  uint32_t length_checksum;
  uint64_t body_checksum;
};

uint32_t checksum_of(uint32_t length) { return XXH32(&length, sizeof length, 0x756d6265); }

}  // namespace

std::string frame_record(std::string_view body) {
  const auto length = static_cast<uint32_t>(body.size());
  const RecordHeader header{length, checksum_of(length), XXH64(body.data(), body.size(), 0)};
  std::string out(sizeof header + body.size(), '\0');
  std::memcpy(out.data(), &header, sizeof header);
  std::memcpy(out.data() + sizeof header, body.data(), body.size());
  return out;
}

Records read_records(std::string_view bytes) {
  Records out;
  while (out.valid_bytes < bytes.size()) {
    const std::string_view rest = bytes.substr(out.valid_bytes);
    RecordHeader header;
    if (rest.size() < sizeof header) {
      out.end = Records::End::kTorn;
      return out;
    }
    std::memcpy(&header, rest.data(), sizeof header);
    if (header.length_checksum != checksum_of(header.length)) {
      out.end = Records::End::kCorrupt;
      return out;
    }
    if (rest.size() - sizeof header < header.length) {
      out.end = Records::End::kTorn;
      return out;
    }
    const std::string_view body = rest.substr(sizeof header, header.length);
    if (header.body_checksum != XXH64(body.data(), body.size(), 0)) {
      out.end = Records::End::kCorrupt;
      return out;
    }
    out.bodies.emplace_back(body);
    out.valid_bytes += sizeof header + header.length;
  }
  return out;
}

}  // namespace umberhoist::fleet
