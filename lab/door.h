// What clients and partners saw of each message, kept for the oracles of the access rules, which judge it
// once the play is over and all is known of which policy was in force when.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "rule_reading.h"

namespace umberhoist::lab {

struct DoorRecord {
  enum class How { kOpen, kTaken, kDenied, kRefused };  // open: no answer was heard
  Asked asked;
  int relay = 0;
  double sent = 0;
  double answered = -1;  // below 0: no answer was heard
  How how = How::kOpen;
  std::string denied_by;
  bool again = false;  // sent once more under the same id: the first may have been heard
  struct Call {
    double first = 0;
    double at = 0;
    std::string zone;
    std::string kind;
  };
  std::vector<Call> calls;
  double noticed = -1;  // the platform was told its end

  // It was surely taken on, by this time at the latest; below 0: not surely.
  double taken_by() const {
    double by = how == How::kTaken ? answered : -1;
    if (!calls.empty() && (by < 0 || calls.front().first < by)) by = calls.front().first;
    if (noticed >= 0 && (by < 0 || noticed < by)) by = noticed;
    return by;
  }
};

class Door {
 public:
  void handed_in(double now, const std::string& id, int relay, Asked asked) {
    DoorRecord& r = records_[id];
    r.asked = std::move(asked);
    r.relay = relay;
    r.sent = now;
  }
  void sent_again(const std::string& id) {
    if (DoorRecord* r = record(id)) r->again = true;
  }
  // The answer's line, empty where none was heard.
  void answered(double now, const std::string& id, const std::string& line) {
    DoorRecord* r = record(id);
    if (r == nullptr || line.empty()) return;
    r->answered = now;
    if (line.front() == '+' || line.front() == '$') {
      r->how = DoorRecord::How::kTaken;
    } else if (line.starts_with("-DENIED")) {
      r->how = DoorRecord::How::kDenied;
      r->denied_by = line.size() > 8 ? line.substr(8) : "";
    } else {
      r->how = DoorRecord::How::kRefused;
    }
  }
  void call(double first, double now, const std::string& id, const std::string& zone,
            const std::string& kind) {
    if (DoorRecord* r = record(id)) r->calls.push_back({first, now, zone, kind});
  }
  void noticed(double now, const std::string& id) {
    if (DoorRecord* r = record(id); r != nullptr && r->noticed < 0) r->noticed = now;
  }
  const std::unordered_map<std::string, DoorRecord>& records() const { return records_; }
  const DoorRecord* find(const std::string& id) const {
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
  }

 private:
  DoorRecord* record(const std::string& id) {
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
  }
  std::unordered_map<std::string, DoorRecord> records_;
};

}  // namespace umberhoist::lab
