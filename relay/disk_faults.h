// What may be wrong with files in the folder that lasts, for the operators.
#pragma once

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "umberhoist/fault.h"

namespace firspool::relay {

inline constexpr umberhoist::FaultKind kFileUnreadable{"file_unreadable",
                                                       "check the disk, its mount and the file's rights"};
inline constexpr umberhoist::FaultKind kFileUnwritable{"file_unwritable",
                                                       "make room, check the disk and the folder's rights"};

inline constexpr umberhoist::FaultKind kDiskFaults[] = {kFileUnreadable, kFileUnwritable};

class DiskFault : public umberhoist::Fault {
 public:
  // `error`: the errno that the failed call left.
  DiskFault(const umberhoist::FaultKind& kind, const std::filesystem::path& file, const std::string& what,
            int error)
      : Fault(kind, file.string(), what + ": " + std::strerror(error)), error_(error) {}

  // Whether the same call may succeed a moment later, with nobody doing anything.
  bool may_pass() const {
    switch (error_) {
      case EIO:
      case EINTR:
      case EAGAIN:
      case ENOSPC:
      case EDQUOT:
      case EFBIG:
      case ENOMEM:
      case ENOBUFS:
      case ENFILE:
      case EMFILE:
      case ENOLCK:
        return true;
      default:
        return false;
    }
  }

 private:
  int error_;
};

}  // namespace firspool::relay
