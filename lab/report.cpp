#include "report.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cmath>
#include <cstdio>
#include <map>
#include <sstream>

#include "play.h"
#include "plot.h"

namespace umberhoist::lab {
namespace {

using nlohmann::json;
namespace acc = boost::accumulators;

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '&')
      out += "&amp;";
    else
      out += c;
  }
  return out;
}

std::string number(double value) {
  char out[40];
  const double size = std::abs(value);
  std::snprintf(out, sizeof out,
                size >= 100 || value == std::floor(value) ? "%.0f"
                : size >= 10                              ? "%.1f"
                                                          : "%.3f",
                value);
  return out;
}

std::string fault_list(const json& result) {
  std::string out = "<table><tr><th>at</th><th>until</th><th>what was done</th></tr>";
  for (const json& f : result.value("faults", json::array())) {
    out += "<tr><td class=n>" + number(f["at"].get<double>()) + " s</td><td class=n>" +
           number(f["until"].get<double>()) + " s</td><td>" + escaped(f["what"].get<std::string>()) +
           "</td></tr>";
  }
  return out + "</table>";
}

// The broken first.
std::string oracle_list(const json& result) {
  std::string broken, others;
  for (const auto& [name, state] : result.at("oracles").items()) {
    const bool held = state["held"].get<bool>();
    const auto checked = state["checked"].get<uint64_t>();
    const std::string what = !held ? "BROKEN " + std::to_string(state.value("broken", 1)) + " times, first " +
                                         escaped(state["first_broken"].get<std::string>())
                             : checked > 0 ? "held"
                                           : "nothing to check in this play";
    (held ? others : broken) += "<tr class=" +
                                std::string(!held         ? "bad"
                                            : checked > 0 ? "good"
                                                          : "none") +
                                "><td>" + name + "</td><td class=n>" + std::to_string(checked) + "</td><td>" +
                                what + "</td></tr>";
  }
  return "<table><tr><th>promise</th><th>checked</th><th></th></tr>" + broken + others + "</table>";
}

const std::vector<std::pair<const char*, const char*>> kHeadline = {
    {"worth", "worth served"},
    {"worth_worst_10s", "worst 10 s"},
    {"latency_ms_p50", "median, ms"},
    {"latency_ms_p99", "99%, ms"},
    {"calls_refused_share", "calls refused"},
    {"recovery_s_slowest", "slowest recovery, s"},
    {"jain_relays", "fairness of load"}};

}  // namespace

std::string report_page(const json& result) {
  const bool held = all_held(result);
  const json& figures = result.at("figures");
  std::string out =
      "<!doctype html><meta charset=utf-8><title>" + escaped(result["scenario"].get<std::string>()) +
      "</title><style>body{font:15px/1.45 sans-serif;max-width:1000px;margin:2em auto;padding:0 "
      "1em;color:#222}"
      "h1{margin-bottom:0}h2{margin:1.6em 0 "
      ".4em}table{border-collapse:collapse;width:100%}td,th{text-align:left;"
      "padding:.25em .7em;border-bottom:1px solid #ddd}td.n{text-align:right;white-space:nowrap}"
      ".verdict{display:inline-block;padding:.3em .9em;border-radius:.4em;color:#fff;font-weight:bold}"
      ".heads{display:flex;flex-wrap:wrap;gap:.8em;margin:1em 0}.heads "
      "div{background:#f4f6f8;border-radius:.4em;"
      "padding:.5em 1em}.heads b{display:block;font-size:1.5em}tr.bad td{background:#fbe3df}tr.none "
      "td{color:#999}"
      "svg{width:100%;height:auto}.columns{columns:2}.warn{background:#fff3cd;padding:.5em 1em}</style>";
  out += "<h1>" + escaped(result["scenario"].get<std::string>()) + "</h1><p>" +
         escaped(result.value("what", "")) + "</p><p><span class=verdict style='background:" +
         (held ? "#2e7d32'>every promise held" : "#c0392b'>a promise broke") + "</span> &nbsp; seed " +
         std::to_string(result["seed"].get<uint64_t>()) + ", " + std::to_string(result["relays"].get<int>()) +
         " relays, " + number(figures["messages"].get<double>()) + " messages</p>";
  for (const json& warning : result.value("warnings", json::array())) {
    out += "<p class=warn>" + escaped(warning.get<std::string>()) + "</p>";
  }
  out += "<div class=heads>";
  for (const auto& [key, label] : kHeadline) {
    if (!figures.contains(key)) continue;
    const double value = figures[key].get<double>();
    out += "<div><b>" + (value < 0 ? "not in this play" : number(value)) + "</b>" + label + "</div>";
  }
  out += "</div><h2>What was done</h2>" + fault_list(result) + "<h2>What was promised</h2>" +
         oracle_list(result);
  out += "<h2>Over time</h2>";
  out +=
      plot(result, "worth", "worth served", {{"worth", "share served", "#1f6fb2"}}, "set yrange [0:1.05]\n");
  out += plot(result, "calls", "calls a second",
              {{"calls", "calls", "#1f6fb2"},
               {"refused_calls", "refused above a limit", "#c0392b"},
               {"calls_into_outages", "into outages", "#e08e0b"},
               {"connects", "new connections", "#888888"}},
              "");
  out += plot(result, "refused", "messages a second",
              {{"refused", "refused at the door", "#c0392b"}, {"returned", "handed back", "#e08e0b"}}, "");
  out += plot(result, "memory", "MB", {{"memory_mb", "largest relay", "#6a3d9a"}}, "");
  out += plot(result, "latency", "messages", {{"latency", "served after", "#1f6fb2"}},
              "set logscale x\nset xlabel 'milliseconds'\nset style fill solid 0.6\n");
  out += "<h2>All figures</h2><div class=columns><table>";
  for (const auto& [name, value] : figures.items()) {
    out += "<tr><td>" + name + "</td><td class=n>" + number(value.get<double>()) + "</td></tr>";
  }
  return out + "</table></div>\n";
}

std::string summary(const json& result) {
  std::ostringstream out;
  out << result["scenario"].get<std::string>() << ", seed " << result["seed"] << ", " << result["relays"]
      << " relays, " << result["program"].get<std::string>() << "\n";
  for (const auto& [key, label] : kHeadline) {
    if (!result["figures"].contains(key)) continue;
    const double value = result["figures"][key].get<double>();
    out << "  " << label << std::string(24 - std::min<size_t>(23, std::string(label).size()), ' ')
        << (value < 0 ? "not in this play" : number(value)) << "\n";
  }
  for (const json& warning : result.value("warnings", json::array())) {
    out << "  warning: " << warning.get<std::string>() << "\n";
  }
  size_t held = 0;
  for (const auto& [name, state] : result["oracles"].items()) {
    if (state["held"].get<bool>()) {
      ++held;
    } else {
      out << "  BROKEN " << name << " (" << state.value("broken", 1)
          << "): " << state["first_broken"].get<std::string>() << "\n";
    }
  }
  out << "  promises held: " << held << " of " << result["oracles"].size() << "; again with --seed "
      << result["seed"] << "\n";
  return out.str();
}

std::string compare(const json& a, const json& b) {
  using Spread =
      acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance, acc::tag::count>>;
  const auto gather = [](const json& from) {
    std::map<std::string, Spread> out;
    const json list = from.is_array() ? from : json::array({from});
    for (const json& one : list) {
      for (const auto& [name, value] : one.at("figures").items()) out[name](value.get<double>());
    }
    return out;
  };
  auto left = gather(a), right = gather(b);
  std::ostringstream out;
  char line[200];
  std::snprintf(line, sizeof line, "%-34s %12s %9s %12s %9s %10s  %s\n", "figure", "A", "spread", "B",
                "spread", "B - A", "");
  out << line;
  for (auto& [name, x] : left) {
    const auto it = right.find(name);
    if (it == right.end()) continue;
    Spread& y = it->second;
    const double n = static_cast<double>(acc::count(x)), m = static_cast<double>(acc::count(y));
    // Of samples: n - 1.
    const double sx = n > 1 ? std::sqrt(acc::variance(x) * n / (n - 1)) : 0;
    const double sy = m > 1 ? std::sqrt(acc::variance(y) * m / (m - 1)) : 0;
    const double difference = acc::mean(y) - acc::mean(x);
    const double error = std::sqrt(sx * sx / n + sy * sy / m);
    const char* word = n < 2 || m < 2                      ? "one play each: cannot tell"
                       : std::abs(difference) <= 1e-12     ? ""
                       : std::abs(difference) <= 2 * error ? "noise"
                                                           : "DIFFERS";
    std::snprintf(line, sizeof line, "%-34s %12s %9s %12s %9s %10s  %s\n", name.c_str(),
                  number(acc::mean(x)).c_str(), number(sx).c_str(), number(acc::mean(y)).c_str(),
                  number(sy).c_str(), number(difference).c_str(), word);
    out << line;
  }
  out << "noise: within two standard errors of the difference of the means.\n";
  return out.str();
}

}  // namespace umberhoist::lab
