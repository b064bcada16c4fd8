#pragma once

#include <cstddef>
#include <iterator>
#include <map>
#include <utility>

namespace marjoramplank {

// A sequence of which most neighbours are equal. Each range of equal values is
// held once, so the memory follows the number of ranges and not the length.
//
// An element is changed through Isolate(), which gives it a range of its own.
// Call Coalesce() once it may be equal to its neighbours again.
template <typename T>
class RunLengthVector {
 public:
  struct Range {
    std::size_t first = 0;
    std::size_t count = 0;
    const T& value;
  };

  RunLengthVector() = default;
  explicit RunLengthVector(std::size_t size, T value = T()) {
    Append(size, std::move(value));
  }

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  // Number of values that are held.
  std::size_t range_count() const { return ranges_.size(); }
  const T& operator[](std::size_t i) const { return FindRange(i)->second; }
  const T& front() const { return ranges_.begin()->second; }

  void Append(std::size_t count, T value) {
    if (count == 0) {
      return;
    }
    if (ranges_.empty() || !(ranges_.rbegin()->second == value)) {
      ranges_.emplace_hint(ranges_.end(), size_, std::move(value));
    }
    size_ += count;
  }
  void clear() {
    ranges_.clear();
    size_ = 0;
  }

  T& Isolate(std::size_t i) {
    auto it = SplitAt(i);
    if (i + 1 < size_) {
      SplitAt(i + 1);
    }
    return it->second;
  }
  // References to the element and to its neighbours become invalid.
  void Coalesce(std::size_t i) {
    auto it = Mutable(FindRange(i));
    if (const auto next = std::next(it);
        next != ranges_.end() && next->second == it->second) {
      ranges_.erase(next);
    }
    if (it != ranges_.begin() && std::prev(it)->second == it->second) {
      ranges_.erase(it);
    }
  }

  // Calls f(value) for each value that is held. Values that were different
  // must not become equal.
  template <typename F>
  void ForEachValue(F f) {
    for (auto& [first, value] : ranges_) {
      f(value);
    }
  }

  // Iterates over the ranges.
  class ConstIterator {
   public:
    using iterator_category = std::input_iterator_tag;
    using value_type = Range;
    using difference_type = std::ptrdiff_t;
    using pointer = const Range*;
    using reference = Range;

    Range operator*() const {
      const auto next = std::next(it_);
      return {.first = it_->first,
              .count = (next == owner_->ranges_.end() ? owner_->size_
                                                      : next->first) -
                       it_->first,
              .value = it_->second};
    }
    ConstIterator& operator++() {
      ++it_;
      return *this;
    }
    friend bool operator==(const ConstIterator& a, const ConstIterator& b) {
      return a.it_ == b.it_;
    }

   private:
    friend class RunLengthVector;
    using MapIterator = typename std::map<std::size_t, T>::const_iterator;
    ConstIterator(const RunLengthVector* owner, MapIterator it)
        : owner_(owner), it_(it) {}

    const RunLengthVector* owner_;
    MapIterator it_;
  };
  ConstIterator begin() const { return {this, ranges_.begin()}; }
  ConstIterator end() const { return {this, ranges_.end()}; }

  // Equal elements, whatever the ranges.
  friend bool operator==(const RunLengthVector& a, const RunLengthVector& b) {
    if (a.size_ != b.size_) {
      return false;
    }
    auto in_a = a.begin();
    auto in_b = b.begin();
    while (in_a != a.end() && in_b != b.end()) {
      const Range x = *in_a;
      const Range y = *in_b;
      if (!(x.value == y.value)) {
        return false;
      }
      const std::size_t x_end = x.first + x.count;
      const std::size_t y_end = y.first + y.count;
      if (x_end <= y_end) {
        ++in_a;
      }
      if (y_end <= x_end) {
        ++in_b;
      }
    }
    return true;
  }

 private:
  using Ranges = std::map<std::size_t, T>;

  typename Ranges::const_iterator FindRange(std::size_t i) const {
    return std::prev(ranges_.upper_bound(i));
  }
  typename Ranges::iterator Mutable(typename Ranges::const_iterator it) {
    return ranges_.erase(it, it);  // Erases nothing.
  }
  // A range begins at `i` from now on.
  typename Ranges::iterator SplitAt(std::size_t i) {
    const auto it = Mutable(FindRange(i));
    return it->first == i ? it
                          : ranges_.emplace_hint(std::next(it), i, it->second);
  }

  Ranges ranges_;  // By the index of their first element.
  std::size_t size_ = 0;
};

}  // namespace marjoramplank
