// The relay's incarnation in the fleet's view, in the folder that lasts: a later process of this name begins
// above it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

#include "firspool/policy.h"

namespace firspool::relay {

class IncarnationFile {
 public:
  explicit IncarnationFile(const std::string& state);  // the folder

  // The highest that this name is known to have had; 0 where the folder tells none (its peers will). Throws
  // DiskFault.
  uint64_t stored() const;
  // Writes it where it is another than was written last. On a full disk its peers know it too, and it is
  // tried again a second later at the soonest.
  void keep(uint64_t incarnation);

 private:
  std::filesystem::path path_;
  uint64_t written_ = 0;
  Time write_again_ = 0;  // where it could not be written
};

}  // namespace firspool::relay
