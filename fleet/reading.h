// Reading CBOR that others wrote: each helper throws Bad where the value is not what it must be.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace umberhoist::fleet {

struct Bad {};

inline void want(bool good) {
  if (!good) throw Bad{};
}

inline std::string text_of(const nlohmann::json& value, size_t most) {
  want(value.is_string());
  const auto& text = value.get_ref<const std::string&>();
  want(text.size() <= most);
  return text;
}

inline uint64_t number_of(const nlohmann::json& value) {
  want(value.is_number_unsigned());
  return value.get<uint64_t>();
}

// A field of a list.
inline const nlohmann::json& at(const nlohmann::json& list, size_t i) {
  want(list.is_array() && i < list.size());
  return list[i];
}

// Throws Bad where it does not read, too (the library throws on some sizes even where it is told not to).
inline nlohmann::json from_cbor(std::string_view bytes) {
  try {
    nlohmann::json out = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
    want(!out.is_discarded());
    return out;
  } catch (const nlohmann::json::exception&) {
    throw Bad{};
  }
}

inline std::string to_cbor(const nlohmann::json& value) {
  std::string out;
  nlohmann::json::to_cbor(value, out);
  return out;
}

// Bytes that are no text travel as CBOR's byte strings.
inline nlohmann::json bytes_of(std::string_view bytes) {
  return nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

inline std::string bytes_in(const nlohmann::json& value) {
  want(value.is_binary());
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace umberhoist::fleet
