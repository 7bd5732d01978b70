// An error that an operator reads: what happened, where, and what to do about it.
//
// Each subsystem lists its kinds of errors. The code of a kind is one word of lowercase letters and
// underscores that never changes, and its advice is the same for all errors of the kind. docs/on-call.md has
// a row for each kind; a test compares the page with the lists. line() is a single line, whatever text was
// passed in.
#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace umberhoist {

struct ErrorKind {
  const char* code;
  const char* advice;  // what an operator can do
};

class OperatorError : public std::runtime_error {
 public:
  // `where`: the settings key, relay, rule or subscription; `description`: what happened there.
  OperatorError(const ErrorKind& kind, std::string where, std::string description)
      : std::runtime_error(one_line(where + " " + description + " (" + kind.code + "): " + kind.advice)),
        kind_(&kind),
        where_(std::move(where)),
        description_(std::move(description)) {}

  const char* code() const { return kind_->code; }
  const char* advice() const { return kind_->advice; }
  const std::string& where() const { return where_; }
  const std::string& description() const { return description_; }
  std::string line() const { return what(); }

 private:
  static std::string one_line(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < ' '; }, ' ');
    return text;
  }

  const ErrorKind* kind_;
  std::string where_;
  std::string description_;
};

}  // namespace umberhoist
