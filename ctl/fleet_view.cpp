#include "fleet_view.h"

#include <set>
#include <sstream>
#include <stdexcept>

namespace umberhoist::ctl {
namespace {

std::string padded(std::string text, size_t width) {
  if (text.size() < width) text.append(width - text.size(), ' ');
  return text + "  ";
}

// What two views have to agree on.
std::string essence(const View& view, const std::string& name) {
  const auto it = view.find(name);
  if (it == view.end()) return "not configured";
  const std::string& state = it->second.state;
  if (state != "alive" && state != "suspect") return "not alive";
  return it->second.facts.at("incarnation");
}

std::string age(const std::string& ms) {
  const double s = std::atof(ms.c_str()) / 1000;
  char out[32];
  std::snprintf(out, sizeof out, s < 100 ? "%.1f s" : "%.0f s", s);
  return out;
}

}  // namespace

View read_view(const std::vector<std::string>& lines) {
  View out;
  for (const std::string& line : lines) {
    std::istringstream in(line);
    std::string name, word;
    Seen seen;
    in >> name >> seen.state;
    while (in >> word) {
      const size_t equals = word.find('=');
      if (equals != std::string::npos) seen.facts[word.substr(0, equals)] = word.substr(equals + 1);
    }
    if (seen.state.empty() || !seen.facts.contains("incarnation"))
      throw std::runtime_error("no member: " + line);
    out[name] = std::move(seen);
  }
  return out;
}

Table side_by_side(const std::vector<std::pair<std::string, View>>& views) {
  Table out;
  std::set<std::string> names;
  for (const auto& [relay, view] : views) {
    for (const auto& [name, seen] : view) names.insert(name);
  }
  out.text = padded("member", 12);
  for (const auto& [relay, view] : views) out.text += padded("by " + relay, 24);
  out.text += padded("incarnation", 11) + padded("version", 10) + "doubted by\n";
  for (const std::string& name : names) {
    std::set<std::string> held;
    std::string row = padded(name, 12), incarnation = "-", version = "-", doubted = "-";
    for (const auto& [relay, view] : views) {
      held.insert(essence(view, name));
      const auto it = view.find(name);
      if (it == view.end()) {
        row += padded("not configured", 24);
        continue;
      }
      const auto fact = [&](const char* key) {
        const auto found = it->second.facts.find(key);
        return found == it->second.facts.end() ? std::string("-") : found->second;
      };
      row += padded(it->second.state + " for " + age(fact("since_ms")), 24);
      incarnation = fact("incarnation");
      if (fact("version") != "-") version = fact("version");
      if (fact("doubted_by") != "-") doubted = fact("doubted_by");
    }
    row += padded(incarnation, 11) + padded(version, 10) + doubted;
    if (held.size() > 1) {
      out.agree = false;
      row += "   <- views differ";
    }
    out.text += row + "\n";
  }
  return out;
}

}  // namespace umberhoist::ctl
