#include "access.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <sstream>

#include "ask.h"
#include "policy.h"

namespace umberhoist::ctl {
namespace {

using Rows = std::vector<std::vector<std::string>>;

// The words of a line, key=value; the last named value is the rest of the line.
std::map<std::string, std::string> facts_of(const std::string& line, const std::string& last) {
  std::map<std::string, std::string> out;
  const size_t end = line.find(" " + last + "=");
  std::istringstream in(line.substr(0, end));
  for (std::string word; in >> word;) {
    const size_t equals = word.find('=');
    if (equals != std::string::npos) out[word.substr(0, equals)] = word.substr(equals + 1);
  }
  if (end != std::string::npos) out[last] = line.substr(end + last.size() + 2);
  return out;
}

void print(const Rows& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      std::cout << "  " << row[i];
      if (i + 1 < row.size()) std::cout << std::string(widths[i] - row[i].size(), ' ');
    }
    std::cout << "\n";
  }
}

std::string age(const std::string& ms) {
  if (ms == "-") return "not whole yet";
  char out[32];
  std::snprintf(out, sizeof out, "%.1f s", std::atof(ms.c_str()) / 1000);
  return out;
}

// Shows each relay's answer; 2 where one gave none.
template <typename Show>
int each(const std::vector<std::string>& relays, const std::string& call, Show&& show) {
  int worst = 0;
  for (const std::string& relay : relays) {
    Reply reply;
    try {
      reply = ask(relay, call);
    } catch (const std::exception& fault) {
      reply.first = fault.what();
    }
    std::cout << relay << (reply.ok ? "" : "  " + reply.first) << "\n";
    if (reply.ok) show(reply.lines);
    if (!reply.ok) worst = kUnusable;
  }
  return worst;
}

}  // namespace

int access_hits(const std::vector<std::string>& relays, const std::string& customer) {
  return each(relays, "ACCESS HITS" + (customer.empty() ? "" : " " + customer), [](const auto& lines) {
    Rows rules = {{"customer", "rule", "digest", "here", "fleet", ""}},
         parts = {{"counted by", "folder", "hits", "known to"}};
    for (const std::string& line : lines) {
      if (line.starts_with("rule ")) {
        auto f = facts_of(line, "customer");
        rules.push_back({f["customer"], f["id"], f["digest"], f["own"], f["fleet"],
                         f["in_force"] == "1" ? "" : "no longer in force"});
      } else if (line.starts_with("part ")) {
        auto f = facts_of(line, "relay");
        parts.push_back({f["relay"], f["folder"], f["hits"],
                         f["own"] == "1" ? "now: its own" : age(f["age_ms"]) + " ago"});
      }
    }
    print(rules);
    print(parts);
  });
}

int access_rules(const std::vector<std::string>& relays) {
  return each(relays, "ACCESS RULES", [](const auto& lines) {
    for (const std::string& line : lines) std::cout << "  " << line << "\n";
  });
}

}  // namespace umberhoist::ctl
