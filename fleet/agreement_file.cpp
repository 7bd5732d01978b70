// The records in the folder: read at start; each is written before anything that depends on it is sent.
#include "agreement.h"
#include "records.h"

namespace umberhoist::fleet {
namespace {

constexpr uint64_t kFileFormat = 1;

}  // namespace

using nlohmann::json;

void Agreement::load(std::string_view file) {
  const Records records = read_records(file);
  if (records.end == Records::End::kCorrupt) {
    failure_ = "the record at byte " + std::to_string(records.valid_bytes) + " fails its checksum";
    return;
  }
  torn_ = records.end == Records::End::kTorn;
  for (const std::string& body : records.bodies) {
    const json r = from_cbor(body);
    const std::string tag = decode_text(at(r, 0), kMaxNameSize);
    if (tag == "format") {
      if (decode_uint(at(r, 1)) <= kFileFormat) continue;
      failure_ = "it was written by a newer version of the program";
      return;
    }
    if (tag == "folder") {
      folder_id_ = decode_uint(at(r, 1));
    } else if (tag == "founding") {
      bootstrap_ = Bootstrap::from_record(r);
    } else if (tag == "voters") {
      known_voters_.clear();
      for (const json& name : at(r, 1)) known_voters_.insert(decode_text(name, kMaxNameSize));
    } else if (tag == "policy") {
      policy_ = {decode_uint(at(r, 1)), decode_text(at(r, 2), kMaxIdBytes),
                 decode_text(at(r, 3), kMaxPolicyBytes)};
    } else if (tag == "yes") {
      accepted_change_id_ = decode_text(at(r, 1), kMaxIdBytes);
    } else if (tag == "lease") {
      restored_lease_ = static_cast<Time>(decode_uint(at(r, 1)));
    } else {
      require(stored_raft_.apply_record(r));
    }
  }
}

std::optional<std::string> Agreement::stored_policy(std::string_view file) {
  std::optional<std::string> out;
  try {
    for (const std::string& body : read_records(file).bodies) {
      const json r = from_cbor(body);
      if (decode_text(at(r, 0), kMaxNameSize) == "policy") out = decode_text(at(r, 3), kMaxPolicyBytes);
    }
  } catch (const DecodeError&) {
  }
  return out;
}

std::string Agreement::encode_file() const {
  std::vector<json> records = {json::array({"format", kFileFormat}), json::array({"folder", folder_id_})};
  if (bootstrap_) records.push_back(bootstrap_->to_record());
  if (!known_voters_.empty()) records.push_back(json::array({"voters", known_voters_}));
  if (policy_.version > 0) records.push_back({"policy", policy_.version, policy_.id, policy_.text});
  if (!accepted_change_id_.empty()) records.push_back(json::array({"yes", accepted_change_id_}));
  const auto raft_records = raft_ ? raft_->records() : stored_raft_.records();
  records.insert(records.end(), raft_records.begin(), raft_records.end());
  std::string out;
  for (const json& r : records) out += frame_record(to_cbor(r));
  return out;
}

void Agreement::append_record(json record) {
  std::string bytes = frame_record(to_cbor(record));
  appended_bytes_ += bytes.size();
  outputs_.push_back(Write{std::move(bytes), false});
}

void Agreement::rewrite_records() {
  appended_bytes_ = 0;
  outputs_.push_back(Write{encode_file(), true});
}

}  // namespace umberhoist::fleet
