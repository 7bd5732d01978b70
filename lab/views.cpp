#include "views.h"

#include "../ctl/ask.h"
#include "../ctl/fleet_view.h"

namespace umberhoist::lab {

void Views::watch(double most) {
  ++watch_;
  began_ = world_.now();
  most_ = most;
  settled_ = -1;
  look();
}

void Views::look() {
  world_.after(0.5, [this, watch = watch_] {
    if (watch != watch_ || settled_ >= 0) return;
    last_ = differences();
    if (last_.empty()) {
      settled_ = world_.now() - began_;
      world_.figures.view_settled(settled_);
      world_.oracles.processes.view(world_.now(), settled_, most_, "");
    } else if (world_.now() - began_ > most_) {
      settled_ = world_.now() - began_;
      world_.oracles.processes.view(world_.now(), settled_, most_, last_);
    } else {
      look();
    }
  });
}

void Views::finish() {
  if (began_ >= 0 && settled_ < 0 && world_.now() - began_ > most_) {
    world_.oracles.processes.view(world_.now(), world_.now() - began_, most_, last_);
  }
  ++watch_;
}

std::string Views::differences() const {
  for (int i = 0; i < static_cast<int>(fleet_.size()); ++i) {
    if (!fleet_.serving(i)) continue;
    try {
      const ctl::View view = ctl::read_view(ctl::ask(text_of(fleet_.second_address(i)), "FLEET").lines);
      for (int other = 0; other < static_cast<int>(fleet_.size()); ++other) {
        const auto seen = view.find("n" + std::to_string(other));
        const std::string state = seen == view.end() ? "missing" : seen->second.state;
        if ((state == "alive" || state == "suspect") != fleet_.serving(other)) {
          return "relay " + std::to_string(i) + " has " + std::to_string(other) + " as " + state;
        }
      }
    } catch (const std::exception& fault) {
      return "relay " + std::to_string(i) + " does not tell: " + fault.what();
    }
  }
  return "";
}

}  // namespace umberhoist::lab
