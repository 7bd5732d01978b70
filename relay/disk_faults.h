// What may be wrong with files in the folder that lasts, for the operators.
#pragma once

#include <filesystem>

#include "system_fault.h"

namespace firspool::relay {

inline constexpr umberhoist::ErrorKind kFileUnreadable{"file_unreadable",
                                                       "check the disk, its mount and the file's rights"};
inline constexpr umberhoist::ErrorKind kFileUnwritable{"file_unwritable",
                                                       "make room, check the disk and the folder's rights"};

inline constexpr umberhoist::ErrorKind kDiskFaults[] = {kFileUnreadable, kFileUnwritable};

class DiskFault : public SystemFault {
 public:
  // `error`: the errno that the failed call left.
  DiskFault(const umberhoist::ErrorKind& kind, const std::filesystem::path& file, const std::string& what,
            int error)
      : SystemFault(kind, file.string(), what, error) {}
};

}  // namespace firspool::relay
