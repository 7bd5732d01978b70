// What the stand-in relay does of the parts between relays, alone in its fleet: it denies by rules that name
// partners, counts their hits, and gives outcomes to subscribers. Each fault breaks one promise.
#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

class StandinParts {
 public:
  StandinParts(const nlohmann::json& settings, std::string fault) : fault_(std::move(fault)) {
    for (const auto& realm : settings.at("realms")) {
      if (realm.contains("access")) access_[realm["name"]] = realm["access"]["rules"];
    }
  }

  // The line that turns a message down; empty: it may travel.
  std::string denial(const std::string& customer, int destination) {
    const std::lock_guard lock(mutex_);
    const auto rules = access_.find(customer);
    if (rules == access_.end()) return "";
    for (const auto& rule : rules->second) {
      const std::vector<int> partners = rule["partner"];
      if (std::find(partners.begin(), partners.end(), destination) == partners.end()) continue;
      const std::string id = rule["id"];
      count(customer, id);
      return fault_ == "rule" ? "" : "-DENIED " + (fault_ == "misname" ? "other" : id) + "\r\n";
    }
    count(customer, "default");
    return "";
  }

  std::string hits() {
    const std::lock_guard lock(mutex_);
    std::string out;
    for (const auto& [rule, count] : hits_) {
      out += "rule own=0 fleet=" + std::to_string(count) + " id=" + rule.second + " customer=" + rule.first +
             "\n";
    }
    return out;
  }

  void ended(const std::string& id, const std::string& customer, const std::string& answer) {
    const std::lock_guard lock(mutex_);
    const bool leave_out = fault_ == "omit" && log_.size() % 7 == 3;
    log_.push_back({leave_out ? "" : customer, id, answer});
  }

  std::string feed(const std::vector<std::string>& words) {
    const std::lock_guard lock(mutex_);
    if (words[0] == "FEED.OPEN") return open(words);
    const std::string session = words.at(1);
    const std::string feed = session.substr(0, session.find('#'));
    const bool fenced = session != sessions_[feed];
    if (fenced && fault_ != "unfenced") return "-FEED fenced\r\n";
    if (words[0] == "FEED.READ") return read(feed, std::stoul(words.at(2)), std::stoul(words.at(3)));
    acknowledged_[feed] = std::max(acknowledged_[feed], std::stoul(words.at(2)));
    return "+OK\r\n";
  }

 private:
  struct Ended {
    std::string customer, id, answer;
  };

  void count(const std::string& customer, const std::string& rule) {
    if (fault_ != "miscount" || ++skipped_ % 5 != 0) ++hits_[{customer, rule}];
  }
  static std::string bulk(const nlohmann::json& value) {
    const std::string text = value.dump();
    return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
  }
  std::string open(const std::vector<std::string>& words) {
    const std::string feed = words.at(1) + "/" + words.at(2);
    const size_t from = words.size() > 3 ? std::stoul(words[3]) : fault_ == "back" ? 0 : acknowledged_[feed];
    sessions_[feed] = feed + "#" + std::to_string(++opened_);
    return bulk({{"session", sessions_[feed]},
                 {"cursor", std::to_string(from)},
                 {"from", {{"n0/1", from}}},
                 {"gaps", nlohmann::json::array()}});
  }
  std::string read(const std::string& feed, size_t after, size_t most) {
    nlohmann::json outcomes = nlohmann::json::array();
    const std::string customer = feed.substr(0, feed.find('/'));
    size_t at = fault_ == "refeed" && after > 0 ? after - 1 : after;
    for (; at < log_.size() && outcomes.size() < most; ++at) {
      if (log_[at].customer != customer) continue;
      outcomes.push_back(
          {{"origin", "n0/1"}, {"number", at + 1}, {"id", log_[at].id}, {"answer", log_[at].answer}});
    }
    return bulk({{"outcomes", outcomes}, {"cursor", std::to_string(at)}});
  }

  std::string fault_;
  std::mutex mutex_;
  std::map<std::string, nlohmann::json> access_;  // rules by customer
  std::map<std::pair<std::string, std::string>, uint64_t> hits_;
  uint64_t skipped_ = 0;
  std::vector<Ended> log_;
  std::map<std::string, std::string> sessions_;  // by feed
  std::map<std::string, size_t> acknowledged_;
  uint64_t opened_ = 0;
};
