// Settings of the policy agreement, and the bounds that its source files share.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lease_piggyback.h"
#include "policy_log.h"
#include "state_machine.h"

namespace umberhoist::fleet {

constexpr int64_t kInverseDriftBound = 500;  // the rates of two clocks differ by at most 1 in 500
constexpr size_t kMaxFilePolicies = 20;      // policy texts in the file
constexpr size_t kMaxFileOverheadBytes = 100'000;
constexpr size_t kMaxAgreementMessageBytes = kMaxFilePolicies * kMaxPolicyBytes + kMaxFileOverheadBytes;

// Faults that the model checker injects, to show that it detects them.
enum class AgreementInjectedFault { kNone, kSkipLeaseWait, kAcceptanceNotPersisted, kLeaseSurvivesRestart };

struct AgreementSettings {
  std::string cluster;
  std::string name;                 // of this relay; one of `relays`
  std::vector<std::string> relays;  // the names of all relays
  std::vector<std::string> voters;  // at the bootstrap; an odd number of them
  Time renewal_period = 500 * kMs;
  Time lease_duration = 3000 * kMs;
  std::string local_policy;     // of this relay's configuration file: version 1 if it is the first leader
  std::string program_version;  // for display only
  // Returns why a policy is not supported here; empty if it is. Must depend on its argument and on the
  // program only.
  std::function<std::string(const std::string& text)> check_policy;
  // Data carried with renewals and grants; outlives the agreement; null: none.
  LeasePiggyback* piggyback = nullptr;
  AgreementInjectedFault injected_fault = AgreementInjectedFault::kNone;
};

}  // namespace umberhoist::fleet
