// The folder's records: read at the start, and each written before anything follows from it.
#include "agreement.h"
#include "records.h"

namespace umberhoist::fleet {
namespace {

constexpr uint64_t kFormat = 1;  // of the file

}  // namespace

using nlohmann::json;

void Agreement::load(std::string_view file) {
  const Records records = read_records(file);
  if (records.end == Records::End::kCorrupt) {
    broken_ = "the record at byte " + std::to_string(records.valid_bytes) + " fails its checksum";
    return;
  }
  torn_ = records.end == Records::End::kTorn;
  for (const std::string& body : records.bodies) {
    const json r = from_cbor(body);
    const std::string tag = decode_text(at(r, 0), kMaxNameSize);
    if (tag == "format") {
      if (decode_uint(at(r, 1)) <= kFormat) continue;
      broken_ = "it was written by a newer version of the program";
      return;
    }
    if (tag == "folder") {
      nonce_ = decode_uint(at(r, 1));
    } else if (tag == "founding") {
      founding_ = Founding::of(r);
    } else if (tag == "voters") {
      told_voters_.clear();
      for (const json& name : at(r, 1)) told_voters_.insert(decode_text(name, kMaxNameSize));
    } else if (tag == "policy") {
      held_ = {decode_uint(at(r, 1)), decode_text(at(r, 2), kMostId), decode_text(at(r, 3), kMostPolicy)};
    } else if (tag == "yes") {
      yes_ = decode_text(at(r, 1), kMostId);
    } else if (tag == "lease") {
      kept_lease_ = static_cast<Time>(decode_uint(at(r, 1)));
    } else {
      require(stored_.take(r));
    }
  }
}

std::optional<std::string> Agreement::stored_policy(std::string_view file) {
  std::optional<std::string> out;
  try {
    for (const std::string& body : read_records(file).bodies) {
      const json r = from_cbor(body);
      if (decode_text(at(r, 0), kMaxNameSize) == "policy") out = decode_text(at(r, 3), kMostPolicy);
    }
  } catch (const DecodeError&) {
  }
  return out;
}

std::string Agreement::whole_file() const {
  std::vector<json> records = {json::array({"format", kFormat}), json::array({"folder", nonce_})};
  if (founding_) records.push_back(founding_->record());
  if (!told_voters_.empty()) records.push_back(json::array({"voters", told_voters_}));
  if (held_.version > 0) records.push_back({"policy", held_.version, held_.id, held_.text});
  if (!yes_.empty()) records.push_back(json::array({"yes", yes_}));
  const auto log = raft_ ? raft_->records() : stored_.records();
  records.insert(records.end(), log.begin(), log.end());
  std::string out;
  for (const json& r : records) out += frame_record(to_cbor(r));
  return out;
}

void Agreement::record(json record) {
  std::string bytes = frame_record(to_cbor(record));
  appended_ += bytes.size();
  out_.push_back(Write{std::move(bytes), false});
}

void Agreement::compacted() {
  appended_ = 0;
  out_.push_back(Write{whole_file(), true});
}

}  // namespace umberhoist::fleet
