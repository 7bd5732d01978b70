// What went wrong, for a person: each error of the parts between relays is one of a kind that its part lists,
// with a code that never changes, and says what happened, where, and what an operator can do.
//
// Promised: a kind's code is one word of small letters and underscores; advice is the same for each error of
// a kind, and docs/on-call.md has a row for each kind (a test holds the page against the lists). line() is
// one line, whatever was put in.
#pragma once

#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace umberhoist {

struct FaultKind {
  const char* code;
  const char* advice;  // what an operator can do
};

class Fault : public std::runtime_error {
 public:
  // `where`: the key, relay, rule or subscription; `what`: what happened there.
  Fault(const FaultKind& kind, std::string where, std::string what)
      : std::runtime_error(one_line(where + " " + what + " (" + kind.code + "): " + kind.advice)),
        kind_(&kind),
        where_(std::move(where)),
        happened_(std::move(what)) {}

  const char* code() const { return kind_->code; }
  const char* advice() const { return kind_->advice; }
  const std::string& where() const { return where_; }
  const std::string& happened() const { return happened_; }
  std::string line() const { return what(); }

 private:
  static std::string one_line(std::string text) {
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < ' '; }, ' ');
    return text;
  }

  const FaultKind* kind_;
  std::string where_;
  std::string happened_;
};

}  // namespace umberhoist
