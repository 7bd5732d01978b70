// A program as a process of its own group, and what the kernel tells of it.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <optional>
#include <string>

namespace umberhoist::lab {

struct Program {
  std::string path;
  std::filesystem::path log;                       // its output is added there
  int descriptors = 1024;                          // it may hold so many
  std::map<std::string, std::string> environment;  // beside the lab's own
};

// Started in a process group of its own, by its id. It ends with the lab, whatever happens to that, and a
// file that may not grow is an error to it and not a signal. Throws Unusable.
pid_t start_process(const Program& program);

struct Usage {
  double cpu = 0;     // seconds since its start
  double memory = 0;  // bytes resident
  int descriptors = 0;
};
// Nothing of one that has ended.
std::optional<Usage> usage_of(pid_t pid);

// Whether a signal is caught or held back there: to one that has not come so far, SIGTERM is the system's,
// and ends it whatever the program would do.
bool takes_signal(pid_t pid, int number);

// Of the files in a folder, in whole blocks; those that vanish meanwhile are left out.
double disk_bytes(const std::filesystem::path& folder);

// A whole file; empty where it is gone.
std::string slurp(const std::filesystem::path& path);

}  // namespace umberhoist::lab
