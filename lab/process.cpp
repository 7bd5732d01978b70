#include "process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>

#include "range.h"

namespace umberhoist::lab {

namespace fs = std::filesystem;

pid_t start_process(const Program& program) {
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw Unusable(std::string("no process can be started: ") + std::strerror(errno));
  if (pid == 0) {
    ::setpgid(0, 0);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(127);
    const int out = ::open(program.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    std::signal(SIGXFSZ, SIG_IGN);  // a full disk is an error, as by ENOSPC
    const rlimit descriptors{static_cast<rlim_t>(program.descriptors),
                             static_cast<rlim_t>(program.descriptors)};
    ::close_range(3, ~0U, 0);
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    for (const auto& [name, value] : program.environment) ::setenv(name.c_str(), value.c_str(), 1);
    ::execl(program.path.c_str(), program.path.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  ::setpgid(pid, pid);
  return pid;
}

std::optional<Usage> usage_of(pid_t pid) {
  const fs::path proc = fs::path("/proc") / std::to_string(pid);
  // Between its fork and its exec it is a copy of the lab, with the lab's descriptors and memory.
  std::error_code unknown;
  const fs::path image = fs::read_symlink(proc / "exe", unknown);
  if (unknown || image == fs::read_symlink("/proc/self/exe", unknown)) return std::nullopt;
  std::istringstream statm(slurp(proc / "statm"));
  double size = 0, resident = 0, shared = 0;
  statm >> size >> resident >> shared;
  const std::string stat = slurp(proc / "stat");
  const size_t name = stat.rfind(')');
  if (name == std::string::npos) return std::nullopt;
  std::istringstream rest(stat.substr(name + 2));
  std::string skip;
  double user = 0, system = 0;
  for (int i = 0; i < 11; ++i) rest >> skip;
  rest >> user >> system;
  const double cpu = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::error_code ignored;
  int descriptors = 0;
  for (fs::directory_iterator it(proc / "fd", ignored), end; !ignored && it != end; it.increment(ignored)) {
    ++descriptors;
  }
  const double memory = resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
  if (memory <= 0) return std::nullopt;  // a zombie
  return Usage{cpu, memory, descriptors};
}

bool takes_signal(pid_t pid, int number) {
  std::istringstream status(slurp(fs::path("/proc") / std::to_string(pid) / "status"));
  for (std::string line; std::getline(status, line);) {
    if (!line.starts_with("SigBlk:") && !line.starts_with("SigCgt:")) continue;
    const uint64_t set = std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
    if ((set >> (number - 1) & 1) != 0) return true;
  }
  return false;
}

double disk_bytes(const fs::path& folder) {
  std::error_code ignored;
  double disk = 0;
  for (fs::directory_iterator it(folder, ignored), end; !ignored && it != end; it.increment(ignored)) {
    std::error_code vanished;
    const auto bytes = it->is_regular_file(vanished) ? it->file_size(vanished) : 0;
    if (!vanished) disk += static_cast<double>((bytes + 511) / 512 * 512);
  }
  return disk;
}

std::string slurp(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace umberhoist::lab
