// A set of small numbers, 0 to size() - 1, as bits. Sets that meet in one call must have the same size.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace umberhoist::access {

class Bits {
 public:
  Bits() = default;
  explicit Bits(size_t size, bool full = false)
      : size_(size), words_((size + 63) / 64, full ? ~uint64_t{0} : 0) {
    if (full && size % 64 != 0) words_.back() = (uint64_t{1} << (size % 64)) - 1;
  }

  size_t size() const { return size_; }
  void set(size_t i) { words_[i / 64] |= uint64_t{1} << (i % 64); }
  bool test(size_t i) const { return (words_[i / 64] >> (i % 64) & 1) != 0; }
  bool any() const { return first() < size_; }
  bool all() const { return Bits(size_, true) == *this; }
  // The smallest; size() where there is none.
  size_t first() const {
    for (size_t w = 0; w < words_.size(); ++w) {
      if (words_[w] != 0) return w * 64 + static_cast<size_t>(std::countr_zero(words_[w]));
    }
    return size_;
  }
  // The smallest that all three hold; size() where there is none.
  static size_t first_of(const Bits& a, const Bits& b, const Bits& c) {
    for (size_t w = 0; w < a.words_.size(); ++w) {
      const uint64_t both = a.words_[w] & b.words_[w] & c.words_[w];
      if (both != 0) return w * 64 + static_cast<size_t>(std::countr_zero(both));
    }
    return a.size_;
  }
  bool meets(const Bits& other) const {
    for (size_t w = 0; w < words_.size(); ++w) {
      if ((words_[w] & other.words_[w]) != 0) return true;
    }
    return false;
  }

  Bits& operator&=(const Bits& other) {
    for (size_t w = 0; w < words_.size(); ++w) words_[w] &= other.words_[w];
    return *this;
  }
  Bits& operator|=(const Bits& other) {
    for (size_t w = 0; w < words_.size(); ++w) words_[w] |= other.words_[w];
    return *this;
  }
  Bits& operator-=(const Bits& other) {
    for (size_t w = 0; w < words_.size(); ++w) words_[w] &= ~other.words_[w];
    return *this;
  }
  // Only those below `end` are left.
  void cut(size_t end) {
    for (size_t w = end / 64; w < words_.size(); ++w) {
      words_[w] &= w == end / 64 ? (uint64_t{1} << (end % 64)) - 1 : 0;
    }
  }
  template <typename Each>
  void each(Each&& call) const {
    for (size_t w = 0; w < words_.size(); ++w) {
      for (uint64_t left = words_[w]; left != 0; left &= left - 1) {
        call(w * 64 + static_cast<size_t>(std::countr_zero(left)));
      }
    }
  }
  bool operator==(const Bits&) const = default;

 private:
  size_t size_ = 0;
  std::vector<uint64_t> words_;
};

}  // namespace umberhoist::access
