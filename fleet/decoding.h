// Encoding and decoding of CBOR values received from the network or read from files. Every decoding function
// throws DecodeError for a value of the wrong type or size.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace umberhoist::fleet {

struct DecodeError {};

inline void require(bool condition) {
  if (!condition) throw DecodeError{};
}

inline std::string decode_text(const nlohmann::json& value, size_t max_bytes) {
  require(value.is_string());
  const auto& text = value.get_ref<const std::string&>();
  require(text.size() <= max_bytes);
  return text;
}

inline uint64_t decode_uint(const nlohmann::json& value) {
  require(value.is_number_unsigned());
  return value.get<uint64_t>();
}

// Element `i` of an array, bounds-checked.
inline const nlohmann::json& at(const nlohmann::json& array, size_t i) {
  require(array.is_array() && i < array.size());
  return array[i];
}

// Throws DecodeError for malformed CBOR. The library throws its own exceptions for some invalid sizes even
// when exceptions are disabled, so they are translated here.
inline nlohmann::json from_cbor(std::string_view bytes) {
  try {
    nlohmann::json out = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    require(!out.is_discarded());
    return out;
  } catch (const nlohmann::json::exception&) {
    throw DecodeError{};
  }
}

inline std::string to_cbor(const nlohmann::json& value) {
  std::string out;
  nlohmann::json::to_cbor(value, out);
  return out;
}

// Binary data is encoded as a CBOR byte string, as CBOR text must be UTF-8.
inline nlohmann::json encode_bytes(std::string_view bytes) {
  return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

inline std::string decode_bytes(const nlohmann::json& value) {
  require(value.is_binary());
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace umberhoist::fleet
