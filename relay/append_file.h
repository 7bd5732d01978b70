// An append-only file of records whose end is whole, or known not to be.
//
// Promised: append() leaves all of its bytes in the file, or none that a reader counts. A reader stops at the
// first record that is damaged, so nothing may ever stand behind a part of one. Where a write is cut short
// and the part cannot be cut off again, the end is torn: until a later call has cut it off, or the file was
// replaced, append() writes nothing and says so. This holds in any order of failures and of SIGKILL:
//
//   write cut, cut off again                     nothing was written
//   write cut, cutting fails                     torn: nothing more is written here
//   torn, cutting succeeds at a later append()   goes on behind the last whole record
//   torn, SIGKILL                                the next start reads up to the part; begin() with that size
//
// Rejected: a reader that looks for whole records behind a damaged one. A record holds bytes that clients
// choose, and what looks like a record inside a damaged one may be forged.
#pragma once

#include <filesystem>
#include <optional>
#include <string_view>

#include "disk.h"

namespace firspool::relay {

class AppendFile {
 public:
  explicit AppendFile(Disk& disk) : disk_(disk) {}
  ~AppendFile() { close(); }
  AppendFile(const AppendFile&) = delete;
  AppendFile& operator=(const AppendFile&) = delete;

  // Opens the file to append to it, if it is not open yet. Its first `whole` bytes count, and what stands
  // behind them is cut off before anything is appended; none: all of it counts. False: it cannot be opened.
  bool open(const std::filesystem::path& path, int flags, std::optional<size_t> whole = {});
  // The file is these bytes from now on, written at `fresh` before they take its place, and open. False: it
  // is as it was.
  bool replace(const std::filesystem::path& path, const std::filesystem::path& fresh, std::string_view bytes);
  // Takes an open descriptor over, in place of the one that it had. The file's first `whole` bytes count;
  // with `torn` there are more, which are cut off before anything is appended.
  void begin(int file, size_t whole, bool torn);
  // The same file, once it was read.
  void resume(size_t whole, bool torn);
  void close();
  bool is_open() const { return file_ >= 0; }

  // False: it could not be written, and does not count.
  bool append(std::string_view bytes);
  // Whether something stands behind the last whole record that could not be cut off yet.
  bool torn() const { return torn_; }
  size_t size() const { return size_; }  // of what counts

 private:
  bool write_all(int file, std::string_view bytes);
  bool cut_off();

  Disk& disk_;
  int file_ = -1;
  size_t size_ = 0;
  bool torn_ = false;
};

}  // namespace firspool::relay
