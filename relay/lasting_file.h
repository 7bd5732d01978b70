// Files in the folder that lasts.
#pragma once

#include <cstddef>
#include <filesystem>
#include <string>
#include <utility>

namespace firspool::relay {

// All bytes of a file; none where it cannot be read.
std::string read_file(const std::filesystem::path& path);

// A file of records, opened at the first of them that is appended.
class LastingFile {
 public:
  explicit LastingFile(std::string path) : path_(std::move(path)) {}
  ~LastingFile();
  LastingFile(const LastingFile&) = delete;
  LastingFile& operator=(const LastingFile&) = delete;

  std::string read() const;
  // False: it could not be written, and none of the bytes is left there; where they could not be cut off, its
  // end is torn.
  bool append(const std::string& bytes);
  // All of it anew. False: the file is as it was, or cannot be appended to.
  bool replace(const std::string& bytes);
  size_t size() const { return size_; }  // bytes, once it was written to

 private:
  bool open();

  std::string path_;
  int fd_ = -1;
  size_t size_ = 0;
};

}  // namespace firspool::relay
