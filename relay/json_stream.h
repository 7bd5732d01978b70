// The objects of an endless stream of JSON, by their structure: each may be on one line or on many.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace firspool::relay {

// Looks at each byte once and keeps the object that has begun, at most kMost bytes of it.
class JsonStream {
 public:
  static constexpr size_t kMost = 2 * 1024 * 1024;

  enum class Token {
    kNone,        // all bytes are taken; an object may have begun
    kObject,      // one is whole: object()
    kNewline,     // between objects
    kUnreadable,  // what stands between objects is no space, or one is too long: nothing more is read
  };

  // Takes bytes off the front of `bytes`, up to the end of the next token.
  Token next(std::string_view& bytes);

  // The bytes of the object that was returned last; until next() is called.
  const std::string& object() const { return object_; }

 private:
  std::string object_;
  int depth_ = 0;  // of brackets that are open; 0: between objects
  bool in_string_ = false;
  bool escaped_ = false;
};

}  // namespace firspool::relay
