// The fleet's policy as part of a configuration: what of it all relays share, what fits on the disk, and what
// may change.
#pragma once

#include <cstddef>
#include <string>

#include "config.h"

namespace firspool::relay {

// The fleet's policy: the part of `settings` that all relays share. Its text is canonical: equal policies
// have equal texts.
std::string policy_of(const Config& config);
// Of a file that staff names: a configuration, or the policy alone. Throws std::exception.
std::string policy_in(const std::string& file);
// This configuration under another policy. Throws std::exception where it does not hold together.
Config with_policy(const Config& config, const std::string& policy);
// Of the disk, what a fleet's records of its policy may take (two files while one is replaced), and how long
// a policy may be for that; 0 without a fleet.
size_t policy_disk(const Config& config);
size_t most_policy(const Config& config);
// Why `policy` is no change that may be made to that of `config`; empty: it is one.
std::string policy_fault(const Config& config, const std::string& policy);

}  // namespace firspool::relay
