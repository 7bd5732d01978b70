#include "figures.h"

#include <utility>

namespace firspool::relay {
namespace {

// In the order of Place and Reason.
constexpr std::array<const char*, 2> kPlaces = {"door", "held"};
constexpr std::array<const char*, 5> kReasons = {"time", "attempts", "queue", "places", "disk"};

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

void Figures::refused(const std::string& name, Place place, Reason reason) {
  ++classes_[name].refused;
  ++totals_.refused[static_cast<size_t>(place)][static_cast<size_t>(reason)];
}

void Figures::served(const std::string& name) {
  ++classes_[name].served;
  ++totals_.served;
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
  for (size_t place = 0; place < kPlaces.size(); ++place) {
    for (size_t reason = 0; reason < kReasons.size(); ++reason) {
      line("refused_by_total{place=" + quoted(kPlaces[place]) + ",reason=" + quoted(kReasons[reason]) + "}",
           totals_.refused[place][reason]);
    }
  }
  const std::pair<const char*, size_t> depths[] = {{"clients", levels.clients},
                                                   {"queue", levels.queue},
                                                   {"destination", levels.deepest},
                                                   {"calls", levels.calls},
                                                   {"notices", levels.notices}};
  for (const auto& [place, depth] : depths) line("depth{place=" + quoted(place) + "}", depth);
  line("oldest_ms{place=\"queue\"}", static_cast<uint64_t>(levels.oldest_queue / 1000));
  line("oldest_ms{place=\"notices\"}", static_cast<uint64_t>(levels.oldest_notice / 1000));
  line("journal_bytes", levels.journal);
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
  std::string out = "taken " + since(&Totals::taken) + ", delivered " + since(&Totals::served) + ", failed " +
                    since(&Totals::failed) + ", refused";
  bool any = false;
  for (size_t place = 0; place < kPlaces.size(); ++place) {
    for (size_t reason = 0; reason < kReasons.size(); ++reason) {
      const uint64_t count = totals_.refused[place][reason] - old.refused[place][reason];
      if (count == 0) continue;
      out += std::string(any ? ", " : " ") + kPlaces[place] + " " + kReasons[reason] + " " +
             std::to_string(count);
      any = true;
    }
  }
  return out + (any ? "" : " none");
}

}  // namespace firspool::relay
