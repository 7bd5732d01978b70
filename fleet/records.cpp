#include "records.h"

#include <xxhash.h>

#include <cstring>

namespace umberhoist::fleet {
namespace {

struct Head {
  uint32_t length;
  uint32_t check;  // of the length
  uint64_t sum;    // of the body
};

uint32_t check_of(uint32_t length) { return XXH32(&length, sizeof length, 0x756d6265); }

}  // namespace

std::string framed(std::string_view body) {
  const auto length = static_cast<uint32_t>(body.size());
  const Head head{length, check_of(length), XXH64(body.data(), body.size(), 0)};
  std::string out(sizeof head + body.size(), '\0');
  std::memcpy(out.data(), &head, sizeof head);
  std::memcpy(out.data() + sizeof head, body.data(), body.size());
  return out;
}

Records read_records(std::string_view bytes) {
  Records out;
  while (out.whole < bytes.size()) {
    const std::string_view rest = bytes.substr(out.whole);
    Head head;
    if (rest.size() < sizeof head) {
      out.end = Records::End::kTorn;
      return out;
    }
    std::memcpy(&head, rest.data(), sizeof head);
    if (head.check != check_of(head.length)) {
      out.end = Records::End::kCorrupt;
      return out;
    }
    if (rest.size() - sizeof head < head.length) {
      out.end = Records::End::kTorn;
      return out;
    }
    const std::string_view body = rest.substr(sizeof head, head.length);
    if (head.sum != XXH64(body.data(), body.size(), 0)) {
      out.end = Records::End::kCorrupt;
      return out;
    }
    out.bodies.emplace_back(body);
    out.whole += sizeof head + head.length;
  }
  return out;
}

}  // namespace umberhoist::fleet
