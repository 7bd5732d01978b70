// Files in the folder that lasts.
#pragma once

#include <cstddef>
#include <filesystem>
#include <string>

#include "append_file.h"

namespace firspool::relay {

// All bytes of a file; none where there is no such file. Throws DiskFault where it cannot be read.
std::string read_file(const std::filesystem::path& path, Disk& disk = system_disk());

// A file of records, opened at the first of them that is appended.
class LastingFile {
 public:
  explicit LastingFile(std::string path, Disk& disk = system_disk())
      : path_(std::move(path)), disk_(disk), file_(disk) {}
  LastingFile(const LastingFile&) = delete;
  LastingFile& operator=(const LastingFile&) = delete;

  std::string read() const;
  // False: it could not be written, and counts for nothing (see AppendFile).
  bool append(const std::string& bytes);
  // All of it anew. False: the file is as it was, or cannot be appended to.
  bool replace(const std::string& bytes);
  size_t size() const { return file_.size(); }  // bytes, once it was written to

 private:
  std::string path_;
  Disk& disk_;
  AppendFile file_;
};

}  // namespace firspool::relay
