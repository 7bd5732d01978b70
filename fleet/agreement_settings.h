// What an agreement is given, and the bounds that its parts share.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "policy_log.h"
#include "rider.h"
#include "state_machine.h"

namespace umberhoist::fleet {

constexpr int64_t kDriftOne = 500;  // clocks' rates differ by at most 1 in this
constexpr size_t kFileTexts = 20;
constexpr size_t kFileRest = 100'000;
constexpr size_t kMostMessage = kFileTexts * kMostPolicy + kFileRest;

// Faults planted for the model checker.
enum class AgreementPlant { kNothing, kNoLeaseWait, kYesNotWritten, kLeaseKept };

struct AgreementSettings {
  std::string cluster;
  std::string name;                 // one of `names`
  std::vector<std::string> names;   // of all relays
  std::vector<std::string> voters;  // at the founding; an odd number of them
  Time period = 500 * kMs;
  Time term = 3000 * kMs;
  std::string own;      // the policy of this relay's own file: version 1 where it leads first
  std::string program;  // its version, for people
  // Why a policy cannot be held here; empty where it can. A function of its argument and of the program.
  std::function<std::string(const std::string& text)> check;
  Rider* rider = nullptr;  // what goes along with renewals and grants; outlives the agreement; null: nothing
  AgreementPlant plant = AgreementPlant::kNothing;
};

}  // namespace umberhoist::fleet
