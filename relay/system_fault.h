// A failed system call of our own, as an error for the operators.
#pragma once

#include <cerrno>
#include <cstring>
#include <string>

#include "umberhoist/operator_error.h"

namespace firspool::relay {

class SystemFault : public umberhoist::OperatorError {
 public:
  // `error`: the errno that the failed call left.
  SystemFault(const umberhoist::ErrorKind& kind, const std::string& where, const std::string& what, int error)
      : OperatorError(kind, where, what + ": " + std::strerror(error)), error_(error) {}

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
