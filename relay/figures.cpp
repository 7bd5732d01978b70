#include "figures.h"

#include <utility>

namespace firspool::relay {
namespace {

// A label's value ends at a quote: names are the settings', and may hold anything.
std::string quoted(const std::string& name) {
  std::string out = "\"";
  for (const char c : name) {
    if (c == '"' || c == '\\') out += '\\';
    out += c == '\n' ? ' ' : c;
  }
  return out + '"';
}

}  // namespace

void Figures::show(const std::vector<ClassSettings>& classes) {
  for (const ClassSettings& c : classes) classes_.try_emplace(c.name);
}

void Figures::busy(const std::string& name, Busy reason) {
  ++classes_[name].refused;
  ++(reason == Busy::kFull   ? totals_.busy_full
     : reason == Busy::kDisk ? totals_.busy_disk
                             : totals_.busy_decision);
}

void Figures::served(const std::string& name) {
  ++classes_[name].served;
  ++totals_.served;
}

void Figures::returned(const std::string& name) {
  ++classes_[name].refused;
  ++totals_.returned;
}

void Figures::failed(const std::string& name) {
  ++classes_[name].failed;
  ++totals_.failed;
}

std::string Figures::text(const Levels& levels) const {
  std::string out;
  const auto line = [&](const std::string& name, uint64_t value) {
    out += "svc_" + name + " " + std::to_string(value) + "\n";
  };
  const std::pair<const char*, uint64_t Class::*> by_class[] = {
      {"served_total", &Class::served}, {"refused_total", &Class::refused}, {"failed_total", &Class::failed}};
  for (const auto& [figure, member] : by_class) {
    for (const auto& [name, counts] : classes_) {
      line(std::string(figure) + "{class=" + quoted(name) + "}", counts.*member);
    }
  }
  line("attempts_total", attempts_);
  for (size_t i = 0; i < kStages.size(); ++i) {
    const std::string stage = "{stage=" + quoted(kStages[i]) + "}";
    line("budget_spent_ms_total" + stage, static_cast<uint64_t>(spent_[i] / 1000));
    line("ended_total" + stage, ended_[i]);
  }
  line("in_flight", levels.in_flight);
  line("endpoints_known", levels.known);
  line("endpoints_excluded", levels.excluded);
  line("reloads_ok_total", reloads_ok_);
  line("reloads_failed_total", reloads_failed_);
  return out;
}

std::string Figures::since_last() {
  const Totals old = std::exchange(reported_, totals_);
  const auto since = [&](uint64_t Totals::*count) { return std::to_string(totals_.*count - old.*count); };
  return "taken " + since(&Totals::taken) + ", busy when full " + since(&Totals::busy_full) +
         ", without disk " + since(&Totals::busy_disk) + ", by decision " + since(&Totals::busy_decision) +
         "; delivered " + since(&Totals::served) + ", returned " + since(&Totals::returned) + ", failed " +
         since(&Totals::failed);
}

}  // namespace firspool::relay
