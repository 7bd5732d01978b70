// What the operator's calls are answered with: whole lines. It reads what others count and decides nothing.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "custody.h"
#include "upstream.h"

namespace firspool::relay {

class Replies {
 public:
  struct State {  // of the process, as it is now
    bool serving = false;
    std::string fenced;  // why it takes on nothing new, though it serves
    size_t clients = 0;
    size_t excluded = 0;  // listed hosts that the module passes over
  };

  Replies(const Custody& custody, const Directory& directory, const Upstream& upstream,
          std::function<State()> state)
      : custody_(custody), directory_(directory), upstream_(upstream), state_(std::move(state)) {}

  // `word` begins calls that a part answers; the rest of the line is handed to it.
  using Part = std::function<std::string(const std::string& rest)>;
  void add(const std::string& word, Part part) { parts_[word] = std::move(part); }
  // More lines of METRICS, each with its end; the last of a part's name counts.
  void add_figures(const std::string& part, std::function<std::string()> figures) {
    more_figures_[part] = std::move(figures);
  }

  std::string to(const std::string& call) const;

 private:
  std::string figures() const;

  const Custody& custody_;
  const Directory& directory_;
  const Upstream& upstream_;
  std::function<State()> state_;
  std::map<std::string, Part> parts_;
  std::map<std::string, std::function<std::string()>> more_figures_;
};

}  // namespace firspool::relay
