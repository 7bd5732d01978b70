#include "process_oracle.h"

#include <cstdio>

namespace umberhoist::lab {

ProcessOracle::ProcessOracle(const Rules& rules, Verdicts& verdicts) : rules_(rules), verdicts_(verdicts) {
  verdicts.add({"limits_kept", "clean_end", "starts", "no_orphan", "view_settles"});
}

void ProcessOracle::started(double now, int relay, double took) {
  verdicts_.checked("starts");
  if (took > rules_.ready_within) verdicts_.broke("starts", now, relay, "served only after " + seconds(took));
}

void ProcessOracle::ended(double now, int relay, bool asked, int status, double after) {
  verdicts_.checked("clean_end");
  if (!asked) {
    verdicts_.broke("clean_end", now, relay,
                    "ended by itself (" + std::string(status < 0 ? "signal " : "exit ") +
                        std::to_string(status < 0 ? -status : status) + ")");
  } else if (status != 0) {
    verdicts_.broke("clean_end", now, relay, "ended with " + std::to_string(status) + " after SIGTERM");
  } else if (after > rules_.end_within + rules_.slack) {
    verdicts_.broke("clean_end", now, relay, "took " + seconds(after) + " to end after SIGTERM");
  }
}

void ProcessOracle::measured(double now, int relay, double memory, int descriptors, double disk) {
  verdicts_.checked("limits_kept");
  char what[160] = "";
  if (memory > rules_.memory_bytes) {
    std::snprintf(what, sizeof what, "holds %.1f MB of memory, over %.1f", memory / 1e6,
                  rules_.memory_bytes / 1e6);
  } else if (descriptors > rules_.sockets) {
    std::snprintf(what, sizeof what, "holds %d descriptors, over %d", descriptors, rules_.sockets);
  } else if (disk > rules_.disk_bytes) {
    std::snprintf(what, sizeof what, "has %.2f MB on disk, over %.2f", disk / 1e6, rules_.disk_bytes / 1e6);
  }
  if (*what != '\0') verdicts_.broke("limits_kept", now, relay, what);
}

void ProcessOracle::view(double now, double took, double most, const std::string& wrong) {
  verdicts_.checked("view_settles");
  if (!wrong.empty()) {
    verdicts_.broke("view_settles", now, -1,
                    "not settled " + seconds(took) + " after the last fault: " + wrong);
  } else if (took > most + 1) {
    verdicts_.broke("view_settles", now, -1, "settled only after " + seconds(took));
  }
}

void ProcessOracle::left_behind(double now, int relay, const std::string& what) {
  verdicts_.checked("no_orphan");
  if (!what.empty()) verdicts_.broke("no_orphan", now, relay, what);
}

}  // namespace umberhoist::lab
