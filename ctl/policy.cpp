#include "policy.h"

#include <chrono>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "ask.h"

namespace umberhoist::ctl {
namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr auto kPoll = std::chrono::milliseconds(200);

// The first relay's reply that says OK; else the last one's, or none where nobody answers.
Reply any(const std::vector<std::string>& relays, const std::string& call) {
  Reply out;
  out.first = "ERR no relay answers";
  for (const std::string& relay : relays) {
    try {
      out = ask(relay, call);
      if (out.ok) return out;
    } catch (const std::exception& fault) {
      out.first = std::string("ERR ") + fault.what();
    }
  }
  return out;
}

// How `id` ended, as a line of HISTORY without the id; empty where no relay knows of an end.
std::string end_of(const std::vector<std::string>& relays, const std::string& id) {
  for (const std::string& relay : relays) {
    try {
      for (const std::string& line : ask(relay, "POLICY HISTORY").lines) {
        if (line.starts_with(id + " ")) return line.substr(id.size() + 1);
      }
    } catch (const std::exception&) {
    }
  }
  return "";
}

// What it waits for.
std::string progress(const std::vector<std::string>& relays, const std::string& id) {
  const Reply status = any(relays, "POLICY STATUS");
  std::string out;
  for (const std::string& line : status.lines) {
    if (line.starts_with("asking " + id)) out += "is being handed in; ";
    if (line.starts_with("change " + id + " ")) out += "is checked; ";
    if (line.starts_with("waiting ")) out += "waits for " + line.substr(8) + "; ";
  }
  return out;
}

}  // namespace

int propose_policy(const std::vector<std::string>& relays, const Proposal& p) {
  std::string id = p.id;
  if (id.empty()) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    id = std::filesystem::path(p.file).stem().string().substr(0, 40) + "-" +
         std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  }
  const Reply reply = any(relays, "POLICY PROPOSE " + id + " " + std::filesystem::absolute(p.file).string());
  if (!reply.ok) {
    std::cerr << "umberhoistctl: " << reply.first << "\n";
    return kUnusable;
  }
  std::cout << id << " is handed in\n" << std::flush;
  const auto until = SteadyClock::now() + std::chrono::duration<double>(p.wait ? p.patience_s : 0);
  std::string said;
  for (;;) {
    if (const std::string end = end_of(relays, id); !end.empty()) {
      std::cout << id << " " << end << "\n";
      return end.starts_with("in_force") ? kInForce : kAborted;
    }
    if (SteadyClock::now() >= until) break;
    const std::string now = progress(relays, id);
    std::string who = now;  // the time that is left of a lease changes with each look
    std::erase_if(who, [](char c) { return c >= '0' && c <= '9'; });
    if (who != said && !now.empty()) std::cout << id << " " << now << "\n" << std::flush;
    said = std::move(who);
    std::this_thread::sleep_for(kPoll);
  }
  std::cout << id << " is undecided yet\n";
  return kUndecided;
}

int policy_status(const std::vector<std::string>& relays) {
  std::set<std::string> versions;
  bool open = true;
  for (const std::string& relay : relays) {
    Reply reply;
    try {
      reply = ask(relay, "POLICY STATUS");
    } catch (const std::exception& fault) {
      reply.first = std::string("ERR ") + fault.what();
    }
    open = open && reply.ok;
    std::cout << relay << (reply.ok ? "" : "  " + reply.first) << "\n";
    for (const std::string& line : reply.lines) {
      std::cout << "  " << line << "\n";
      if (line.starts_with("version ")) versions.insert(line);
      if (line.starts_with("door shut")) open = false;
    }
  }
  return open && versions.size() == 1 ? 0 : 1;
}

int policy_history(const std::vector<std::string>& relays) {
  const Reply reply = any(relays, "POLICY HISTORY");
  for (const std::string& line : reply.lines) std::cout << line << "\n";
  if (!reply.ok) std::cerr << "umberhoistctl: " << reply.first << "\n";
  return reply.ok ? 0 : kUnusable;
}

int policy_diff(const std::vector<std::string>& relays, const std::string& from, const std::string& to) {
  json texts[2];
  for (int i = 0; i < 2; ++i) {
    const Reply reply = any(relays, "POLICY TEXT " + (i == 0 ? from : to));
    if (!reply.ok || reply.lines.empty()) {
      std::cerr << "umberhoistctl: " << reply.first << "\n";
      return kUnusable;
    }
    texts[i] = json::parse(reply.lines.front());
  }
  const json patch = json::diff(texts[0], texts[1]);
  for (const json& step : patch) {
    const std::string path = step.at("path");
    const std::string op = step.at("op");
    if (op != "add") std::cout << "- " << path << " " << texts[0].at(json::json_pointer(path)).dump() << "\n";
    if (op != "remove") std::cout << "+ " << path << " " << step.at("value").dump() << "\n";
  }
  return patch.empty() ? 0 : 1;
}

int policy_call(const std::vector<std::string>& relays, const std::string& call) {
  const Reply reply = any(relays, "POLICY " + call);
  (reply.ok ? std::cout : std::cerr) << reply.first << "\n";
  return reply.ok ? 0 : kUnusable;
}

}  // namespace umberhoist::ctl
