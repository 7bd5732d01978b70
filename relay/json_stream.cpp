#include "json_stream.h"

namespace firspool::relay {

JsonStream::Token JsonStream::next(std::string_view& bytes) {
  if (depth_ == 0) object_.clear();
  while (!bytes.empty()) {
    const char byte = bytes.front();
    if (depth_ == 0 && byte != '{') {
      if (byte != '\n' && byte != '\r' && byte != ' ' && byte != '\t') return Token::kUnreadable;
      bytes.remove_prefix(1);
      if (byte == '\n') return Token::kNewline;
      continue;
    }
    if (object_.size() == kMost) return Token::kUnreadable;
    bytes.remove_prefix(1);
    object_ += byte;
    if (in_string_) {
      if (escaped_) {
        escaped_ = false;
      } else if (byte == '\\') {
        escaped_ = true;
      } else if (byte == '"') {
        in_string_ = false;
      }
    } else if (byte == '"') {
      in_string_ = true;
    } else if (byte == '{' || byte == '[') {
      ++depth_;
    } else if ((byte == '}' || byte == ']') && --depth_ == 0) {
      return Token::kObject;
    }
  }
  return Token::kNone;
}

}  // namespace firspool::relay
