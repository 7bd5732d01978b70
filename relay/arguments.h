// The program's arguments.
#pragma once

#include <optional>
#include <string>

#include "log.h"

namespace firspool::relay {

struct Arguments {
  std::string config;
  std::string state;
  bool check = false;
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
};

// Arguments go before the environment. Answers the exit code where there is nothing to run.
std::optional<int> read_arguments(int argc, char** argv, Arguments& out);

}  // namespace firspool::relay
