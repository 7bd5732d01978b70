// A fixed-size set of the numbers 0 to size() - 1. Sets that are combined or compared must have equal sizes.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace umberhoist::access {

class Bitset {
 public:
  Bitset() = default;
  explicit Bitset(size_t size, bool full = false)
      : size_(size), words_((size + 63) / 64, full ? ~uint64_t{0} : 0) {
    if (full && size % 64 != 0) words_.back() = (uint64_t{1} << (size % 64)) - 1;
  }

  size_t size() const { return size_; }
  void set(size_t i) { words_[i / 64] |= uint64_t{1} << (i % 64); }
  bool test(size_t i) const { return (words_[i / 64] >> (i % 64) & 1) != 0; }
  bool any() const { return first() < size_; }
  bool all() const { return Bitset(size_, true) == *this; }
  // The smallest member, or size() if the set is empty.
  size_t first() const {
    for (size_t w = 0; w < words_.size(); ++w) {
      if (words_[w] != 0) return w * 64 + static_cast<size_t>(std::countr_zero(words_[w]));
    }
    return size_;
  }
  // The smallest member that all three sets have, or size() if there is none.
  static size_t first_common(const Bitset& a, const Bitset& b, const Bitset& c) {
    for (size_t w = 0; w < a.words_.size(); ++w) {
      const uint64_t common = a.words_[w] & b.words_[w] & c.words_[w];
      if (common != 0) return w * 64 + static_cast<size_t>(std::countr_zero(common));
    }
    return a.size_;
  }
  bool intersects(const Bitset& other) const {
    for (size_t w = 0; w < words_.size(); ++w) {
      if ((words_[w] & other.words_[w]) != 0) return true;
    }
    return false;
  }

  Bitset& operator&=(const Bitset& other) {
    for (size_t w = 0; w < words_.size(); ++w) words_[w] &= other.words_[w];
    return *this;
  }
  Bitset& operator|=(const Bitset& other) {
    for (size_t w = 0; w < words_.size(); ++w) words_[w] |= other.words_[w];
    return *this;
  }
  Bitset& operator-=(const Bitset& other) {
    for (size_t w = 0; w < words_.size(); ++w) words_[w] &= ~other.words_[w];
    return *this;
  }
  // Removes all members that are not below `end`.
  void truncate(size_t end) {
    for (size_t w = end / 64; w < words_.size(); ++w) {
      words_[w] &= w == end / 64 ? (uint64_t{1} << (end % 64)) - 1 : 0;
    }
  }
  template <typename Function>
  void for_each(Function&& call) const {
    for (size_t w = 0; w < words_.size(); ++w) {
      for (uint64_t rest = words_[w]; rest != 0; rest &= rest - 1) {
        call(w * 64 + static_cast<size_t>(std::countr_zero(rest)));
      }
    }
  }
  bool operator==(const Bitset&) const = default;

 private:
  size_t size_ = 0;
  std::vector<uint64_t> words_;
};

}  // namespace umberhoist::access
