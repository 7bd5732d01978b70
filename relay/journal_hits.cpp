#include "journal_hits.h"

#include <fcntl.h>
#include <unistd.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

#include "../access/decision_record.h"
#include "../fleet/decoding.h"
#include "disk_faults.h"
#include "lasting_file.h"

namespace firspool::relay {
namespace {

namespace access = umberhoist::access;
using namespace umberhoist::fleet;

uint64_t drawn() {
  std::random_device chance;
  uint64_t out = 0;
  while (out == 0) out = uint64_t{chance()} << 32 | chance();
  return out;
}

}  // namespace

JournalHits JournalHits::begun_in(uint64_t folder) {
  JournalHits out;
  out.folder_ = folder;
  out.file_ = drawn();
  return out;
}

void JournalHits::accepted(std::string_view verdict, uint64_t file) {
  if (begun() && file == file_) count(verdict);
}

void JournalHits::count(std::string_view verdict) {
  std::string customer;
  std::vector<access::DecidingRule> rules;
  if (access::decode_deciding_rules(verdict, customer, rules)) counts_.add(customer, rules);
}

// [folder, file, folded, counts]
void JournalHits::totals(std::string_view bytes) {
  try {
    const nlohmann::json whole = from_cbor(bytes);
    JournalHits out;
    out.folder_ = decode_uint(at(whole, 0));
    out.file_ = decode_uint(at(whole, 1));
    out.folded_ = decode_uint(at(whole, 2));
    out.counts_ = access::HitCounts::decode(decode_bytes(at(whole, 3)));
    *this = std::move(out);
  } catch (const DecodeError&) {
    throw umberhoist::OperatorError(access::kHitsFormatTooNew, "journal",
                                    "has totals of hits that do not read");
  }
}

std::string JournalHits::packed() const {
  return to_cbor({folder_, file_, folded_, encode_bytes(counts_.encode())});
}

bool JournalHits::fold(const JournalHits& left) {
  if (!left.begun() || left.file_ == folded_) return false;
  if (!begun()) begin(left.folder_);
  if (left.folded_ == file_) {  // it had added this one, which counted nothing since
    for (const auto& [rule, hits] : left.counts_.by_rule()) counts_.raise(rule, hits);
    counts_.raise_total(left.counts_.total());
  } else {
    counts_.add_all(left.counts_);
  }
  folded_ = left.file_;
  return true;
}

uint64_t folder_number(const std::filesystem::path& folder) {
  const auto path = folder / "access.origin";
  const auto read = [&]() -> uint64_t {
    std::error_code failed;
    if (!std::filesystem::is_regular_file(path, failed)) return 0;
    std::string text;
    try {
      text = read_file(path);
    } catch (const DiskFault&) {
      return 0;
    }
    uint64_t out = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
    return bad == std::errc() ? out : 0;
  };
  if (const uint64_t known = read(); known != 0) return known;
  // Whole or not there: a name is given to it once it is written.
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(drawn()));
  const auto fresh = folder / ("access.origin." + std::to_string(::getpid()));
  const int file = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return 0;
  const bool written = ::write(file, text, 16) == 16;
  ::close(file);
  if (written) (void)!::link(fresh.c_str(), path.c_str());  // another process may have been first
  ::unlink(fresh.c_str());
  return read();
}

}  // namespace firspool::relay
