// The final answer of one message, as feeds tell it.
#pragma once

#include <cstdint>
#include <string>

#include "../fleet/decoding.h"

namespace umberhoist::feeds {

enum class Answer : uint8_t { kDelivered, kReturned, kFailed };
const char* text_of(Answer answer);

constexpr size_t kMostField = 128;  // bytes of an id, a customer, a class, a rule, a region

struct Outcome {
  uint64_t number = 0;  // in its origin
  std::string id;
  std::string customer;
  std::string message_class;
  Answer answer = Answer::kDelivered;
  int64_t time_ms = 0;  // when it ended, by its relay's wall clock
  std::string rule;     // that decided how it travelled; empty: none did
  std::string region;   // where the message came in
  bool operator==(const Outcome&) const = default;
};

// As CBOR, in logs, in the journal's record that ends a message, and between relays.
nlohmann::json json_of(const Outcome& outcome);
Outcome outcome_in(const nlohmann::json& value);  // throws fleet::DecodeError

}  // namespace umberhoist::feeds
