#include "outcome.h"

namespace umberhoist::feeds {

const char* text_of(Answer answer) {
  switch (answer) {
    case Answer::kDelivered:
      return "delivered";
    case Answer::kReturned:
      return "returned";
    default:
      return "failed";
  }
}

nlohmann::json json_of(const Outcome& o) {
  const uint64_t time = o.time_ms < 0 ? 0 : static_cast<uint64_t>(o.time_ms);
  return {o.number, o.id,   o.customer, o.message_class, static_cast<uint64_t>(o.answer),
          time,     o.rule, o.region};
}

Outcome outcome_in(const nlohmann::json& value) {
  fleet::require(value.is_array() && value.size() >= 8);  // a newer program may say more
  const uint64_t answer = fleet::decode_uint(value[4]);
  fleet::require(answer <= static_cast<uint64_t>(Answer::kFailed));
  Outcome out;
  out.number = fleet::decode_uint(value[0]);
  out.id = fleet::decode_text(value[1], kMostField);
  out.customer = fleet::decode_text(value[2], kMostField);
  out.message_class = fleet::decode_text(value[3], kMostField);
  out.answer = static_cast<Answer>(answer);
  out.time_ms = static_cast<int64_t>(fleet::decode_uint(value[5]));
  out.rule = fleet::decode_text(value[6], kMostField);
  out.region = fleet::decode_text(value[7], kMostField);
  return out;
}

}  // namespace umberhoist::feeds
