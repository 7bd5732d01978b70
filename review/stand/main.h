// The frame of a case: its record, whether its disruption comes, and its exit code.
#pragma once

#include <cstdlib>
#include <functional>
#include <iostream>

#include "platform.h"
#include "relay.h"

namespace review {

struct Stage {
  Record& record;
  bool trouble;
};

// `play` says whether the rule was broken.
inline int run_case(int argc, char** argv, const std::function<bool(Stage)>& play) {
  try {
    if (argc != 2) throw CannotRun("usage: CASE RECORD");
    const char* wanted = std::getenv("TROUBLE");
    const bool trouble = wanted == nullptr || std::string(wanted) != "0";
    Record record(argv[1]);
    record.line(trouble ? "with the disruption" : "without the disruption");
    const bool broken = play({record, trouble});
    record.line(broken ? "the rule was broken" : "the rule held");
    std::cout << (broken ? "the rule was broken" : "the rule held") << std::endl;
    return broken ? 1 : 0;
  } catch (const std::exception& fault) {
    std::cerr << "cannot run: " << fault.what() << std::endl;
    return 2;
  }
}

inline void pause_for(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

}  // namespace review
