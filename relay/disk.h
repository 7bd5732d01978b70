// The system calls on files in the folder that lasts. Tests put calls that fail in their place.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <filesystem>

namespace firspool::relay {

// Each as the system call of its name: what it returns, and errno where it fails.
class Disk {
 public:
  Disk() = default;
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  virtual ~Disk() = default;

  virtual int open(const std::filesystem::path& path, int flags);  // a new file is its owner's alone
  virtual ssize_t read(int file, void* bytes, size_t count);
  virtual ssize_t read_at(int file, void* bytes, size_t count, size_t offset);
  virtual ssize_t write(int file, const void* bytes, size_t count);
  virtual int truncate(int file, size_t size);
  virtual int rename(const std::filesystem::path& from, const std::filesystem::path& to);
  virtual int unlink(const std::filesystem::path& path);
};

// The system's own.
Disk& system_disk();

}  // namespace firspool::relay
